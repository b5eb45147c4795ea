package applespindle.testfleet.capacity;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.KeyPosition;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Experiments on one node alone: the heap it holds and the processor time that taking its state in
 * costs.
 */
final class SingleNodeExperiments {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private final ExperimentMeasurements measurements;

  SingleNodeExperiments(ExperimentMeasurements measurements) {
    this.measurements = measurements;
  }

  private void joined(String experiment, String variable, int size, List<MetadataRecord> items) {
    ExperimentFigures figures = measurements.at(experiment, variable, size);
    Message snapshot = IsolatedNode.snapshot(items);
    long[] nanos = new long[1];
    double heap =
        HeapMeter.heapOf(
            () -> {
              IsolatedNode edge = IsolatedNode.edge();
              edge.deliver(IsolatedNode.quorumDiscovery());
              long begun = THREADS.getCurrentThreadCpuTime();
              edge.deliver(snapshot);
              nanos[0] = THREADS.getCurrentThreadCpuTime() - begun;
              return edge;
            });
    figures.add("edge", "heap", "B", heap);
    figures.add("edge", "processor to take all in", "ms", nanos[0] / 1e6);
    figures.add("edge", "received to take all in", "B", IsolatedNode.bytesOf(snapshot));
  }

  void joinMembers(int members, long seed) {
    joined("join-members", "nodes", members, IsolatedNode.nodeRegistrations(members));
  }

  void joinWorkers(int workers, long seed) {
    joined("join-workers", "workers", workers, IsolatedNode.workerRegistrations(workers));
  }

  void joinRoutes(int rules, long seed) {
    joined(
        "join-routes",
        "routes",
        rules,
        List.of(IsolatedNode.configuration(1, SyntheticConfiguration.of(1, rules, 0))));
  }

  /**
   * What a control plane node keeps of the positions that edges report, with 200 workers listed.
   */
  void places(int edges, long seed) {
    ExperimentFigures figures = measurements.at("places", "nodes (200 workers)", edges);
    int workers = 200;
    List<KeyPosition> places =
        IntStream.range(0, workers)
            .mapToObj(index -> new KeyPosition("worker/w" + index, 1))
            .toList();
    double heap =
        HeapMeter.heapOf(
            () -> {
              IsolatedNode controlPlane = IsolatedNode.controlPlane();
              for (int index = 0; index < edges; index++) {
                controlPlane.deliver(
                    new Message.AppliedPositions(
                        "10.1." + index / 250 + "." + index % 250 + ":7001", places));
              }
              return controlPlane;
            });
    figures.add("core", "heap for a pair of node and worker", "B", heap / edges / workers);
    figures.add(
        "edge",
        "sent to one core node for a change",
        "B",
        IsolatedNode.bytesOf(new Message.AppliedPositions("10.1.0.1:7001", places)));
  }

  /**
   * The choice of the feeder of a worker, repeated for every worker when a node joins or leaves.
   */
  void feeders(int members, long seed) {
    ExperimentFigures figures = measurements.at("feeders", "nodes", members);
    List<String> ids =
        IntStream.range(0, members).mapToObj(index -> String.format("%012x", index)).toList();
    int workers = 200;
    long begun = THREADS.getCurrentThreadCpuTime();
    for (int worker = 0; worker < workers; worker++) {
      RendezvousHashing.first("feeder/w" + worker, ids);
    }
    figures.add(
        "edge",
        "processor for a worker",
        "us",
        (THREADS.getCurrentThreadCpuTime() - begun) / 1e3 / workers);
  }
}
