package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Some batch makes progress while any is open, and no open batch stands still while one accepted
 * well after that completes.
 */
final class BatchProgressRules extends RecoveryRules {
  /** By key of an accepted batch, when it last made progress. */
  private final Map<String, Long> progressAtMs = new HashMap<>();

  private final Map<String, Long> resultCounts = new HashMap<>();
  private final Set<String> closed = new HashSet<>();
  private long anyProgressAtMs;

  BatchProgressRules(ObservedTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  void openBatchesMakeProgress() {
    for (Seen each : traffic.events) {
      if (each.kind() == Kind.SUBMIT_ANSWERED
          && traffic.acceptedAtMs.getOrDefault(each.subject(), -1L) == each.atMs()) {
        accepted(each);
      } else if (each.kind() == Kind.END_ANSWERED && each.number() == ObservedTraffic.STATUS_OK) {
        closed.add(each.subject());
      } else if (each.kind() == Kind.BATCH_READ
          && each.number() == ObservedTraffic.STATUS_OK
          && progressAtMs.containsKey(each.subject())
          && !closed.contains(each.subject())) {
        read(each);
      }
    }
  }

  private void accepted(Seen response) {
    progressAtMs.put(response.subject(), response.atMs());
    boolean onlyOpenBatch = closed.size() == progressAtMs.size() - 1;
    if (onlyOpenBatch) {
      anyProgressAtMs = response.atMs();
    }
  }

  private void read(Seen read) {
    String key = read.subject();
    long resultCount = Long.parseLong(read.text());
    if (!read.detail().equals("running") && !read.detail().equals("accepted")) {
      closed.add(key);
    }
    if (resultCount > resultCounts.getOrDefault(key, 0L) || closed.contains(key)) {
      resultCounts.put(key, resultCount);
      progressAtMs.put(key, read.atMs());
      anyProgressAtMs = read.atMs();
    } else if (read.atMs() - anyProgressAtMs > RECOVERY_MS) {
      checkGap(anyProgressAtMs, read.atMs(), "no batch moved");
      anyProgressAtMs = read.atMs();
    } else if (read.atMs() - progressAtMs.get(key) > RECOVERY_MS) {
      checkOvertaken(read);
    }
  }

  private void checkOvertaken(Seen read) {
    String key = read.subject();
    long stalledSinceMs = progressAtMs.get(key);
    for (Map.Entry<String, Long> other : traffic.acceptedAtMs.entrySet()) {
      if (other.getValue() > stalledSinceMs + BatchRules.MISSING_MS
          && closed.contains(other.getKey())
          && resultCounts.containsKey(other.getKey())) {
        checkGap(
            stalledSinceMs, read.atMs(), other.getKey() + " is done and " + key + " stands still");
        progressAtMs.put(key, read.atMs());
        return;
      }
    }
  }
}
