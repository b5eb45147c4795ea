package applespindle.corelogic.scaling;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.worker.WorkerRegistry;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Batches that fill every free slot must not look like a lack of workers. */
final class DemandSamplerTest {
  private static final int SLOTS = 16;
  private static final int WORKERS = 2;

  private static final class IdleEnvironment extends FakeEnvironment {
    IdleEnvironment() {
      super(0);
    }

    @Override
    public ScheduledTask schedule(long millis, Runnable task) {
      return () -> {};
    }
  }

  private final WorkerRegistry registry = new WorkerRegistry(new IdleEnvironment(), () -> {});
  private final DemandSampler sampler = new DemandSampler(registry);

  private void run(int liveCalls, int batchItems) {
    registry.updateWorkers(
        Map.of(
            "w",
            new WorkerRegistration(
                "w", "10.0.0.1:1", "pool", WorkerRegistration.READY, "zone", SLOTS)));
    for (int call = 0; call < liveCalls; call++) {
      registry.recordCallStart(registry.get("w"), false);
    }
    for (int item = 0; item < batchItems; item++) {
      registry.recordCallStart(registry.get("w"), true);
    }
    sampler.sample(Set.of("pool"));
  }

  @Test
  void liveCallsCountInFull() {
    run(3, 0);
    assertThat(sampler.takeMeans()).containsExactly(new PoolDemand("pool", "zone", 300));
  }

  @Test
  void workersThatAreFullOfBatchItemsNeedNoFurtherOne() {
    run(0, WORKERS * SLOTS);
    double calls = sampler.takeMeans().get(0).hundredths() / 100.0;
    ScaleObservation observation =
        new ScaleObservation(new PoolZone("pool", "zone"), 1, 5, SLOTS, WORKERS, 4, calls, true);
    assertThat(ScalePolicy.neededFor(calls, observation)).isAtMost(WORKERS);
  }

  @Test
  void aNewPeriodBeginsWithEachReport() {
    run(3, 0);
    sampler.takeMeans();
    assertThat(sampler.takeMeans()).isEmpty();
  }
}
