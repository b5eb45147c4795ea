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

/** Duration of ejections, and decay of the peak of live calls. */
final class WorkerRegistryTest {
  /** An environment whose time, load and polls the test controls. */
  private static final class ControlledEnvironment implements Environment {
    long now = 10_000;
    int running;
    Runnable scheduledTask;

    @Override
    public long nowMs() {
      return now;
    }

    @Override
    public ScheduledTask schedule(long millis, Runnable task) {
      scheduledTask = task;
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
      throw new AssertionError("unexpected call of a worker");
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

  private final ControlledEnvironment environment = new ControlledEnvironment();
  private final WorkerRegistry registry = new WorkerRegistry(environment, () -> {});

  private WorkerState worker(int slots) {
    registry.updateWorkers(
        Map.of(
            "w",
            new WorkerRegistration("w", "10.0.0.1:1", "p", WorkerRegistration.READY, "", slots)));
    return registry.get("w");
  }

  @Test
  void rejectionsOfConcurrentCallsCauseOneEjection() {
    WorkerState worker = worker(0);
    for (int number = 0; number < 8; number++) {
      registry.recordRejection(worker);
    }
    environment.now += WorkerConstants.LOAD_POLL_INTERVAL_MS - 1;
    assertThat(registry.isUsable(worker)).isFalse();
    environment.now++;
    assertThat(registry.isUsable(worker)).isTrue();
  }

  @Test
  void aRejectionAfterAnEjectionCausesALongerOne() {
    WorkerState worker = worker(0);
    registry.recordRejection(worker);
    environment.now += WorkerConstants.LOAD_POLL_INTERVAL_MS;
    registry.recordRejection(worker);
    environment.now += 2 * WorkerConstants.LOAD_POLL_INTERVAL_MS - 1;
    assertThat(registry.isUsable(worker)).isFalse();
    environment.now++;
    assertThat(registry.isUsable(worker)).isTrue();
  }

  @Test
  void concurrentFailuresCauseOneEjection() {
    WorkerState worker = worker(8);
    for (int number = 0; number < 8; number++) {
      registry.recordConnectionFailure(worker);
    }
    environment.now += WorkerConstants.BASE_EJECTION_MS - 1;
    assertThat(registry.isUsable(worker)).isFalse();
    environment.now++;
    assertThat(registry.isUsable(worker)).isTrue();
  }

  @Test
  void aFailureAfterAnEjectionCausesALongerOne() {
    WorkerState worker = worker(8);
    registry.recordConnectionFailure(worker);
    environment.now += WorkerConstants.BASE_EJECTION_MS;
    registry.recordConnectionFailure(worker);
    environment.now += 2 * WorkerConstants.BASE_EJECTION_MS - 1;
    assertThat(registry.isUsable(worker)).isFalse();
    environment.now++;
    assertThat(registry.isUsable(worker)).isTrue();
  }

  @Test
  void thePeakOfLiveCallsHalvesWithEachHalfLife() {
    environment.running = 8;
    WorkerState worker = worker(0);
    environment.running = 0;
    environment.now += WorkerConstants.LIVE_PEAK_HALF_LIFE_MS;
    environment.scheduledTask.run();
    assertThat(worker.peakLiveCalls).isWithin(0.01).of(4);
    environment.now += 2 * WorkerConstants.LIVE_PEAK_HALF_LIFE_MS;
    environment.scheduledTask.run();
    assertThat(worker.peakLiveCalls).isWithin(0.01).of(1);
  }
}
