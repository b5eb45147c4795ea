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

/** Which storage nodes should hold a shard; choices only, nothing is changed here. */
final class ShardPlacement {
  static List<ShardReplica> placeShard(String key, List<NodeRegistration> storage, int replicas) {
    Map<String, NodeRegistration> byId = new HashMap<>();
    storage.forEach(member -> byId.put(member.id(), member));
    List<NodeRegistration> ordered =
        RendezvousHashing.order(key, byId.keySet()).stream().map(byId::get).toList();
    List<NodeRegistration> chosenMembers = new ArrayList<>();
    Set<String> zones = new LinkedHashSet<>();
    ordered.stream().filter(member -> zones.add(member.zone())).forEach(chosenMembers::add);
    ordered.stream().filter(member -> !chosenMembers.contains(member)).forEach(chosenMembers::add);
    return chosenMembers.stream()
        .limit(replicas)
        .map(member -> new ShardReplica(member.id(), member.peerAddress(), member.zone()))
        .toList();
  }

  /**
   * Spares that are not in the set: those of a zone the rest does not cover first, then those that
   * hold least.
   */
  static List<NodeRegistration> candidates(
      String key,
      ShardAssignment shard,
      List<ShardReplica> leaving,
      List<NodeRegistration> spares,
      Map<String, Long> holding) {
    Set<String> present = new LinkedHashSet<>();
    Set<String> zones = new LinkedHashSet<>();
    for (ShardReplica each : shard.replicas()) {
      present.add(each.id());
      if (!leaving.contains(each)) {
        zones.add(each.zone());
      }
    }
    return spares.stream()
        .filter(member -> !present.contains(member.id()))
        .sorted(
            Comparator.comparing((NodeRegistration member) -> zones.contains(member.zone()))
                .thenComparing(member -> holding.getOrDefault(member.id(), 0L))
                .thenComparing(
                    member -> RendezvousHashing.mix(RendezvousHashing.hash(key + member.id()))))
        .toList();
  }

  static long zonesWithout(ShardAssignment shard, ShardReplica leaver, NodeRegistration newcomer) {
    Set<String> zones = new LinkedHashSet<>();
    shard.replicas().stream()
        .filter(each -> !each.equals(leaver))
        .forEach(each -> zones.add(each.zone()));
    if (newcomer != null) {
      zones.add(newcomer.zone());
    }
    return zones.size();
  }

  static List<ShardReplica> replaced(
      ShardAssignment shard, ShardReplica leaver, NodeRegistration newcomer) {
    List<ShardReplica> next = new ArrayList<>(shard.replicas());
    next.remove(leaver);
    if (newcomer != null) {
      next.add(new ShardReplica(newcomer.id(), newcomer.peerAddress(), newcomer.zone()));
    }
    return next;
  }

  private ShardPlacement() {}
}
