package applespindle.corelogic.controlplane;

import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.ShardReplica;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Predicts where the replicas of a storage node would go if it were drained, by the placement rules
 * that {@link ShardRepairPolicy} follows. It owns no state and changes nothing.
 */
final class DrainPlanner {
  private final MetadataTable table;
  private final StorageNodeDirectory directory;
  private final int replicationFactor;

  DrainPlanner(MetadataTable table, StorageNodeDirectory directory, int replicationFactor) {
    this.table = table;
    this.directory = directory;
    this.replicationFactor = replicationFactor;
  }

  /** The plan for the node with this id. */
  DrainPlan plan(String id) {
    Map<String, Long> replicaCounts = directory.replicaCounts();
    List<NodeRegistration> targets =
        directory.active().stream().filter(member -> !member.id().equals(id)).toList();
    boolean refused = directory.activeBesides(id) < replicationFactor;
    List<DrainPlan.PlannedMove> moves = new ArrayList<>();
    table
        .shards()
        .forEach(
            (key, shard) ->
                replicaOn(shard, id)
                    .map(replica -> plannedMove(key, shard, replica, targets, replicaCounts))
                    .ifPresent(moves::add));
    return new DrainPlan(id, refused, moves);
  }

  private static Optional<ShardReplica> replicaOn(ShardAssignment shard, String id) {
    return shard.replicas().stream().filter(replica -> replica.id().equals(id)).findFirst();
  }

  /** Counts the replica at its target, so that the next moves take it into account. */
  private static DrainPlan.PlannedMove plannedMove(
      String key,
      ShardAssignment shard,
      ShardReplica leaving,
      List<NodeRegistration> targets,
      Map<String, Long> replicaCounts) {
    List<NodeRegistration> candidates =
        ShardPlacement.candidates(key, shard, List.of(leaving), targets, replicaCounts);
    if (candidates.isEmpty()) {
      return new DrainPlan.PlannedMove(key, "", true);
    }
    NodeRegistration target = candidates.get(0);
    replicaCounts.merge(target.id(), 1L, Long::sum);
    return new DrainPlan.PlannedMove(key, target.name(), false);
  }
}
