package applespindle.corelogic.controlplane;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.ShardReplica;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Chooses the storage nodes for the replicas of a shard. It owns no state and changes nothing: the
 * same arguments give the same choice.
 */
final class ShardPlacement {
  /**
   * The first replica set of a shard: nodes in the key's rendezvous order, as many zones as
   * possible first.
   */
  static List<ShardReplica> placeShard(
      String key, List<NodeRegistration> storage, int replicationFactor) {
    Map<String, NodeRegistration> byId = new HashMap<>();
    storage.forEach(member -> byId.put(member.id(), member));
    List<NodeRegistration> ordered =
        RendezvousHashing.order(key, byId.keySet()).stream().map(byId::get).toList();
    List<NodeRegistration> chosenMembers = new ArrayList<>();
    Set<String> zones = new LinkedHashSet<>();
    ordered.stream().filter(member -> zones.add(member.zone())).forEach(chosenMembers::add);
    ordered.stream().filter(member -> !chosenMembers.contains(member)).forEach(chosenMembers::add);
    return chosenMembers.stream()
        .limit(replicationFactor)
        .map(member -> new ShardReplica(member.id(), member.peerAddress(), member.zone()))
        .toList();
  }

  /**
   * The active nodes without a replica of the shard, best first: nodes in a zone that the remaining
   * replicas do not cover, then nodes with fewer replicas.
   *
   * @param leaving the replicas that will be removed
   * @param active the nodes that accept new replicas
   * @param replicaCounts number of replicas by node id
   */
  static List<NodeRegistration> candidates(
      String key,
      ShardAssignment shard,
      List<ShardReplica> leaving,
      List<NodeRegistration> active,
      Map<String, Long> replicaCounts) {
    Set<String> present = new LinkedHashSet<>();
    Set<String> zones = new LinkedHashSet<>();
    for (ShardReplica replica : shard.replicas()) {
      present.add(replica.id());
      if (!leaving.contains(replica)) {
        zones.add(replica.zone());
      }
    }
    return active.stream()
        .filter(member -> !present.contains(member.id()))
        .sorted(
            Comparator.comparing((NodeRegistration member) -> zones.contains(member.zone()))
                .thenComparing(member -> replicaCounts.getOrDefault(member.id(), 0L))
                .thenComparing(
                    member -> RendezvousHashing.mix(RendezvousHashing.hash(key + member.id()))))
        .toList();
  }

  /**
   * The number of zones that the shard covers without one replica and with one more node; both may
   * be null.
   */
  static long zonesWithout(ShardAssignment shard, ShardReplica removed, NodeRegistration added) {
    Set<String> zones = new LinkedHashSet<>();
    shard.replicas().stream()
        .filter(replica -> !replica.equals(removed))
        .forEach(replica -> zones.add(replica.zone()));
    if (added != null) {
      zones.add(added.zone());
    }
    return zones.size();
  }

  /** The shard's replicas without one replica and with one more node; both may be null. */
  static List<ShardReplica> replaced(
      ShardAssignment shard, ShardReplica removed, NodeRegistration added) {
    List<ShardReplica> next = new ArrayList<>(shard.replicas());
    next.remove(removed);
    if (added != null) {
      next.add(new ShardReplica(added.id(), added.peerAddress(), added.zone()));
    }
    return next;
  }

  private ShardPlacement() {}
}
