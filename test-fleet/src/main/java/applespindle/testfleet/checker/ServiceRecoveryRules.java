package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Live requests, submissions and reads succeed again within the time to recover. */
final class ServiceRecoveryRules extends RecoveryRules {
  ServiceRecoveryRules(ObservedTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  void liveRequestsSucceed() {
    succeeds(traffic.of(Kind.LIVE_ANSWERED), "live request");
  }

  void liveRequestsSucceedAtEachEdge() {
    Map<String, String> edgeOfRequest = new HashMap<>();
    traffic.of(Kind.LIVE_AT).forEach(each -> edgeOfRequest.put(each.subject(), each.detail()));
    Map<String, List<Seen>> byEdge = new TreeMap<>();
    for (Seen each : traffic.of(Kind.LIVE_ANSWERED)) {
      String edge = edgeOfRequest.get(each.subject());
      if (edge != null) {
        byEdge.computeIfAbsent(edge, unseen -> new ArrayList<>()).add(each);
      }
    }
    byEdge.forEach((edge, responses) -> succeeds(responses, "live request at " + edge));
  }

  void submissionsSucceed() {
    succeeds(traffic.of(Kind.SUBMIT_ANSWERED), "submission");
  }

  void eachBatchCanBeRead() {
    Map<String, List<Seen>> byBatch = new TreeMap<>();
    for (Seen each : traffic.of(Kind.BATCH_READ)) {
      byBatch.computeIfAbsent(each.subject(), unseen -> new ArrayList<>()).add(each);
    }
    byBatch.forEach((key, reads) -> succeeds(reads, "read of " + key));
  }

  /** No stretch longer than the limit in which attempts were made and none succeeded. */
  private void succeeds(List<Seen> responses, String what) {
    long lastSuccessMs = -1;
    long lastAttemptMs = -1;
    int attempts = 0;
    for (Seen each : responses) {
      if (lastSuccessMs < 0 || each.atMs() - lastAttemptMs > MAX_PAUSE_MS) {
        lastSuccessMs = each.atMs();
        attempts = 0;
      }
      lastAttemptMs = each.atMs();
      attempts++;
      if (each.atMs() - lastSuccessMs > RECOVERY_MS && attempts > MIN_ATTEMPTS) {
        checkGap(lastSuccessMs, each.atMs(), "no " + what + " succeeded");
        lastSuccessMs = each.atMs();
      }
      if (isSuccess(each)) {
        lastSuccessMs = each.atMs();
        attempts = 0;
      }
    }
  }

  /** A refusal for lack of room is a response of a working service, too. */
  private static boolean isSuccess(Seen response) {
    if (response.kind() == Kind.LIVE_ANSWERED) {
      return response.detail().equals("complete") || response.number() == 409;
    }
    return ObservedTraffic.accepts(response)
        || response.number() == 404
        || response.detail().equals("NoRoom")
        || response.detail().equals("BatchOverCeiling");
  }
}
