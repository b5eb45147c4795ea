package applespindle.corelogic.controlplane;

import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.constants.ShardConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.ShardReplica;
import applespindle.corelogic.node.TraceLog;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Assigns shards to storage nodes: the leader of a shard's key creates the shard's replica set and
 * changes it.
 *
 * <p>State owned: the keys of the shards that this node leads, and whether a check is scheduled. A
 * shard goes through these transitions: without a value; stable (next is empty); changing (next
 * holds the new set, and both sets are in use); stable again with the new set once the new replica
 * has caught up, or with the old set if the new replica's node is lost.
 *
 * <p>Invariants: a change replaces or adds one replica; the new set alone is in use only once the
 * new replica reported that it caught up under the number of this very change; at most {@link
 * ShardConstants#MAX_CONCURRENT_CHANGES} changes of repair are started by this leader at a time;
 * balancing waits until all shards are complete.
 */
final class ShardReplicaManager implements KeyManager {
  private static final String PART = "core";

  private final Environment environment;
  private final MetadataTable table;
  private final LedKeys keys;
  private final TraceLog traceLog;
  private final BooleanSupplier running;
  private final ShardHealth shardHealth;
  private final ShardRepairPolicy repairPolicy;
  private final ShardBalancer balancer;
  private final int replicationFactor;

  /** True while a check is scheduled by {@link #checkSoon}; at most one is. */
  private boolean checkScheduled;

  ShardReplicaManager(
      ControlPlaneContext context, StorageNodeDirectory directory, ShardHealth shardHealth) {
    this.environment = context.environment();
    this.table = context.table();
    this.keys = context.keys();
    this.traceLog = context.traceLog();
    this.running = context.running();
    this.shardHealth = shardHealth;
    this.replicationFactor = context.settings().replicas();
    this.repairPolicy = new ShardRepairPolicy(table, directory, replicationFactor);
    this.balancer = new ShardBalancer(directory);
  }

  @Override
  public void tick() {
    createAssignments();
    advanceChanges();
    if (changesInProgress() == 0
        && environment.random().nextInt(ShardConstants.BALANCE_CHECK_ONE_IN) == 0) {
      balance();
    }
  }

  /**
   * Schedules a check ahead of the next tick, because all shards of a lost disk have to be moved
   * within seconds: the next change starts as soon as the one before is complete.
   */
  void checkSoon() {
    if (checkScheduled) {
      return;
    }
    checkScheduled = true;
    environment.schedule(
        ShardConstants.MIN_CHECK_INTERVAL_MS,
        () -> {
          checkScheduled = false;
          if (running.getAsBoolean()) {
            advanceChanges();
          }
        });
  }

  // ---- creating the replica sets

  /** Gives every shard its first replica set once enough storage nodes are live. */
  private void createAssignments() {
    List<NodeRegistration> storage = table.live(StorageNodeDirectory.STORAGE_ROLE);
    if (storage.size() < replicationFactor || table.shards().size() == ShardConstants.SHARD_COUNT) {
      return;
    }
    for (int shard = 0; shard < ShardConstants.SHARD_COUNT; shard++) {
      String key = MetadataKeys.SHARD_PREFIX + shard;
      if (!table.has(key)) {
        createAssignment(key, storage);
      }
    }
  }

  /**
   * The leader of the key creates the set, also if another member has become the preferred leader
   * since its election: replicas elect no other while the leader is alive. Without a known leader
   * the preferred member starts an election.
   */
  private void createAssignment(String key, List<NodeRegistration> storage) {
    LedKey ledKey = keys.get(key);
    if (ledKey == null) {
      keys.electIfVacant(key);
    } else if (!ledKey.hasValue()) {
      List<ShardReplica> replicas = ShardPlacement.placeShard(key, storage, replicationFactor);
      keys.put(ledKey, new ShardAssignment(1, replicas, List.of()), error -> {});
    }
  }

  // ---- changing the replica sets

  private List<LedKey> ledShards() {
    return keys.all().values().stream()
        .filter(ledKey -> ledKey.key().startsWith(MetadataKeys.SHARD_PREFIX) && ledKey.hasValue())
        .toList();
  }

  private static boolean isChanging(ShardAssignment shard) {
    return !shard.nextReplicas().isEmpty();
  }

  private long changesInProgress() {
    return ledShards().stream()
        .filter(ledKey -> isChanging(ledKey.as(ShardAssignment.class)))
        .count();
  }

  /** Takes the next step of every change in progress, and starts the repairs that are due. */
  private void advanceChanges() {
    repairPolicy.refresh(environment.nowMs());
    long inProgress = changesInProgress();
    for (LedKey ledKey : ledShards()) {
      ShardAssignment shard = ledKey.as(ShardAssignment.class);
      if (isChanging(shard)) {
        completeOrCancelChange(ledKey, shard);
      } else if (inProgress < ShardConstants.MAX_CONCURRENT_CHANGES) {
        Optional<List<ShardReplica>> next = repairPolicy.nextReplicas(ledKey.key(), shard);
        if (next.isPresent()) {
          inProgress++;
          beginChange(ledKey, shard, next.get());
        }
      }
    }
  }

  private void beginChange(LedKey ledKey, ShardAssignment shard, List<ShardReplica> next) {
    ledKey.forgetCaughtUpReports();
    long number = shard.version() + 1;
    traceLog.add("changing", ledKey.key(), "set " + number);
    keys.put(ledKey, new ShardAssignment(number, shard.replicas(), next), error -> {});
  }

  /**
   * Completes the change if the new replica has caught up, and cancels it if the new replica's node
   * is lost.
   */
  private void completeOrCancelChange(LedKey ledKey, ShardAssignment shard) {
    List<ShardReplica> added =
        shard.nextReplicas().stream()
            .filter(replica -> !shard.replicas().contains(replica))
            .toList();
    List<ShardReplica> needed = added.isEmpty() ? shard.nextReplicas() : added;
    if (needed.stream().allMatch(replica -> ledKey.hasCaughtUp(replica.id(), shard.version()))) {
      environment.log(PART, "Replicas changed: " + ledKey.key() + ".");
      endChange(ledKey, shard, shard.nextReplicas());
    } else if (added.stream().anyMatch(replica -> !repairPolicy.isLive(replica))) {
      endChange(ledKey, shard, shard.replicas());
    }
  }

  private void endChange(LedKey ledKey, ShardAssignment shard, List<ShardReplica> replicas) {
    keys.put(
        ledKey,
        new ShardAssignment(shard.version() + 1, replicas, List.of()),
        error -> checkSoon());
  }

  /**
   * Starts at most one move to a less loaded node, and only while every shard is complete: repairs
   * come first, and leaders that balance at the same time would move replicas back and forth.
   */
  private void balance() {
    if (!shardHealth.allComplete()) {
      return;
    }
    ShardBalancer.Load load = balancer.currentLoad();
    for (LedKey ledKey : ledShards()) {
      ShardAssignment shard = ledKey.as(ShardAssignment.class);
      Optional<List<ShardReplica>> next = balancer.rebalanced(ledKey.key(), shard, load);
      if (next.isPresent()) {
        beginChange(ledKey, shard, next.get());
        return;
      }
    }
  }
}
