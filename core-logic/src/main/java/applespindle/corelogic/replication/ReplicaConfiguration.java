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
 * Who replicates a key, under a number that only rises. While a next set is pending, everything
 * needs a majority of the present set and one of the next; so neither an owner that has not heard
 * of the change nor one that is ahead of it can act on replicas that the other does not meet.
 */
public record ReplicaConfiguration(
    long version, List<NodeAddress> current, List<NodeAddress> next) {
  public static final ReplicaConfiguration NONE = new ReplicaConfiguration(0, List.of(), List.of());

  /** The replicas of a shard. */
  public static ReplicaConfiguration of(ShardAssignment shard) {
    return new ReplicaConfiguration(
        shard.version(), replicas(shard.replicas()), replicas(shard.nextReplicas()));
  }

  public static List<NodeAddress> replicas(List<ShardReplica> replicas) {
    return replicas.stream().map(each -> new NodeAddress(each.id(), each.address())).toList();
  }

  public boolean isEmpty() {
    return current.isEmpty();
  }

  boolean isChanging() {
    return !next.isEmpty();
  }

  /** Each replica of either set, once. */
  public Collection<NodeAddress> allReplicas() {
    Map<String, NodeAddress> byId = new LinkedHashMap<>();
    current.forEach(replica -> byId.put(replica.id(), replica));
    next.forEach(replica -> byId.putIfAbsent(replica.id(), replica));
    return new ArrayList<>(byId.values());
  }

  public boolean isQuorum(Collection<String> ids) {
    return majority(current, ids) && (next.isEmpty() || majority(next, ids));
  }

  private static boolean majority(List<NodeAddress> set, Collection<String> ids) {
    return set.stream().filter(replica -> ids.contains(replica.id())).count() >= set.size() / 2 + 1;
  }

  /** The highest value that a quorum has reached. */
  long valueReachedByQuorum(ToLongFunction<String> valueOf) {
    long ofPresent = valueReachedByQuorum(current, valueOf);
    return next.isEmpty() ? ofPresent : Math.min(ofPresent, valueReachedByQuorum(next, valueOf));
  }

  private static long valueReachedByQuorum(List<NodeAddress> set, ToLongFunction<String> valueOf) {
    long[] values =
        set.stream().mapToLong(replica -> valueOf.applyAsLong(replica.id())).sorted().toArray();
    return values[values.length - (set.size() / 2 + 1)];
  }
}
