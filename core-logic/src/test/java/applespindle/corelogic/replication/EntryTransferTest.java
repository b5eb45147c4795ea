package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.EntryChunk;
import java.util.List;
import org.junit.jupiter.api.Test;

final class EntryTransferTest {
  private static final DetachedEntry ENTRY =
      new DetachedEntry("batch/a", 1, new Epoch(1, "edge"), 100);

  private final FakeEnvironment environment = new FakeEnvironment(1_000) {};
  private byte[] fetched;
  private boolean failed;

  private EntryTransfer start() {
    EntryTransfer transfer =
        new EntryTransfer(
            environment,
            (address, id, message) -> {},
            new EntrySection(ENTRY, 0, ENTRY.bytes()),
            List.of(new NodeAddress("storage", "10.0.0.1:1")),
            new EntryTransfer.Listener() {
              @Override
              public boolean isWanted() {
                return true;
              }

              @Override
              public void fetched(byte[] bytes) {
                fetched = bytes;
              }

              @Override
              public void failed() {
                failed = true;
              }
            });
    transfer.start();
    return transfer;
  }

  private static EntryChunk chunk(int entryBytes) {
    return new EntryChunk(
        ENTRY.key(), ENTRY.sequence(), ENTRY.epoch(), 0, entryBytes, new byte[entryBytes]);
  }

  /** Edges ended for memory: the timers of complete transfers kept their bytes for a second. */
  @Test
  void aCompleteTransferIsKeptByNoTimer() {
    start().handleChunk(chunk(ENTRY.bytes()), "storage");
    assertThat(fetched).hasLength(ENTRY.bytes());
    assertThat(environment.scheduledTasks()).isEqualTo(0);
  }

  /** The same for a transfer that no source can serve. */
  @Test
  void aFailedTransferIsKeptByNoTimer() {
    start().handleChunk(chunk(0), "storage");
    assertThat(failed).isTrue();
    assertThat(environment.scheduledTasks()).isEqualTo(0);
  }
}
