package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History.Seen;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Commands of operators and of the platform succeed again within the time to recover. They are not
 * judged while the scenario keeps links cut.
 */
final class CommandRecoveryRules extends RecoveryRules {
  private static final Set<String> LINK_FAULTS =
      Set.of("cut", "cut-off", "split", "isolate", "hold", "leave");

  private static final String HEAL = "heal";
  private static final String SCHEDULE_PREFIX = "^(at \\S+|on \\S+ \\S+) ";

  private final Set<String> openLinkFaults = new HashSet<>();
  private final Map<String, Long> firstSentAtMs = new HashMap<>();
  private long lastSuccessMs = -1;
  private long lastAttemptMs = Long.MIN_VALUE / 2;
  private int attempts;

  CommandRecoveryRules(ObservedTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  void commandsSucceed() {
    for (Seen each : traffic.events) {
      switch (each.kind()) {
        case FAULT -> fault(each);
        case BUNDLE_SENT -> firstSentAtMs.putIfAbsent(each.subject(), each.atMs());
        case BUNDLE_ANSWERED, LEAVING_ANSWERED -> answered(each);
        default -> {
          // No command.
        }
      }
    }
  }

  private void fault(Seen fault) {
    String verb = fault.subject().replaceFirst(SCHEDULE_PREFIX, "").split(" ")[0];
    if (LINK_FAULTS.contains(verb)) {
      openLinkFaults.add(verb);
    } else if (verb.equals(HEAL)) {
      openLinkFaults.clear();
      lastSuccessMs = fault.atMs();
    }
  }

  private void answered(Seen response) {
    boolean success =
        response.number() == ObservedTraffic.STATUS_OK
            || response.number() == 409
            || response.number() == 404;
    boolean triesOn = response.atMs() - lastAttemptMs <= MAX_PAUSE_MS;
    lastAttemptMs = response.atMs();
    if (success || !openLinkFaults.isEmpty()) {
      lastSuccessMs = response.atMs();
      attempts = success ? 0 : 1;
      return;
    }
    if (!triesOn) {
      lastSuccessMs = firstSentAtMs.getOrDefault(response.subject(), response.atMs());
      attempts = 1;
      return;
    }
    attempts++;
    if (attempts >= MIN_ATTEMPTS && response.atMs() - lastSuccessMs > RECOVERY_MS) {
      checkGap(lastSuccessMs, response.atMs(), "no command succeeded");
      lastSuccessMs = response.atMs();
    }
  }
}
