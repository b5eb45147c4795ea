package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.EmulatedOutput;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Live requests run at most once where that was asked, and get their own complete output. */
final class LiveRequestRules extends RuleGroup<ObservedTraffic> {
  /** Statuses of responses that guarantee that the request did not run. */
  private static final Set<Long> NOT_RUN = Set.of(409L, 429L, 503L);

  private final Map<String, Seen> sent = new HashMap<>();
  private final Map<String, List<Seen>> runsByOnceId = new HashMap<>();
  private final Map<String, List<Seen>> runsByRequest = new HashMap<>();

  LiveRequestRules(ObservedTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
    Map<String, Seen> sentByPrompt = new HashMap<>();
    for (Seen each : traffic.of(Kind.LIVE_SENT)) {
      sentByPrompt.put(each.text(), each);
      sent.put(each.subject(), each);
    }
    for (Seen each : traffic.of(Kind.WORKER_RECEIVED)) {
      Seen request = each.detail().isEmpty() ? sentByPrompt.get(each.text()) : null;
      if (request != null) {
        addRun(request, each);
      }
    }
  }

  private void addRun(Seen request, Seen run) {
    runsByRequest.computeIfAbsent(request.subject(), unseen -> new ArrayList<>()).add(run);
    if (!request.detail().isEmpty()) {
      runsByOnceId.computeIfAbsent(request.detail(), unseen -> new ArrayList<>()).add(run);
    }
  }

  void onceRequestsRunAtMostOnce() {
    runsByOnceId.forEach(
        (onceId, runs) -> {
          if (runs.size() > 1) {
            violated(
                Rule.ONCE_REQUEST_RAN_WRONGLY,
                runs.get(1).atMs(),
                onceId + " ran " + runs.size() + " times");
          }
        });
  }

  void responsesAreTrueAndComplete() {
    for (Seen each : traffic.of(Kind.LIVE_ANSWERED)) {
      Seen request = sent.get(each.subject());
      if (!request.detail().isEmpty()
          && NOT_RUN.contains(each.number())
          && runsByRequest.containsKey(each.subject())) {
        violated(
            Rule.ONCE_REQUEST_RAN_WRONGLY,
            each.atMs(),
            each.subject() + " was told that it did not run");
      }
      String expected = EmulatedOutput.whole(request.text(), (int) request.number());
      if (!expected.startsWith(each.text())) {
        violated(Rule.WRONG_OR_CUT_ANSWER, each.atMs(), each.subject() + " got another's output");
      } else if (each.detail().equals("complete") && !each.text().equals(expected)) {
        violated(
            Rule.WRONG_OR_CUT_ANSWER, each.atMs(), each.subject() + " was cut and looks complete");
      }
    }
  }
}
