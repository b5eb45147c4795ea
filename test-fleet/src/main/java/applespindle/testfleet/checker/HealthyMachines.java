package applespindle.testfleet.checker;

import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tells which machines must keep the time limits at a moment: those without a fault for a while, as
 * long as the control plane is stable. It is derived from the injected faults, never from what a
 * node reports of itself.
 */
final class HealthyMachines {
  private static final Set<String> CONTROL_PLANE_ROLES = Set.of("core", "storage");

  /** Faults of a minority that leave the control plane stable; any other fault does not. */
  private static final Set<String> TOLERATED = Set.of("down", "frozen");

  /** By process, the times at which its faults changed, with the faults then open. */
  private final Map<String, TreeMap<Long, Set<String>>> open = new HashMap<>();

  private final TreeMap<Long, Boolean> controlPlaneStable = new TreeMap<>();
  private final long contactMs;

  HealthyMachines(List<Seen> seen, long contactMs, long losses) {
    this.contactMs = contactMs;
    Map<String, Set<String>> controlPlane = new HashMap<>();
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
      if (CONTROL_PLANE_ROLES.contains(each.text())) {
        controlPlane.put(each.subject(), now);
        boolean tolerated = controlPlane.values().stream().allMatch(TOLERATED::containsAll);
        long down =
            controlPlane.entrySet().stream().filter(entry -> !entry.getValue().isEmpty()).count();
        controlPlaneStable.put(each.atMs(), tolerated && down <= losses);
      }
    }
  }

  boolean isHealthy(String process, long atMs) {
    TreeMap<Long, Set<String>> ofProcess = open.get(process);
    return isStable(atMs) && (ofProcess == null || hasNoFault(ofProcess, atMs));
  }

  boolean isStable(long atMs) {
    Map.Entry<Long, Boolean> last = controlPlaneStable.floorEntry(atMs);
    return last == null || last.getValue() && last.getKey() + contactMs < atMs;
  }

  /** Whether the process had no unplanned fault from contactMs before a time until another. */
  boolean hadNoFault(String process, long fromMs, long untilMs, Set<String> planned) {
    TreeMap<Long, Set<String>> ofProcess = open.getOrDefault(process, new TreeMap<>());
    Map.Entry<Long, Set<String>> before = ofProcess.floorEntry(fromMs - contactMs);
    return (before == null || planned.containsAll(before.getValue()))
        && ofProcess.subMap(fromMs - contactMs, false, untilMs, true).values().stream()
            .allMatch(planned::containsAll);
  }

  /** Whether the process was up without a restart between two times. */
  boolean sameIncarnation(String process, long fromMs, long untilMs) {
    TreeMap<Long, Set<String>> ofProcess = open.getOrDefault(process, new TreeMap<>());
    return ofProcess.subMap(fromMs, true, untilMs, true).values().stream()
            .noneMatch(now -> now.contains("down"))
        && (ofProcess.floorEntry(fromMs) == null
            || !ofProcess.floorEntry(fromMs).getValue().contains("down"));
  }

  private boolean hasNoFault(TreeMap<Long, Set<String>> ofProcess, long atMs) {
    Map.Entry<Long, Set<String>> last = ofProcess.floorEntry(atMs);
    return last == null || last.getValue().isEmpty() && last.getKey() + contactMs < atMs;
  }
}
