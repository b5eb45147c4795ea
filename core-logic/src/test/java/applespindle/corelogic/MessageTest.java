package applespindle.corelogic;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.BatchEvent.Recorded;
import applespindle.corelogic.BatchEvent.Result;
import applespindle.corelogic.Message.KeyPromised;
import applespindle.corelogic.Message.Verdict;
import java.util.List;
import org.junit.jupiter.api.Test;

class MessageTest {
  private static final Epoch EPOCH = new Epoch(1, "n");

  private static KeyPromised promiseWith(String output) {
    var result = new Result(0, "run", "worker", "stop", null, output);
    var event = BatchEvent.recorded(0, new Recorded(0, 1, List.of(result), List.of()));
    Entry entry = new Entry(1, EPOCH, false, EventCodec.encode(event));
    return new KeyPromised("batch/b", EPOCH, Verdict.OK, EPOCH, "", "", 0, 1, List.of(entry));
  }

  @Test
  void aPromiseIsDeflatedOnlyIfItsEntriesAreNot() {
    assertThat(promiseWith("short").worthDeflating()).isTrue();
    assertThat(promiseWith("long ".repeat(10_000)).worthDeflating()).isFalse();
  }
}
