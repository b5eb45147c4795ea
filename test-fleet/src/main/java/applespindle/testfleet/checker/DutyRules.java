package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Rules on the calls of the duties, as the platform sees them. */
final class DutyRules extends RuleGroup<ObservedTraffic> {
  /** A call that the platform has not refused for its fencing token. */
  private static final int STATUS_TAKEN = 200;

  /** A window that is open when the service comes back may be late for this long. */
  private static final long RECOVERY_MS = RecoveryRules.RECOVERY_MS;

  /** Windows that end this long before the end of the history must be reported. */
  private static final long CALM_AT_END_MS = 22_000;

  /** A holder and the time of its last call of a turn. */
  private record Turn(String holder, long lastMs) {}

  DutyRules(ObservedTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  private static String holder(Seen call) {
    return call.detail().substring(0, call.detail().indexOf(' '));
  }

  private static String fence(Seen call) {
    return call.detail().substring(call.detail().indexOf(' ') + 1);
  }

  private static long window(Seen report) {
    return Long.parseLong(report.text().substring(0, report.text().indexOf(' ')));
  }

  private List<Seen> calls() {
    List<Seen> calls = new ArrayList<>();
    for (Seen each : traffic.events) {
      if (each.kind() == Kind.USAGE_REPORTED || each.kind() == Kind.SCALE_ORDERED) {
        calls.add(each);
      }
    }
    return calls;
  }

  /** Of one window, the platform takes reports with one content only. */
  void reportsOfAWindowAreEqual() {
    Map<Long, String> taken = new HashMap<>();
    for (Seen report : traffic.of(Kind.USAGE_REPORTED)) {
      if (report.number() != STATUS_TAKEN) {
        continue;
      }
      String before = taken.putIfAbsent(window(report), report.text());
      if (before != null && !before.equals(report.text())) {
        violated(
            Rule.USAGE_REPORTS_DIFFER,
            report.atMs(),
            report.text() + " of " + report.detail() + " after " + before);
      }
    }
  }

  /** No two holders send one fencing token for a subject, and a new holder has a higher one. */
  void eachHolderHasItsOwnFence() {
    Map<String, String> holders = new HashMap<>();
    for (Seen call : calls()) {
      String before = holders.putIfAbsent(call.subject() + " " + fence(call), holder(call));
      if (before != null && !before.equals(holder(call))) {
        violated(
            Rule.FENCE_SHARED,
            call.atMs(),
            holder(call) + " and " + before + " send fence " + fence(call));
      }
    }
  }

  /** A holder does not come back within a lease after another one has made calls. */
  void holdersDoNotComeBackWithinALease() {
    long leaseMs = bound("leaseMs");
    Map<String, List<Turn>> turnsOfSubject = new LinkedHashMap<>();
    for (Seen call : calls()) {
      if (call.number() != STATUS_TAKEN) {
        continue;
      }
      List<Turn> turns = turnsOfSubject.computeIfAbsent(call.subject(), each -> new ArrayList<>());
      if (!turns.isEmpty() && turns.get(turns.size() - 1).holder().equals(holder(call))) {
        turns.remove(turns.size() - 1);
      } else {
        checkReturn(call, turns, leaseMs);
      }
      turns.add(new Turn(holder(call), call.atMs()));
    }
  }

  private void checkReturn(Seen call, List<Turn> turns, long leaseMs) {
    for (Turn turn : turns) {
      if (turn.holder().equals(holder(call)) && call.atMs() - turn.lastMs() < leaseMs) {
        violated(
            Rule.DUTY_HOLDER_BACK_TOO_SOON,
            call.atMs(),
            holder(call) + " is back after " + (call.atMs() - turn.lastMs()) + " ms");
      }
    }
  }

  /** Every window is reported: in time if nothing was wrong around it, else some time later. */
  void everyWindowIsReported() {
    long windowMs = bound("usageWindowMs");
    if (windowMs == 0 || traffic.events.isEmpty()) {
      return;
    }
    TreeMap<Long, Long> firstTaken = new TreeMap<>();
    for (Seen report : traffic.of(Kind.USAGE_REPORTED)) {
      if (report.number() == STATUS_TAKEN) {
        firstTaken.putIfAbsent(window(report), report.atMs());
      }
    }
    long endMs = traffic.events.get(traffic.events.size() - 1).atMs();
    for (long window = 1; (window + 1) * windowMs < endMs - CALM_AT_END_MS; window++) {
      checkWindow(window, windowMs, firstTaken.get(window));
    }
  }

  private void checkWindow(long window, long windowMs, Long takenMs) {
    long dueMs = (window + 1) * windowMs + bound("usageDelayMs");
    if (takenMs == null) {
      violated(Rule.WINDOW_NOT_REPORTED, dueMs, "window " + window + " is never reported");
    } else if (takenMs > dueMs && isCalm(window * windowMs - RECOVERY_MS, dueMs)) {
      violated(Rule.WINDOW_NOT_REPORTED, dueMs, "window " + window + " comes at " + takenMs);
    }
  }

  /** Whether no fault of a process or of the platform began, ended or lasted in the period. */
  private boolean isCalm(long fromMs, long toMs) {
    int open = 0;
    for (Seen each : traffic.events) {
      if (each.kind() != Kind.TROUBLE && each.kind() != Kind.DUTY_TROUBLE) {
        continue;
      }
      if (each.atMs() >= fromMs && each.atMs() <= toMs) {
        return false;
      }
      if (each.atMs() < fromMs) {
        open += each.detail().startsWith("began") ? 1 : -1;
      }
    }
    return open <= 0;
  }

  private long bound(String name) {
    return traffic.of(Kind.BOUND).stream()
        .filter(each -> each.subject().equals(name))
        .mapToLong(Seen::number)
        .findFirst()
        .orElse(0);
  }
}
