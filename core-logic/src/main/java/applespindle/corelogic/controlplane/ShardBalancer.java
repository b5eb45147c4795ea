package applespindle.corelogic.controlplane;

import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.ShardReplica;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which replica to move so that storage nodes hold about the same number of replicas. It
 * owns no state and changes nothing itself. Invariant: a move takes a replica to a node that has at
 * least two fewer and never reduces the number of zones that the shard covers.
 */
final class ShardBalancer {
  /** With a difference of one, the move would only exchange the two counts. */
  private static final int MIN_DIFFERENCE = 2;

  private final StorageNodeDirectory directory;

  ShardBalancer(StorageNodeDirectory directory) {
    this.directory = directory;
  }

  /** The active nodes and their replica counts at the time of one balancing pass. */
  record Load(List<NodeRegistration> active, Map<String, Long> replicaCounts) {
    long of(String id) {
      return replicaCounts.getOrDefault(id, 0L);
    }
  }

  Load currentLoad() {
    return new Load(directory.active(), directory.replicaCounts());
  }

  /** The shard's replica set after one balancing move; empty if no move improves the balance. */
  Optional<List<ShardReplica>> rebalanced(String key, ShardAssignment shard, Load load) {
    return ShardPlacement.candidates(key, shard, List.of(), load.active(), load.replicaCounts())
        .stream()
        .min(Comparator.comparingLong(member -> load.of(member.id())))
        .flatMap(
            candidate ->
                mostLoaded(shard, candidate, load)
                    .map(replica -> ShardPlacement.replaced(shard, replica, candidate)));
  }

  /** The replica on the most loaded node among those that the candidate may take over. */
  private static Optional<ShardReplica> mostLoaded(
      ShardAssignment shard, NodeRegistration candidate, Load load) {
    long zonesNow = ShardPlacement.zonesWithout(shard, null, null);
    return shard.replicas().stream()
        .filter(replica -> ShardPlacement.zonesWithout(shard, replica, candidate) >= zonesNow)
        .filter(replica -> load.of(candidate.id()) + MIN_DIFFERENCE <= load.of(replica.id()))
        .max(Comparator.comparingLong(replica -> load.of(replica.id())));
  }
}
