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
public record ReplicaConfiguration(long number, List<NodeAddress> present, List<NodeAddress> next) {
  public static final ReplicaConfiguration NONE = new ReplicaConfiguration(0, List.of(), List.of());

  /** The replicas of a shard. */
  public static ReplicaConfiguration of(ShardAssignment shard) {
    return new ReplicaConfiguration(
        shard.number(), replicas(shard.replicas()), replicas(shard.next()));
  }

  public static List<NodeAddress> replicas(List<ShardReplica> replicas) {
    return replicas.stream().map(each -> new NodeAddress(each.id(), each.address())).toList();
  }

  public boolean isEmpty() {
    return present.isEmpty();
  }

  boolean pending() {
    return !next.isEmpty();
  }

  /** Each replica of either set, once. */
  public Collection<NodeAddress> all() {
    Map<String, NodeAddress> byId = new LinkedHashMap<>();
    present.forEach(replica -> byId.put(replica.id(), replica));
    next.forEach(replica -> byId.putIfAbsent(replica.id(), replica));
    return new ArrayList<>(byId.values());
  }

  public boolean quorum(Collection<String> ids) {
    return majority(present, ids) && (next.isEmpty() || majority(next, ids));
  }

  private static boolean majority(List<NodeAddress> set, Collection<String> ids) {
    return set.stream().filter(replica -> ids.contains(replica.id())).count() >= set.size() / 2 + 1;
  }

  /** The highest value that a quorum has reached. */
  long reached(ToLongFunction<String> valueOf) {
    long ofPresent = reached(present, valueOf);
    return next.isEmpty() ? ofPresent : Math.min(ofPresent, reached(next, valueOf));
  }

  private static long reached(List<NodeAddress> set, ToLongFunction<String> valueOf) {
    long[] values =
        set.stream().mapToLong(replica -> valueOf.applyAsLong(replica.id())).sorted().toArray();
    return values[values.length - (set.size() / 2 + 1)];
  }
}
