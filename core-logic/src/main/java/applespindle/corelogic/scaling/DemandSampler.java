package applespindle.corelogic.scaling;

import applespindle.corelogic.constants.ScalingConstants;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Measures the mean demand of this edge for the workers of each pool and zone between two reports:
 * its live calls, those included that wait at a worker for a slot, and a part of its batch items.
 * Items take whatever slots are free, so that their number alone does not show that more workers
 * are needed. Confined to the logic thread.
 */
public final class DemandSampler {
  private static final double HUNDREDTHS = 100;

  private final WorkerRegistry registry;
  private final Map<PoolZone, Double> sums = new TreeMap<>();
  private long samples;

  /** Creates a sampler without samples. */
  public DemandSampler(WorkerRegistry registry) {
    this.registry = registry;
  }

  /** Adds a sample of the calls that are open now at the workers of these pools. */
  public void sample(Set<String> pools) {
    samples++;
    for (WorkerState worker : registry.all()) {
      double calls = worker.liveCalls() + ScalingConstants.BATCH_ITEM_WEIGHT * worker.batchCalls();
      if (calls > 0 && pools.contains(worker.registration.pool())) {
        PoolZone key = new PoolZone(worker.registration.pool(), worker.registration.zone());
        sums.merge(key, calls, Double::sum);
      }
    }
  }

  /** The mean demand since the last call of this method, which starts a new period. */
  public List<PoolDemand> takeMeans() {
    List<PoolDemand> means = new ArrayList<>();
    sums.forEach(
        (key, sum) ->
            means.add(
                new PoolDemand(key.pool(), key.zone(), Math.round(sum * HUNDREDTHS / samples))));
    sums.clear();
    samples = 0;
    return means;
  }
}
