package applespindle.corelogic;

import applespindle.corelogic.Records.Member;
import applespindle.corelogic.Records.Shard;
import applespindle.corelogic.Records.StorageReplica;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Which storage nodes should hold a shard; choices only, nothing is changed here. */
final class ShardPlacement {
  static List<StorageReplica> placeShard(String key, List<Member> storage, int replicas) {
    Map<String, Member> byId = new HashMap<>();
    storage.forEach(member -> byId.put(member.id(), member));
    List<Member> ordered = Rendezvous.order(key, byId.keySet()).stream().map(byId::get).toList();
    List<Member> chosenMembers = new ArrayList<>();
    Set<String> zones = new LinkedHashSet<>();
    ordered.stream().filter(member -> zones.add(member.zone())).forEach(chosenMembers::add);
    ordered.stream().filter(member -> !chosenMembers.contains(member)).forEach(chosenMembers::add);
    return chosenMembers.stream()
        .limit(replicas)
        .map(member -> new StorageReplica(member.id(), member.peerAddress(), member.zone()))
        .toList();
  }

  /**
   * Spares that are not in the set: those of a zone the rest does not cover first, then those that
   * hold least.
   */
  static List<Member> candidates(
      String key,
      Shard shard,
      List<StorageReplica> leaving,
      List<Member> spares,
      Map<String, Long> holding) {
    Set<String> present = new LinkedHashSet<>();
    Set<String> zones = new LinkedHashSet<>();
    for (StorageReplica each : shard.replicas()) {
      present.add(each.id());
      if (!leaving.contains(each)) {
        zones.add(each.zone());
      }
    }
    return spares.stream()
        .filter(member -> !present.contains(member.id()))
        .sorted(
            Comparator.comparing((Member member) -> zones.contains(member.zone()))
                .thenComparing(member -> holding.getOrDefault(member.id(), 0L))
                .thenComparing(member -> Rendezvous.mix(Rendezvous.hash(key + member.id()))))
        .toList();
  }

  static long zonesWithout(Shard shard, StorageReplica leaver, Member newcomer) {
    Set<String> zones = new LinkedHashSet<>();
    shard.replicas().stream()
        .filter(each -> !each.equals(leaver))
        .forEach(each -> zones.add(each.zone()));
    if (newcomer != null) {
      zones.add(newcomer.zone());
    }
    return zones.size();
  }

  static List<StorageReplica> replaced(Shard shard, StorageReplica leaver, Member newcomer) {
    List<StorageReplica> next = new ArrayList<>(shard.replicas());
    next.remove(leaver);
    if (newcomer != null) {
      next.add(new StorageReplica(newcomer.id(), newcomer.peerAddress(), newcomer.zone()));
    }
    return next;
  }

  private ShardPlacement() {}
}
