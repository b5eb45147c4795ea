package applespindle.corelogic.worker;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.metadata.WorkerRegistration;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Duration of ejections, and decay of the peak of live calls. */
final class WorkerRegistryTest {
  /** An environment whose load and polls the test controls; time passes by {@link #freeze}. */
  private static final class ControlledEnvironment extends FakeEnvironment {
    int running;
    Runnable scheduledTask;

    ControlledEnvironment() {
      super(10_000);
    }

    @Override
    public ScheduledTask schedule(long millis, Runnable task) {
      scheduledTask = task;
      return () -> {};
    }

    @Override
    public void readLoad(
        String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {
      whenRead.accept(new WorkerLoad(running, 0, 8, false));
    }
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
    environment.freeze(WorkerConstants.LOAD_POLL_INTERVAL_MS - 1);
    assertThat(registry.isUsable(worker)).isFalse();
    environment.freeze(1);
    assertThat(registry.isUsable(worker)).isTrue();
  }

  @Test
  void aRejectionAfterAnEjectionCausesALongerOne() {
    WorkerState worker = worker(0);
    registry.recordRejection(worker);
    environment.freeze(WorkerConstants.LOAD_POLL_INTERVAL_MS);
    registry.recordRejection(worker);
    environment.freeze(2 * WorkerConstants.LOAD_POLL_INTERVAL_MS - 1);
    assertThat(registry.isUsable(worker)).isFalse();
    environment.freeze(1);
    assertThat(registry.isUsable(worker)).isTrue();
  }

  @Test
  void concurrentFailuresCauseOneEjection() {
    WorkerState worker = worker(8);
    for (int number = 0; number < 8; number++) {
      registry.recordConnectionFailure(worker);
    }
    environment.freeze(WorkerConstants.BASE_EJECTION_MS - 1);
    assertThat(registry.isUsable(worker)).isFalse();
    environment.freeze(1);
    assertThat(registry.isUsable(worker)).isTrue();
  }

  @Test
  void aFailureAfterAnEjectionCausesALongerOne() {
    WorkerState worker = worker(8);
    registry.recordConnectionFailure(worker);
    environment.freeze(WorkerConstants.BASE_EJECTION_MS);
    registry.recordConnectionFailure(worker);
    environment.freeze(2 * WorkerConstants.BASE_EJECTION_MS - 1);
    assertThat(registry.isUsable(worker)).isFalse();
    environment.freeze(1);
    assertThat(registry.isUsable(worker)).isTrue();
  }

  @Test
  void thePeakOfLiveCallsHalvesWithEachHalfLife() {
    environment.running = 8;
    WorkerState worker = worker(0);
    environment.running = 0;
    environment.freeze(WorkerConstants.LIVE_PEAK_HALF_LIFE_MS);
    environment.scheduledTask.run();
    assertThat(worker.peakLiveCalls).isWithin(0.01).of(4);
    environment.freeze(2 * WorkerConstants.LIVE_PEAK_HALF_LIFE_MS);
    environment.scheduledTask.run();
    assertThat(worker.peakLiveCalls).isWithin(0.01).of(1);
  }
}
