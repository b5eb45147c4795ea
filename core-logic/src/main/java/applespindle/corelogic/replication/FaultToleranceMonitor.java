package applespindle.corelogic.replication;

import applespindle.corelogic.metadata.NodeAddress;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Predicate;

/**
 * How many more replicas may fail without a loss of quorum, and for how long it has been fewer than
 * required: for the control plane, and for the shard with the least tolerance.
 *
 * <p>Invariant: a shortage lasts from the first update below the required number to the first one
 * that reaches it.
 */
public final class FaultToleranceMonitor {
  /** The tolerance of one kind of configuration, and since when it is too small. */
  private static final class Tolerance {
    private int failures;
    private boolean insufficient;
    private long insufficientSinceMs;

    void update(int failuresNow, int required, long nowMs) {
      failures = failuresNow;
      if (failuresNow >= required) {
        insufficient = false;
      } else if (!insufficient) {
        insufficient = true;
        insufficientSinceMs = nowMs;
      }
    }

    long insufficientForMs(long nowMs) {
      return insufficient ? nowMs - insufficientSinceMs : 0;
    }
  }

  private final int requiredFailures;
  private final Tolerance core = new Tolerance();
  private final Tolerance worstShard = new Tolerance();

  /**
   * @param requiredFailures how many failures the deployment is meant to tolerate
   */
  public FaultToleranceMonitor(int requiredFailures) {
    this.requiredFailures = requiredFailures;
  }

  /**
   * How many of the present replicas may fail while a majority of each set is left. While a change
   * is pending both sets count, and a joining replica counts as absent: its log may be incomplete.
   *
   * @param present whether the replica of this id is alive
   */
  public static int remainingTolerableFailures(
      ReplicaConfiguration replicaConfiguration, Predicate<String> present) {
    List<String> presentIds =
        replicaConfiguration.current().stream().map(NodeAddress::id).filter(present).toList();
    int ofCurrent = remainingTolerableFailures(replicaConfiguration.current(), presentIds);
    return replicaConfiguration.isChanging()
        ? Math.min(ofCurrent, remainingTolerableFailures(replicaConfiguration.next(), presentIds))
        : ofCurrent;
  }

  private static int remainingTolerableFailures(
      List<NodeAddress> replicas, List<String> presentIds) {
    long present = replicas.stream().filter(each -> presentIds.contains(each.id())).count();
    return (int) Math.max(0, present - ReplicaConfiguration.majorityOf(replicas));
  }

  /** Takes the failures that can be tolerated at this time, in milliseconds. */
  public void update(int failuresOfCore, int failuresOfWorstShard, long nowMs) {
    core.update(failuresOfCore, requiredFailures, nowMs);
    worstShard.update(failuresOfWorstShard, requiredFailures, nowMs);
  }

  /** Writes the tolerance at this time, in milliseconds, into a node's status. */
  public void describe(ObjectNode status, long nowMs) {
    status
        .put("lossesAsked", requiredFailures)
        .put("coreLossesBearable", core.failures)
        .put("coreFewerForMs", core.insufficientForMs(nowMs))
        .put("shardLossesBearable", worstShard.failures)
        .put("shardFewerForMs", worstShard.insufficientForMs(nowMs));
  }
}
