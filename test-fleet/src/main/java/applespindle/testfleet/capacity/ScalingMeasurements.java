package applespindle.testfleet.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** The experiments by name: what the state and messages of each role cost, at several sizes. */
final class ScalingMeasurements {
  /** Measures at one size; the seed decides what chance decides in the fleet. */
  private interface Experiment {
    void run(int size, long seed);
  }

  private record PlannedExperiment(int[] sizes, Experiment experiment) {}

  private static final long WARM_UP_SEED = 99;

  private final ExperimentMeasurements measurements;
  private final Map<String, PlannedExperiment> planned = new LinkedHashMap<>();

  ScalingMeasurements(Measurements results) {
    measurements = new ExperimentMeasurements(results);
    var fleet = new FleetExperiments(measurements);
    var live = new LiveExperiments(measurements);
    var batches = new BatchExperiments(measurements);
    var singleNode = new SingleNodeExperiments(measurements);
    plan("nodes", fleet::nodes, 25, 50, 100, 200);
    plan("workers", fleet::workers, 25, 50, 100, 200, 400);
    plan("change", fleet::change, 20, 40, 80);
    plan("routes", fleet::routes, 10, 100, 1000, 4000);
    plan("changes-a-minute", fleet::changesAMinute, 0, 6, 27, 60);
    plan("load-reads", live::loadReads, 25, 50, 100, 200);
    plan("live", live::live, 25, 50, 100, 200);
    plan("pieces", live::pieces, 1, 10, 100, 400);
    plan("tenants", live::tenants, 10, 100, 1000, 3100);
    plan("open-batches", batches::openBatches, 1, 4, 16, 64);
    plan("batch-edges", batches::batchEdges, 9, 18, 36, 72);
    plan("batch-items", batches::batchItems, 100, 1000, 4000, 10000);
    plan("core-silent", fleet::coreSilent, 5, 10, 20, 40);
    plan("join-members", singleNode::joinMembers, 100, 400, 1700);
    plan("join-workers", singleNode::joinWorkers, 500, 1000, 2000, 4000);
    plan("join-routes", singleNode::joinRoutes, 10, 100, 1000, 4000);
    plan("places", singleNode::places, 10, 40, 160);
    plan("feeders", singleNode::feeders, 100, 400, 1700);
  }

  private void plan(String name, Experiment experiment, int... sizes) {
    planned.put(name, new PlannedExperiment(sizes, experiment));
  }

  List<String> names() {
    return List.copyOf(planned.keySet());
  }

  /**
   * Runs an experiment at each of its first sizes with every seed. The first size runs once more
   * before, to warm the code up.
   */
  void run(String name, int runs, int maxSizes) {
    PlannedExperiment plan = planned.get(name);
    int[] sizes = IntStream.of(plan.sizes).limit(maxSizes).toArray();
    measurements.warmUp(() -> plan.experiment.run(sizes[0], WARM_UP_SEED));
    for (int size : sizes) {
      long begunAt = System.nanoTime();
      for (int run = 1; run <= runs; run++) {
        plan.experiment.run(size, run);
      }
      System.out.printf(
          "%-18s %6d  %d runs in %.1f s%n", name, size, runs, (System.nanoTime() - begunAt) / 1e9);
    }
  }
}
