package applespindle.testfleet;

import applespindle.testfleet.History.Kind;
import applespindle.testfleet.History.Seen;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which machines are bound by time limits at a moment: those without trouble for a while, before a
 * settled core. Read from what was done to the fleet, never from what a node says of itself.
 */
final class HealthyMachines {
  private static final Set<String> CORE_ROLES = Set.of("core", "storage");

  /**
   * A core is settled though a minority of it is down or frozen; any other open trouble unsettles
   * it.
   */
  private static final Set<String> BORNE = Set.of("down", "frozen");

  /** By process, the times at which its trouble changed, with what was then open. */
  private final Map<String, TreeMap<Long, Set<String>>> open = new HashMap<>();

  private final TreeMap<Long, Boolean> coreSettled = new TreeMap<>();
  private final long contactMs;

  HealthyMachines(List<Seen> seen, long contactMs, long losses) {
    this.contactMs = contactMs;
    Map<String, Set<String>> core = new HashMap<>();
    for (Seen each : seen) {
      if (each.kind() != Kind.TROUBLE) {
        continue;
      }
      String[] words = each.detail().split(" ");
      TreeMap<Long, Set<String>> ofProcess =
          open.computeIfAbsent(each.subject(), unseen -> new TreeMap<>());
      Set<String> now =
          new HashSet<>(ofProcess.isEmpty() ? Set.of() : ofProcess.lastEntry().getValue());
      if (words[0].equals("began")) {
        now.add(words[1]);
      } else {
        now.remove(words[1]);
      }
      ofProcess.put(each.atMs(), now);
      if (CORE_ROLES.contains(each.text())) {
        core.put(each.subject(), now);
        boolean borne = core.values().stream().allMatch(BORNE::containsAll);
        long down = core.entrySet().stream().filter(entry -> !entry.getValue().isEmpty()).count();
        coreSettled.put(each.atMs(), borne && down <= losses);
      }
    }
  }

  boolean inTouch(String process, long atMs) {
    TreeMap<Long, Set<String>> ofProcess = open.get(process);
    return settled(atMs) && (ofProcess == null || calm(ofProcess, atMs));
  }

  boolean settled(long atMs) {
    Map.Entry<Long, Boolean> last = coreSettled.floorEntry(atMs);
    return last == null || last.getValue() && last.getKey() + contactMs < atMs;
  }

  /** No trouble of any kind on the process from contactMs before a time until another. */
  boolean untroubled(String process, long fromMs, long untilMs, Set<String> planned) {
    TreeMap<Long, Set<String>> ofProcess = open.getOrDefault(process, new TreeMap<>());
    Map.Entry<Long, Set<String>> before = ofProcess.floorEntry(fromMs - contactMs);
    return (before == null || planned.containsAll(before.getValue()))
        && ofProcess.subMap(fromMs - contactMs, false, untilMs, true).values().stream()
            .allMatch(planned::containsAll);
  }

  /** Whether a life of the process ended or began between two times. */
  boolean sameIncarnation(String process, long fromMs, long untilMs) {
    TreeMap<Long, Set<String>> ofProcess = open.getOrDefault(process, new TreeMap<>());
    return ofProcess.subMap(fromMs, true, untilMs, true).values().stream()
            .noneMatch(now -> now.contains("down"))
        && (ofProcess.floorEntry(fromMs) == null
            || !ofProcess.floorEntry(fromMs).getValue().contains("down"));
  }

  private boolean calm(TreeMap<Long, Set<String>> ofProcess, long atMs) {
    Map.Entry<Long, Set<String>> last = ofProcess.floorEntry(atMs);
    return last == null || last.getValue().isEmpty() && last.getKey() + contactMs < atMs;
  }
}
