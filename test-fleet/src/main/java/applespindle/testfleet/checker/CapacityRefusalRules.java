package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History.Seen;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A refusal for lack of room must be true as observed from outside: counting all batches that may
 * have been accepted and are not known to be over, at some time within the time to recover there
 * was less room than requested.
 */
final class CapacityRefusalRules extends RuleGroup<ObservedTraffic> {
  private static final long UNLIMITED = Long.MAX_VALUE / 4;

  /** By batch key, the most items of it that may wait. */
  private final Map<String, Long> mayWait = new HashMap<>();

  /** By time, the most items that may have waited. */
  private final TreeMap<Long, Long> waitingAt = new TreeMap<>();

  private final Map<String, Long> submittedItems = new HashMap<>();
  private final Map<String, Integer> openTries = new HashMap<>();
  private long ceiling = UNLIMITED;

  CapacityRefusalRules(ObservedTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  void refusalsForLackOfRoomAreTrue() {
    for (Seen each : traffic.events) {
      switch (each.kind()) {
        case CEILING -> ceiling = each.number();
        case SUBMIT_SENT -> {
          submittedItems.put(each.subject(), each.number());
          openTries.merge(each.subject(), 1, Integer::sum);
          mayWait.putIfAbsent(each.subject(), each.number());
        }
        case SUBMIT_ANSWERED -> submissionAnswered(each);
        case BATCH_READ -> batchRead(each);
        default -> {
          // Changes nothing of what may wait.
        }
      }
      waitingAt.put(each.atMs(), totalMayWait());
    }
  }

  private void submissionAnswered(Seen response) {
    String key = response.subject();
    long items = submittedItems.getOrDefault(key, (long) traffic.itemCount(key));
    if (response.detail().equals("NoRoom")) {
      long maxWaiting = maxWaitingBeside(key, response.atMs());
      if (maxWaiting + items <= ceiling) {
        violated(
            Rule.SERVICE_NOT_BACK,
            response.atMs(),
            key + " was told of no room where " + (ceiling - maxWaiting) + " was left");
      }
    }
    if (response.detail().equals("BatchOverCeiling") && items <= ceiling) {
      violated(
          Rule.SERVICE_NOT_BACK,
          response.atMs(),
          key + " was told to be over a ceiling of " + ceiling);
    }
    int triesLeft = openTries.merge(key, -1, Integer::sum);
    if (triesLeft <= 0 && ObservedTraffic.isDefiniteRefusal(response)) {
      mayWait.remove(key);
    }
  }

  /** The most items that may have waited lately, without those of the batch itself now. */
  private long maxWaitingBeside(String key, long atMs) {
    long others = totalMayWait() - mayWait.getOrDefault(key, 0L);
    long lately =
        waitingAt.tailMap(atMs - RecoveryRules.RECOVERY_MS).values().stream()
            .mapToLong(Long::longValue)
            .max()
            .orElse(0);
    return Math.max(others, lately);
  }

  private void batchRead(Seen read) {
    String key = read.subject();
    if (read.number() != ObservedTraffic.STATUS_OK || !mayWait.containsKey(key)) {
      return;
    }
    long open = submittedItems.getOrDefault(key, 0L) - Long.parseLong(read.text());
    mayWait.put(key, ObservedTraffic.isFinal(read) ? 0 : open);
  }

  private long totalMayWait() {
    return mayWait.values().stream().mapToLong(Long::longValue).sum();
  }
}
