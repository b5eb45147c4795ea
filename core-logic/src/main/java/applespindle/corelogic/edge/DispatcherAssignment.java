package applespindle.corelogic.edge;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.WorkerRegistration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Which edge dispatches batch items to a worker: one for each worker, the same in the view of all
 * edges that know the same members.
 */
final class DispatcherAssignment {
  private final String nodeId;
  private final Supplier<List<NodeRegistration>> liveEdges;
  private final Supplier<Map<String, WorkerRegistration>> workers;
  private final Map<String, String> dispatcherOfWorker = new HashMap<>();

  DispatcherAssignment(
      String nodeId,
      Supplier<List<NodeRegistration>> liveEdges,
      Supplier<Map<String, WorkerRegistration>> workers) {
    this.nodeId = nodeId;
    this.liveEdges = liveEdges;
    this.workers = workers;
  }

  /** To be called whenever the members or the workers change. */
  void invalidate() {
    dispatcherOfWorker.clear();
  }

  boolean isOwn(String workerId) {
    return nodeId.equals(dispatcherOfWorker.computeIfAbsent(workerId, this::choose));
  }

  private String choose(String workerId) {
    return RendezvousHashing.first("feeder/" + workerId, candidates(workerId));
  }

  /** The live edges of the worker's zone, so that its items stay there; all if it has none. */
  private List<String> candidates(String workerId) {
    List<NodeRegistration> edges = liveEdges.get();
    WorkerRegistration worker = workers.get().get(workerId);
    boolean hasZone = worker != null && worker.zone() != null && !worker.zone().isEmpty();
    List<String> inZone =
        hasZone
            ? edges.stream()
                .filter(edge -> edge.zone().equals(worker.zone()))
                .map(NodeRegistration::id)
                .toList()
            : List.of();
    return inZone.isEmpty() ? edges.stream().map(NodeRegistration::id).toList() : inZone;
  }
}
