package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History.Seen;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The number of waiting items stays below the agreed ceiling. */
final class CapacityLimitRules extends RuleGroup<ObservedTraffic> {
  /** The ceiling may be exceeded by this factor. */
  private static final double OVERSHOOT = 1.1;

  private static final long UNLIMITED = Long.MAX_VALUE / 4;

  private final Set<String> accepted = new HashSet<>();
  private final Set<String> ended = new HashSet<>();
  private final Set<String> finishedItems = new HashSet<>();
  private final Map<String, Integer> finishedCounts = new HashMap<>();
  private double allowed = UNLIMITED;

  /** Accepted items whose run has not ended at any worker certainly wait. */
  private long waiting;

  CapacityLimitRules(ObservedTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  /** A ceiling lowered below what waits already is kept if the number of items does not grow. */
  void waitingItemsStayBelowCeiling() {
    for (Seen each : traffic.events) {
      switch (each.kind()) {
        case CEILING -> allowed = Math.max(each.number() * OVERSHOOT, waiting);
        case WORKER_FINISHED -> itemFinished(each);
        case SUBMIT_ANSWERED -> {
          if (ObservedTraffic.accepts(each) && accepted.add(each.subject())) {
            waiting += unfinishedItems(each.subject());
          }
        }
        case END_ANSWERED -> {
          if (each.number() == ObservedTraffic.STATUS_OK
              && accepted.contains(each.subject())
              && ended.add(each.subject())) {
            waiting -= unfinishedItems(each.subject());
          }
        }
        default -> {
          // Changes nothing of what waits.
        }
      }
      if (waiting > allowed) {
        violated(
            Rule.CEILING_OVERSHOT, each.atMs(), waiting + " waiting where " + allowed + " may");
        return;
      }
    }
  }

  private void itemFinished(Seen event) {
    if (event.detail().isEmpty() || !finishedItems.add(event.detail())) {
      return;
    }
    String key = traffic.keyOf(event);
    finishedCounts.merge(key, 1, Integer::sum);
    if (accepted.contains(key) && !ended.contains(key)) {
      waiting--;
    }
  }

  private int unfinishedItems(String key) {
    return traffic.itemCount(key) - finishedCounts.getOrDefault(key, 0);
  }
}
