package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.EmulatedOutput;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The results of a batch are complete, one for each item, and do not change or disappear. */
final class BatchResultRules extends RuleGroup<ObservedTraffic> {
  private static final String SUCCEEDED = "|succeeded";

  BatchResultRules(ObservedTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  void resultsAreFinalAndComplete() {
    boolean failuresAllowed =
        traffic.of(Kind.FAULT).stream().anyMatch(each -> each.subject().startsWith("worker "));
    resultsByBatch()
        .forEach(
            (key, results) -> {
              Set<String> itemIds = new HashSet<>();
              for (Seen each : results.values()) {
                String itemId = each.detail().substring(0, each.detail().indexOf('|'));
                if (!itemIds.add(itemId)) {
                  violated(
                      Rule.RESULT_TWICE_OR_CHANGED,
                      each.atMs(),
                      key + " item " + itemId + " twice");
                }
                resultIsComplete(key, itemId, each, failuresAllowed);
              }
            });
  }

  /** The results of each batch by number; one that differs from an earlier read is a violation. */
  private Map<String, TreeMap<Long, Seen>> resultsByBatch() {
    Map<String, TreeMap<Long, Seen>> byBatch = new HashMap<>();
    for (Seen each : traffic.of(Kind.RESULT_READ)) {
      TreeMap<Long, Seen> results =
          byBatch.computeIfAbsent(each.subject(), unseen -> new TreeMap<>());
      Seen before = results.putIfAbsent(each.number(), each);
      if (before != null
          && !(before.detail().equals(each.detail()) && before.text().equals(each.text()))) {
        violated(
            Rule.RESULT_TWICE_OR_CHANGED,
            each.atMs(),
            each.subject() + " number " + each.number() + " changed");
      }
    }
    return byBatch;
  }

  private void resultIsComplete(String key, String itemId, Seen result, boolean failuresAllowed) {
    Seen item = traffic.item(key, itemId);
    boolean succeeded = result.detail().endsWith(SUCCEEDED);
    if (!succeeded && !failuresAllowed) {
      violated(
          Rule.RESULT_NOT_WHOLE,
          result.atMs(),
          key + " item " + itemId + " failed though no worker did");
    }
    if (item == null || succeeded && !result.text().equals(expectedOutput(item))) {
      violated(Rule.RESULT_NOT_WHOLE, result.atMs(), key + " item " + itemId);
    }
  }

  private static String expectedOutput(Seen item) {
    return EmulatedOutput.whole(item.text(), (int) item.number());
  }

  void readResultsStayVisible() {
    Map<String, Seen> highestRead = new HashMap<>();
    for (Seen each : traffic.events) {
      Seen highest = highestRead.get(each.subject());
      long highestNumber = highest == null ? 0 : highest.number();
      if (each.kind() == Kind.RESULT_READ && each.number() > highestNumber) {
        highestRead.put(each.subject(), each);
      } else if (each.kind() == Kind.BATCH_READ
          && each.number() == ObservedTraffic.STATUS_OK
          && highestNumber > Long.parseLong(each.text())
          && each.atMs() > highest.atMs() + BatchRules.MISSING_MS) {
        violated(
            Rule.REPORTED_MISSING,
            each.atMs(),
            each.subject() + " shows fewer results than were read");
      }
    }
  }

  void finalStatesStay() {
    Map<String, Seen> firstFinalRead = new HashMap<>();
    for (Seen each : traffic.of(Kind.BATCH_READ)) {
      if (each.number() != ObservedTraffic.STATUS_OK) {
        continue;
      }
      Seen firstFinal = firstFinalRead.get(each.subject());
      if (ObservedTraffic.isFinal(each)) {
        firstFinalRead.putIfAbsent(each.subject(), each);
      } else if (firstFinal != null && each.atMs() > firstFinal.atMs() + BatchRules.MISSING_MS) {
        violated(
            Rule.REPORTED_MISSING,
            each.atMs(),
            each.subject() + " is " + each.detail() + " after it was " + firstFinal.detail());
      }
    }
  }
}
