package applespindle.corelogic.storage;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.ShardReplica;
import applespindle.corelogic.node.TraceLog;
import applespindle.corelogic.replication.LogReplicas;
import applespindle.corelogic.replication.ReplicaCatchUp;
import applespindle.corelogic.replication.ReplicaConfiguration;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * This node's part in changes of the shards' replicas. Invariant: it rejects older configurations
 * of a shard, on its synced disk, before it reports that it has caught up with the newest one.
 */
final class ShardReconfiguration {
  /** Reports to the control plane that this node has caught up with a shard. */
  interface Reporter {
    void report(String shard, Object body, long timeoutMs);
  }

  private final Environment environment;
  private final String nodeId;
  private final TraceLog traceLog;
  private final LogReplicas replicas;
  private final ReplicaCatchUp catchUp;
  private final Supplier<Map<String, ShardAssignment>> shards;
  private final BooleanSupplier terminated;
  private final Reporter reporter;

  ShardReconfiguration(
      Environment environment,
      String nodeId,
      TraceLog traceLog,
      LogReplicas replicas,
      ReplicaCatchUp catchUp,
      Supplier<Map<String, ShardAssignment>> shards,
      BooleanSupplier terminated,
      Reporter reporter) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.traceLog = traceLog;
    this.replicas = replicas;
    this.catchUp = catchUp;
    this.shards = shards;
    this.terminated = terminated;
    this.reporter = reporter;
  }

  /** The assignment of a shard has changed. */
  void follow(String shard) {
    ShardAssignment assignment = shards.get().get(shard);
    replicas.adoptConfiguration(
        shard, assignment.version(), () -> configurationAdopted(shard, assignment));
  }

  /** A joining replica catches up; one that stays only reports that it rejects older versions. */
  private void configurationAdopted(String shard, ShardAssignment assignment) {
    boolean current = assignment.version() == shards.get().get(shard).version();
    if (!current
        || assignment.nextReplicas().isEmpty()
        || !includesThisNode(assignment.nextReplicas())) {
      return;
    }
    if (includesThisNode(assignment.replicas())) {
      reportCaughtUp(shard, assignment.version());
    } else {
      catchUp(shard, assignment);
    }
  }

  private boolean includesThisNode(List<ShardReplica> shardReplicas) {
    return shardReplicas.stream().anyMatch(replica -> replica.id().equals(nodeId));
  }

  private boolean isPending(String shard, long version) {
    ShardAssignment assignment = shards.get().get(shard);
    return assignment.version() == version
        && !assignment.nextReplicas().isEmpty()
        && !terminated.getAsBoolean();
  }

  private void catchUp(String shard, ShardAssignment assignment) {
    long version = assignment.version();
    traceLog.add("copying", shard, "set " + version);
    catchUp.catchUp(
        shard,
        version,
        ReplicaConfiguration.replicas(assignment.replicas()),
        () -> isPending(shard, version),
        () -> {
          traceLog.add("copied", shard, "set " + version);
          reportCaughtUp(shard, version);
        });
  }

  /** Repeated until the change is over, as the leader of the shard's key may change meanwhile. */
  private void reportCaughtUp(String shard, long version) {
    if (!isPending(shard, version)) {
      return;
    }
    reporter.report(
        shard,
        JSON.createObjectNode().put("id", nodeId).put("number", version),
        PeerRequestConstants.ATTEMPT_TIMEOUT_MS);
    environment.schedule(
        ReplicationConstants.CATCH_UP_REPORT_INTERVAL_MS, () -> reportCaughtUp(shard, version));
  }
}
