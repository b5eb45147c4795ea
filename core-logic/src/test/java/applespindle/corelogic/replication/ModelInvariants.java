package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.replication.InvariantViolation.Invariant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The invariants of the model that are checked after every step. */
final class ModelInvariants {
  private final String key;
  private final ModelHistory history;
  private final Map<String, ModelDisk> disks;
  private final Map<String, ModelReplica> replicas;

  /** By replica, the epoch that it had promised after the step before, in its present life. */
  private final Map<String, Epoch> promisedBefore = new TreeMap<>();

  /** Both maps are by the id of the replica, and the model goes on to change them. */
  ModelInvariants(
      String key,
      ModelHistory history,
      Map<String, ModelDisk> disks,
      Map<String, ModelReplica> replicas) {
    this.key = key;
    this.history = history;
    this.disks = disks;
    this.replicas = replicas;
  }

  Map<String, Epoch> promisedBefore() {
    return promisedBefore;
  }

  /** A crash may have lost a promise that was never sent: the next step has none to compare to. */
  void replicaRestarted(String id) {
    promisedBefore.remove(id);
  }

  /** Throws if the present state, under this configuration in force, breaks an invariant. */
  void check(ReplicaConfiguration inForce) {
    replicas.forEach(this::checkPromised);
    for (LogEntry entry : history.acknowledged().values()) {
      checkKept(entry, inForce);
    }
  }

  private void checkPromised(String id, ModelReplica replica) {
    Epoch promised = promised(replica.replicas());
    Epoch before = promisedBefore.put(id, promised);
    if (before != null && promised.isBelow(before)) {
      throw new InvariantViolation(Invariant.PROMISE_KEPT, id + " fell to " + promised);
    }
    Epoch promisedToOthers = history.promisedToOthers(id);
    if (promised.isBelow(promisedToOthers)
        || promised(disks.get(id).recoverable()).isBelow(promisedToOthers)) {
      throw new InvariantViolation(
          Invariant.PROMISE_KEPT,
          id + " has promised " + promised + " and has sent " + promisedToOthers);
    }
  }

  private Epoch promised(LogReplicas replicas) {
    LogReplica replica = replicas.replicas().get(key);
    return replica == null ? Epoch.NONE : replica.promisedEpoch;
  }

  private void checkKept(LogEntry entry, ReplicaConfiguration inForce) {
    Set<String> replicaIds = new HashSet<>();
    disks.forEach(
        (id, disk) -> {
          if (disk.recoverable()
              .holds(key, entry.sequence(), other -> ModelHistory.same(other, entry))) {
            replicaIds.add(id);
          }
        });
    ReplicaConfiguration counted =
        new ReplicaConfiguration(inForce.version(), inForce.current(), List.of());
    if (!counted.isQuorum(replicaIds)) {
      throw new InvariantViolation(
          Invariant.ACKNOWLEDGED_KEPT,
          ModelHistory.describe(entry) + " is recoverable at " + replicaIds + " only");
    }
  }
}
