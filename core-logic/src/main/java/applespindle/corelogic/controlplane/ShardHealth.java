package applespindle.corelogic.controlplane;

import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.replication.FaultToleranceMonitor;
import applespindle.corelogic.replication.ReplicaConfiguration;
import java.util.Map;
import java.util.Set;

/**
 * How much redundancy the shards have, derived from the committed metadata that this process knows.
 * It owns no state.
 */
final class ShardHealth {
  private final MetadataTable table;
  private final StorageNodeDirectory directory;
  private final int replicationFactor;

  /** The replication factor is the number of replicas that every shard should have. */
  ShardHealth(MetadataTable table, StorageNodeDirectory directory, int replicationFactor) {
    this.table = table;
    this.directory = directory;
    this.replicationFactor = replicationFactor;
  }

  /**
   * True if the shard has all of its replicas, each on a live and active node, and no change of its
   * replica set is in progress.
   */
  boolean isComplete(ShardAssignment shard, Map<String, ?> liveById) {
    return shard.nextReplicas().isEmpty()
        && shard.replicas().size() == replicationFactor
        && shard.replicas().stream()
            .allMatch(
                replica -> liveById.containsKey(replica.id()) && table.isActive(replica.id()));
  }

  /** True if every known shard is complete. */
  boolean allComplete() {
    Map<String, ?> liveById = directory.live();
    return table.shards().values().stream().allMatch(shard -> isComplete(shard, liveById));
  }

  /**
   * The number of further storage nodes that the weakest shard can lose; while there are no shards,
   * the number that a shard with all of its replicas can lose.
   */
  int remainingTolerableFailures() {
    Set<String> live = directory.live().keySet();
    return table.shards().values().stream()
        .mapToInt(
            shard ->
                FaultToleranceMonitor.remainingTolerableFailures(
                    ReplicaConfiguration.of(shard), live::contains))
        .min()
        .orElse(replicationFactor / 2);
  }

  /** Number of shards with fewer replicas than the replication factor. */
  long shardsWithReducedRedundancy() {
    return table.shards().values().stream()
        .filter(shard -> shard.replicas().size() < replicationFactor)
        .count();
  }
}
