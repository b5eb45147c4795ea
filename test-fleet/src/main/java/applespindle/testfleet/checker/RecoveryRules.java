package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.List;

/** Rules on how long some part of the service may be without success. */
abstract class RecoveryRules extends RuleGroup<ObservedTraffic> {
  /** The longest time from the last success to the next one. */
  static final long RECOVERY_MS = 12_000;

  /** A gap without success counts only if this many attempts were made in it. */
  static final int MIN_ATTEMPTS = 3;

  /** A caller that paused for longer can't say that service was missing meanwhile. */
  static final long MAX_PAUSE_MS = 9_000;

  RecoveryRules(ObservedTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  /**
   * Reports a gap in service that is longer than the limit. Where more failed at once than the
   * system must survive, the limit counts from the end of that.
   */
  final void checkGap(long lastSuccessMs, long atMs, String what) {
    long countsFromMs = lastSuccessMs;
    long beyondSinceMs = Long.MAX_VALUE;
    for (Seen each : traffic.of(Kind.FAULT)) {
      if (each.subject().equals("beyond-begins")) {
        beyondSinceMs = each.atMs();
      } else if (each.subject().equals("beyond-ends")
          && lastSuccessMs < each.atMs()
          && atMs > beyondSinceMs) {
        countsFromMs = each.atMs();
      }
    }
    if (atMs - countsFromMs > RECOVERY_MS) {
      violated(Rule.SERVICE_NOT_BACK, atMs, what + " since " + lastSuccessMs);
    }
  }
}
