package applespindle.corelogic.membership;

import applespindle.corelogic.metadata.QuorumMember;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Chooses members so that they are spread over as many zones as possible. Has no state. */
final class ZoneSpread {
  private ZoneSpread() {}

  /**
   * Takes one candidate of each zone in turn, zones and candidates ordered by name. The preferred
   * candidate comes first if it is among them, and its zone is the first zone.
   *
   * @param count how many to choose; at most the number of candidates
   * @throws IllegalArgumentException if there are fewer candidates than that
   */
  static List<QuorumMember> choose(
      List<QuorumMember> candidates, int count, QuorumMember preferred) {
    if (count > candidates.size()) {
      throw new IllegalArgumentException(
          "cannot choose " + count + " members of " + candidates.size() + " candidates");
    }
    Map<String, List<QuorumMember>> byZone = groupByZone(candidates, preferred);
    List<QuorumMember> chosen = new ArrayList<>();
    while (chosen.size() < count) {
      for (List<QuorumMember> zone : byZone.values()) {
        if (!zone.isEmpty() && chosen.size() < count) {
          chosen.add(zone.remove(0));
        }
      }
    }
    return chosen;
  }

  private static Map<String, List<QuorumMember>> groupByZone(
      List<QuorumMember> candidates, QuorumMember preferred) {
    Comparator<String> preferredZoneFirst =
        Comparator.comparing((String zone) -> !zone.equals(preferred.zone()))
            .thenComparing(Comparator.naturalOrder());
    Comparator<QuorumMember> preferredMemberFirst =
        Comparator.comparing((QuorumMember member) -> !member.equals(preferred))
            .thenComparing(QuorumMember::name)
            .thenComparing(QuorumMember::id);
    Map<String, List<QuorumMember>> byZone = new TreeMap<>(preferredZoneFirst);
    candidates.stream()
        .sorted(preferredMemberFirst)
        .forEach(
            member ->
                byZone.computeIfAbsent(member.zone(), unseen -> new ArrayList<>()).add(member));
    return byZone;
  }
}
