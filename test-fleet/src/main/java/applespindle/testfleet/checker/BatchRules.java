package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Accepted batches are kept, refused batches do not run and ended batches stop. */
final class BatchRules extends RuleGroup<ObservedTraffic> {
  /** How long after its acknowledgement a batch or a result may still be unknown to a node. */
  static final long MISSING_MS = 1_000;

  private static final long AFTER_END_MS = 3_000;
  private static final long NEVER = Long.MAX_VALUE / 2;

  BatchRules(ObservedTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  void refusedBatchesDoNotRun() {
    Map<String, Boolean> refusedAtEveryTry = new HashMap<>();
    for (Seen each : traffic.of(Kind.SUBMIT_ANSWERED)) {
      boolean refused = ObservedTraffic.isDefiniteRefusal(each);
      refusedAtEveryTry.merge(each.subject(), refused, Boolean::logicalAnd);
    }
    Map<String, Long> firstRun = new HashMap<>();
    for (Seen each : traffic.of(Kind.WORKER_RECEIVED)) {
      if (!each.detail().isEmpty()) {
        firstRun.putIfAbsent(traffic.keyOf(each), each.atMs());
      }
    }
    refusedAtEveryTry.forEach(
        (key, refused) -> {
          if (refused && firstRun.containsKey(key)) {
            violated(Rule.REFUSED_BATCH_RAN, firstRun.get(key), key);
          }
        });
  }

  void acceptedBatchesAreNotReportedMissing() {
    for (Seen each : traffic.of(Kind.BATCH_READ)) {
      Long accepted = traffic.acceptedAtMs.get(each.subject());
      if (accepted != null && each.number() == 404 && each.atMs() > accepted + MISSING_MS) {
        violated(Rule.REPORTED_MISSING, each.atMs(), each.subject());
      }
    }
  }

  void acceptedBatchesAreKept() {
    Map<String, Seen> lastRead = new HashMap<>();
    for (Seen each : traffic.of(Kind.BATCH_READ)) {
      if (each.number() != 503 && each.number() != 504 && each.number() != 0) {
        lastRead.put(each.subject(), each);
      }
    }
    Set<String> endAsked = new HashSet<>();
    traffic.of(Kind.END_ASKED).forEach(each -> endAsked.add(each.subject()));
    for (String key : traffic.acceptedAtMs.keySet()) {
      Seen last = lastRead.get(key);
      if (last == null) {
        violated(Rule.ACCEPTED_BATCH_LOST, 0, key + " never read");
      } else {
        lastReadShowsTheBatch(key, last, endAsked.contains(key));
      }
    }
  }

  private void lastReadShowsTheBatch(String key, Seen last, boolean endAsked) {
    if (last.number() != ObservedTraffic.STATUS_OK || !ObservedTraffic.isFinal(last)) {
      violated(
          Rule.ACCEPTED_BATCH_LOST,
          last.atMs(),
          key + " last read " + last.number() + " " + last.detail());
    } else if (last.detail().equals("ended") && !endAsked) {
      violated(Rule.ACCEPTED_BATCH_LOST, last.atMs(), key + " ended and nobody asked for it");
    } else if (last.detail().equals("finished")
        && Long.parseLong(last.text()) != traffic.itemCount(key)) {
      violated(
          Rule.ACCEPTED_BATCH_LOST,
          last.atMs(),
          key
              + " finished with "
              + last.text()
              + " of "
              + traffic.itemCounts.get(key)
              + " results");
    }
  }

  void endedBatchesStop() {
    Map<String, Long> endedAtMs = new HashMap<>();
    for (Seen each : traffic.of(Kind.END_ANSWERED)) {
      if (each.number() == ObservedTraffic.STATUS_OK) {
        endedAtMs.putIfAbsent(each.subject(), each.atMs());
      }
    }
    for (Seen each : traffic.of(Kind.WORKER_RECEIVED)) {
      if (!each.detail().isEmpty()
          && each.atMs() > endedAtMs.getOrDefault(traffic.keyOf(each), NEVER) + AFTER_END_MS) {
        violated(Rule.RAN_AFTER_END, each.atMs(), each.detail());
      }
    }
  }
}
