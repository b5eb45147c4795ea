package applespindle.dataplane;

import static com.google.common.truth.Truth.assertThat;

import applespindle.adapters.QueuedBytes;
import applespindle.corelogic.memory.HolderAccount;
import applespindle.corelogic.memory.MemoryHolder;
import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against clients that read slowly filling the heap of an edge: what is queued for one was
 * bounded, the sum was not.
 */
final class ChunkStreamTest {
  private static final int CHUNK_BYTES = 1_000;
  private static final int LIMIT_BYTES = 10_000;

  private final QueuedBytes queued =
      new QueuedBytes(HolderAccount.unshared(MemoryHolder.RESPONSES, LIMIT_BYTES));
  private int gone;

  private ChunkStream stream() {
    return new ChunkStream(() -> gone++, Integer.MAX_VALUE, LIMIT_BYTES, queued);
  }

  /** Runs a task on a loop, as streams are used on one thread with a loop. */
  private static void onLoop(Runnable task) {
    Eventloop loop = Eventloop.builder().withCurrentThread().build();
    loop.post(task::run);
    loop.run();
  }

  @Test
  void whatIsQueuedForAllClientsIsBounded() {
    onLoop(
        () -> {
          List<ChunkStream> streams = new ArrayList<>();
          for (int client = 0; client < 5; client++) {
            streams.add(stream());
          }
          for (int round = 0; round < 4; round++) {
            streams.forEach(stream -> stream.push(new byte[CHUNK_BYTES]));
            assertThat(queued.get()).isAtMost(LIMIT_BYTES);
          }
          assertThat(gone).isGreaterThan(0);
          assertThat(gone).isLessThan(5);
        });
  }

  @Test
  void whatIsReadOrClosedLeavesRoom() {
    onLoop(
        () -> {
          ChunkStream reading = stream();
          ChunkStream leaving = stream();
          reading.push(new byte[CHUNK_BYTES]);
          leaving.push(new byte[CHUNK_BYTES]);
          assertThat(queued.get()).isEqualTo(2 * CHUNK_BYTES);
          assertThat(reading.get().getResult().readRemaining()).isEqualTo(CHUNK_BYTES);
          leaving.close();
          assertThat(queued.get()).isEqualTo(0);
          assertThat(gone).isEqualTo(1);
        });
  }
}
