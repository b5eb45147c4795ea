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
 * The machines that must keep time limits at a moment: those without a fault for a while, as long
 * as the control plane is settled. Derived from the faults that were injected, never from what a
 * node reports about itself.
 */
final class HealthyMachines {
  private static final Set<String> DURABLE_ROLES = Set.of("core", "storage");

  /**
   * The control plane stays settled while a minority of its nodes has these faults; any other open
   * fault unsettles it.
   */
  private static final Set<String> TOLERATED_FAULTS = Set.of("down", "frozen");

  /** By process and time of a change, the faults that are open from then on. */
  private final Map<String, TreeMap<Long, Set<String>>> open = new HashMap<>();

  /** By time of a change, whether the control plane is settled from then on. */
  private final TreeMap<Long, Boolean> settledAt = new TreeMap<>();

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
      if (DURABLE_ROLES.contains(each.text())) {
        core.put(each.subject(), now);
        boolean tolerated = core.values().stream().allMatch(TOLERATED_FAULTS::containsAll);
        long down = core.entrySet().stream().filter(entry -> !entry.getValue().isEmpty()).count();
        settledAt.put(each.atMs(), tolerated && down <= losses);
      }
    }
  }

  /** Whether a process has had no fault for contactMs and the control plane is settled. */
  boolean connected(String process, long atMs) {
    TreeMap<Long, Set<String>> ofProcess = open.get(process);
    return settled(atMs) && (ofProcess == null || withoutFaultFor(ofProcess, atMs));
  }

  /** Whether the control plane has been settled for contactMs. */
  boolean settled(long atMs) {
    Map.Entry<Long, Boolean> last = settledAt.floorEntry(atMs);
    return last == null || last.getValue() && last.getKey() + contactMs < atMs;
  }

  /** Whether a process had only planned faults from contactMs before a time until another. */
  boolean withoutFault(String process, long fromMs, long untilMs, Set<String> planned) {
    TreeMap<Long, Set<String>> ofProcess = open.getOrDefault(process, new TreeMap<>());
    Map.Entry<Long, Set<String>> before = ofProcess.floorEntry(fromMs - contactMs);
    return (before == null || planned.containsAll(before.getValue()))
        && ofProcess.subMap(fromMs - contactMs, false, untilMs, true).values().stream()
            .allMatch(planned::containsAll);
  }

  /** Whether no incarnation of the process ended or began between two times. */
  boolean sameIncarnation(String process, long fromMs, long untilMs) {
    TreeMap<Long, Set<String>> ofProcess = open.getOrDefault(process, new TreeMap<>());
    return ofProcess.subMap(fromMs, true, untilMs, true).values().stream()
            .noneMatch(now -> now.contains("down"))
        && (ofProcess.floorEntry(fromMs) == null
            || !ofProcess.floorEntry(fromMs).getValue().contains("down"));
  }

  private boolean withoutFaultFor(TreeMap<Long, Set<String>> ofProcess, long atMs) {
    Map.Entry<Long, Set<String>> last = ofProcess.floorEntry(atMs);
    return last == null || last.getValue().isEmpty() && last.getKey() + contactMs < atMs;
  }
}
