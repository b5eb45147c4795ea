package applespindle.corelogic.worker;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Envelope;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/** How long a worker rests after what was heard of it, and how long a crowd at it is remembered. */
final class WorkerRegistryTest {
  /** Time and load as the test sets them; the load is read when the test says so. */
  private static final class World implements Environment {
    long now = 10_000;
    int running;
    Runnable readNext;

    @Override
    public long nowMs() {
      return now;
    }

    @Override
    public ScheduledTask schedule(long millis, Runnable task) {
      readNext = task;
      return () -> {};
    }

    @Override
    public void send(String peerAddress, Envelope envelope) {}

    @Override
    public void write(List<LogRecord> records, Runnable whenSynced) {}

    @Override
    public boolean acceptsWrites() {
      return true;
    }

    @Override
    public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
      throw new AssertionError("nothing is run here");
    }

    @Override
    public void readLoad(
        String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {
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
  private final WorkerRegistry registry = new WorkerRegistry(world, () -> {});

  private WorkerState worker(int slots) {
    registry.updateWorkers(
        Map.of(
            "w",
            new WorkerRegistration("w", "10.0.0.1:1", "p", WorkerRegistration.READY, "", slots)));
    return registry.get("w");
  }

  @Test
  void refusalsOfRequestsSentTogetherMakeOneRest() {
    WorkerState worker = worker(0);
    for (int number = 0; number < 8; number++) {
      registry.recordRejection(worker);
    }
    world.now += WorkerConstants.LOAD_POLL_INTERVAL_MS - 1;
    assertThat(registry.isUsable(worker)).isFalse();
    world.now++;
    assertThat(registry.isUsable(worker)).isTrue();
  }

  @Test
  void aRefusalAfterTheRestMakesALongerOne() {
    WorkerState worker = worker(0);
    registry.recordRejection(worker);
    world.now += WorkerConstants.LOAD_POLL_INTERVAL_MS;
    registry.recordRejection(worker);
    world.now += 2 * WorkerConstants.LOAD_POLL_INTERVAL_MS - 1;
    assertThat(registry.isUsable(worker)).isFalse();
    world.now++;
    assertThat(registry.isUsable(worker)).isTrue();
  }

  @Test
  void runsThatFallTogetherMakeOneRest() {
    WorkerState worker = worker(8);
    for (int number = 0; number < 8; number++) {
      registry.recordConnectionFailure(worker);
    }
    world.now += WorkerConstants.BASE_EJECTION_MS - 1;
    assertThat(registry.isUsable(worker)).isFalse();
    world.now++;
    assertThat(registry.isUsable(worker)).isTrue();
  }

  @Test
  void aFaultAfterTheRestMakesALongerOne() {
    WorkerState worker = worker(8);
    registry.recordConnectionFailure(worker);
    world.now += WorkerConstants.BASE_EJECTION_MS;
    registry.recordConnectionFailure(worker);
    world.now += 2 * WorkerConstants.BASE_EJECTION_MS - 1;
    assertThat(registry.isUsable(worker)).isFalse();
    world.now++;
    assertThat(registry.isUsable(worker)).isTrue();
  }

  @Test
  void aPastCrowdIsForgottenByHalves() {
    world.running = 8;
    WorkerState worker = worker(0);
    world.running = 0;
    world.now += WorkerConstants.LIVE_PEAK_HALF_LIFE_MS;
    world.readNext.run();
    assertThat(worker.peakLiveCalls).isWithin(0.01).of(4);
    world.now += 2 * WorkerConstants.LIVE_PEAK_HALF_LIFE_MS;
    world.readNext.run();
    assertThat(worker.peakLiveCalls).isWithin(0.01).of(1);
  }
}
