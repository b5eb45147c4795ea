package applespindle.corelogic;

import applespindle.corelogic.Records.Shard;
import applespindle.corelogic.Records.StorageReplica;
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
record ReplicaSets(long number, List<OwnedKey.Replica> present, List<OwnedKey.Replica> next) {
  static final ReplicaSets NONE = new ReplicaSets(0, List.of(), List.of());

  /** The replicas of a shard. */
  static ReplicaSets of(Shard shard) {
    return new ReplicaSets(shard.number(), replicas(shard.replicas()), replicas(shard.next()));
  }

  static List<OwnedKey.Replica> replicas(List<StorageReplica> replicas) {
    return replicas.stream().map(each -> new OwnedKey.Replica(each.id(), each.address())).toList();
  }

  boolean isEmpty() {
    return present.isEmpty();
  }

  boolean pending() {
    return !next.isEmpty();
  }

  /** Each replica of either set, once. */
  Collection<OwnedKey.Replica> all() {
    Map<String, OwnedKey.Replica> byId = new LinkedHashMap<>();
    present.forEach(replica -> byId.put(replica.id(), replica));
    next.forEach(replica -> byId.putIfAbsent(replica.id(), replica));
    return new ArrayList<>(byId.values());
  }

  boolean quorum(Collection<String> ids) {
    return majority(present, ids) && (next.isEmpty() || majority(next, ids));
  }

  private static boolean majority(List<OwnedKey.Replica> set, Collection<String> ids) {
    return set.stream().filter(replica -> ids.contains(replica.id())).count() >= set.size() / 2 + 1;
  }

  /** The highest value that a quorum has reached. */
  long reached(ToLongFunction<String> valueOf) {
    long ofPresent = reached(present, valueOf);
    return next.isEmpty() ? ofPresent : Math.min(ofPresent, reached(next, valueOf));
  }

  private static long reached(List<OwnedKey.Replica> set, ToLongFunction<String> valueOf) {
    long[] values =
        set.stream().mapToLong(replica -> valueOf.applyAsLong(replica.id())).sorted().toArray();
    return values[values.length - (set.size() / 2 + 1)];
  }
}
