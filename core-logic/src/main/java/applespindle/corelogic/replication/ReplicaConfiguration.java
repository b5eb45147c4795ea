package applespindle.corelogic.replication;

import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.ShardReplica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * The replicas of a key under a version that only rises. While a change is pending there is a next
 * set of replicas too, and every decision needs a majority of each set (joint consensus, as in
 * Raft): the quorums of a leader that does not know of the change yet and of one that does always
 * share a replica.
 *
 * @param version 0 for {@link #NONE} only
 * @param current the replicas in force
 * @param next the replicas after the pending change; empty if none is pending
 */
public record ReplicaConfiguration(
    long version, List<NodeAddress> current, List<NodeAddress> next) {
  /** The configuration of a node that knows no replicas. */
  public static final ReplicaConfiguration NONE = new ReplicaConfiguration(0, List.of(), List.of());

  /** The replicas of a shard. */
  public static ReplicaConfiguration of(ShardAssignment shard) {
    return new ReplicaConfiguration(
        shard.version(), replicas(shard.replicas()), replicas(shard.nextReplicas()));
  }

  /** The same replicas without their zones. */
  public static List<NodeAddress> replicas(List<ShardReplica> replicas) {
    return replicas.stream().map(each -> new NodeAddress(each.id(), each.address())).toList();
  }

  /** Whether there are no replicas, so that nothing can have a quorum. */
  public boolean isEmpty() {
    return current.isEmpty();
  }

  boolean isChanging() {
    return !next.isEmpty();
  }

  /** Each replica of either set, once; at the address in the present set if it is in both. */
  public Collection<NodeAddress> allReplicas() {
    Map<String, NodeAddress> byId = new LinkedHashMap<>();
    current.forEach(replica -> byId.put(replica.id(), replica));
    next.forEach(replica -> byId.putIfAbsent(replica.id(), replica));
    return new ArrayList<>(byId.values());
  }

  /** Whether these replicas are a majority of the present set, and of the next if there is one. */
  public boolean isQuorum(Collection<String> ids) {
    return isMajority(current, ids) && (next.isEmpty() || isMajority(next, ids));
  }

  private static boolean isMajority(List<NodeAddress> replicas, Collection<String> ids) {
    long present = replicas.stream().filter(replica -> ids.contains(replica.id())).count();
    return present >= majorityOf(replicas);
  }

  /** The size of a majority of these replicas. */
  static int majorityOf(List<NodeAddress> replicas) {
    return replicas.size() / 2 + 1;
  }

  /** The highest value that every replica of some quorum has reached. */
  long valueReachedByQuorum(ToLongFunction<String> valueOf) {
    long ofCurrent = valueReachedByMajority(current, valueOf);
    return next.isEmpty() ? ofCurrent : Math.min(ofCurrent, valueReachedByMajority(next, valueOf));
  }

  private static long valueReachedByMajority(
      List<NodeAddress> replicas, ToLongFunction<String> valueOf) {
    long[] values =
        replicas.stream()
            .mapToLong(replica -> valueOf.applyAsLong(replica.id()))
            .sorted()
            .toArray();
    return values[values.length - majorityOf(replicas)];
  }
}
