package applespindle.corelogic.controlplane;

import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.constants.ShardConstants;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.ShardReplica;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which replica of a shard is replaced or added next. It changes nothing itself.
 *
 * <p>State owned: since when each storage node with replicas has been unreachable. Invariants: a
 * proposed replica set differs from the current one in one member and is never smaller, because a
 * smaller set tolerates fewer failures; an unreachable node is replaced only after {@link
 * ShardConstants#REPLACEMENT_DELAY_MS}, unless another node registered at its address, which proves
 * that its disk is lost.
 */
final class ShardRepairPolicy {
  /** The storage nodes as they were when the shards were checked. */
  private record StorageNodes(
      Map<String, NodeRegistration> liveById,
      List<NodeRegistration> active,
      Map<String, Long> replicaCounts,
      long nowMs) {}

  private final MetadataTable table;
  private final StorageNodeDirectory directory;
  private final int replicationFactor;

  /**
   * Time in milliseconds since when each node that has replicas has not been live, by node id.
   * Invariant: it lists exactly the nodes that were so at the last refresh. Known to this process
   * only, so that a new leader waits for the whole delay again.
   */
  private final Map<String, Long> unreachableSinceMs = new HashMap<>();

  /** As of the last refresh; null before the first. */
  private StorageNodes nodes;

  ShardRepairPolicy(MetadataTable table, StorageNodeDirectory directory, int replicationFactor) {
    this.table = table;
    this.directory = directory;
    this.replicationFactor = replicationFactor;
  }

  /** Takes the storage nodes as known now; called before the shards are checked. */
  void refresh(long nowMs) {
    Map<String, NodeRegistration> liveById = directory.live();
    Map<String, Long> replicaCounts = directory.replicaCounts();
    unreachableSinceMs.keySet().removeAll(liveById.keySet());
    replicaCounts.keySet().stream()
        .filter(id -> !liveById.containsKey(id))
        .forEach(id -> unreachableSinceMs.putIfAbsent(id, nowMs));
    unreachableSinceMs.keySet().retainAll(replicaCounts.keySet());
    nodes = new StorageNodes(liveById, directory.active(), replicaCounts, nowMs);
  }

  /** True if the node was live at the last refresh. */
  boolean isLive(ShardReplica replica) {
    return nodes.liveById().containsKey(replica.id());
  }

  /**
   * The shard's next replica set; empty if no replica is lost, draining or missing, or if no node
   * can take a replica.
   */
  Optional<List<ShardReplica>> nextReplicas(String key, ShardAssignment shard) {
    return afterDiskReplacement(shard).or(() -> afterLoss(key, shard));
  }

  /** Another node registered at the address of a replica that is not live: it takes its place. */
  private Optional<List<ShardReplica>> afterDiskReplacement(ShardAssignment shard) {
    for (ShardReplica replica : shard.replicas()) {
      Optional<NodeRegistration> successor = successorOf(shard, replica);
      if (!isLive(replica) && successor.isPresent()) {
        return Optional.of(ShardPlacement.replaced(shard, replica, successor.get()));
      }
    }
    return Optional.empty();
  }

  private Optional<NodeRegistration> successorOf(ShardAssignment shard, ShardReplica replica) {
    return table
        .liveAt(replica.address())
        .filter(member -> !member.id().equals(replica.id()))
        .filter(nodes.active()::contains)
        .filter(member -> !hasReplicaOn(shard, member.id()));
  }

  private static boolean hasReplicaOn(ShardAssignment shard, String id) {
    return shard.replicas().stream().anyMatch(replica -> replica.id().equals(id));
  }

  private Optional<List<ShardReplica>> afterLoss(String key, ShardAssignment shard) {
    List<ShardReplica> leaving = leaving(shard);
    boolean lacksReplica = leaving.isEmpty() && shard.replicas().size() < replicationFactor;
    if (leaving.isEmpty() && !lacksReplica) {
      return Optional.empty();
    }
    ShardReplica replaced = lacksReplica ? null : leaving.get(0);
    return ShardPlacement.candidates(key, shard, leaving, nodes.active(), nodes.replicaCounts())
        .stream()
        .findFirst()
        .map(candidate -> ShardPlacement.replaced(shard, replaced, candidate));
  }

  /** Replicas on lost or draining nodes; those on lost nodes first. */
  private List<ShardReplica> leaving(ShardAssignment shard) {
    return shard.replicas().stream()
        .filter(replica -> !table.isActive(replica.id()) || isLost(replica))
        .sorted(Comparator.comparing(this::isLive))
        .toList();
  }

  private boolean isLost(ShardReplica replica) {
    long sinceMs = unreachableSinceMs.getOrDefault(replica.id(), nodes.nowMs());
    return !isLive(replica) && nodes.nowMs() - sinceMs >= ShardConstants.REPLACEMENT_DELAY_MS;
  }
}
