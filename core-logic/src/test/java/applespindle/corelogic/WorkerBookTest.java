package applespindle.corelogic;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.Records.Worker;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/** How long a worker rests after what was heard of it, and how long a crowd at it is remembered. */
final class WorkerBookTest {
  /** Time and load as the test sets them; the load is read when the test says so. */
  private static final class World implements Surroundings {
    long now = 10_000;
    int running;
    Runnable readNext;

    @Override
    public long now() {
      return now;
    }

    @Override
    public Schedule after(long millis, Runnable task) {
      readNext = task;
      return () -> {};
    }

    @Override
    public void send(String peerAddress, Envelope envelope) {}

    @Override
    public void write(List<DiskRecord> records, Runnable whenSynced) {}

    @Override
    public boolean takesWrites() {
      return true;
    }

    @Override
    public WorkerRun run(WorkerCall call, WorkerListener listener) {
      throw new AssertionError("nothing is run here");
    }

    @Override
    public void readLoad(
        String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<Fault> whenFaulty) {
      whenRead.accept(new WorkerLoad(running, 0, 8, false));
    }

    @Override
    public RandomGenerator random() {
      return new SplittableRandom(7);
    }

    @Override
    public void log(String part, String sentence) {}
  }

  private final World world = new World();
  private final WorkerBook book = new WorkerBook(world, () -> {});

  private WorkerBook.Known worker(int slots) {
    book.follow(Map.of("w", new Worker("w", "10.0.0.1:1", "p", Worker.READY, "", slots)));
    return book.get("w");
  }

  @Test
  void refusalsOfRequestsSentTogetherMakeOneRest() {
    WorkerBook.Known worker = worker(0);
    for (int number = 0; number < 8; number++) {
      book.refused(worker);
    }
    world.now += Constants.LOAD_POLL_MS - 1;
    assertThat(book.usable(worker)).isFalse();
    world.now++;
    assertThat(book.usable(worker)).isTrue();
  }

  @Test
  void aRefusalAfterTheRestMakesALongerOne() {
    WorkerBook.Known worker = worker(0);
    book.refused(worker);
    world.now += Constants.LOAD_POLL_MS;
    book.refused(worker);
    world.now += 2 * Constants.LOAD_POLL_MS - 1;
    assertThat(book.usable(worker)).isFalse();
    world.now++;
    assertThat(book.usable(worker)).isTrue();
  }

  @Test
  void runsThatFallTogetherMakeOneRest() {
    WorkerBook.Known worker = worker(8);
    for (int number = 0; number < 8; number++) {
      book.faulted(worker);
    }
    world.now += Constants.WORKER_REST_MS - 1;
    assertThat(book.usable(worker)).isFalse();
    world.now++;
    assertThat(book.usable(worker)).isTrue();
  }

  @Test
  void aFaultAfterTheRestMakesALongerOne() {
    WorkerBook.Known worker = worker(8);
    book.faulted(worker);
    world.now += Constants.WORKER_REST_MS;
    book.faulted(worker);
    world.now += 2 * Constants.WORKER_REST_MS - 1;
    assertThat(book.usable(worker)).isFalse();
    world.now++;
    assertThat(book.usable(worker)).isTrue();
  }

  @Test
  void aPastCrowdIsForgottenByHalves() {
    world.running = 8;
    WorkerBook.Known worker = worker(0);
    world.running = 0;
    world.now += Constants.LIVE_PEAK_HALVES_MS;
    world.readNext.run();
    assertThat(worker.livePeak).isWithin(0.01).of(4);
    world.now += 2 * Constants.LIVE_PEAK_HALVES_MS;
    world.readNext.run();
    assertThat(worker.livePeak).isWithin(0.01).of(1);
  }
}
