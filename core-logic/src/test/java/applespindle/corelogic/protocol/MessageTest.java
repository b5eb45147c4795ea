package applespindle.corelogic.protocol;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.batch.BatchEvent;
import applespindle.corelogic.batch.BatchEvent.Recorded;
import applespindle.corelogic.batch.BatchEvent.Result;
import applespindle.corelogic.batch.BatchEventCodec;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.Message.VoteResponse;
import java.util.List;
import org.junit.jupiter.api.Test;

class MessageTest {
  private static final Epoch EPOCH = new Epoch(1, "n");

  private static VoteResponse promiseWith(String output) {
    var result = new Result(0, "run", "worker", "stop", null, output);
    var event = BatchEvent.recorded(0, new Recorded(0, 1, List.of(result), List.of()));
    LogEntry entry = new LogEntry(1, EPOCH, false, BatchEventCodec.encode(event));
    return new VoteResponse("batch/b", EPOCH, Verdict.OK, EPOCH, "", "", 0, 1, List.of(entry));
  }

  @Test
  void aPromiseIsDeflatedOnlyIfItsEntriesAreNot() {
    assertThat(promiseWith("short").shouldDeflate()).isTrue();
    assertThat(promiseWith("long ".repeat(10_000)).shouldDeflate()).isFalse();
  }
}
