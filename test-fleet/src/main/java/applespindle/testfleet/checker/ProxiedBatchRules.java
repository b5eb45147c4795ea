package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.checker.ProxyTraffic.Batch;
import applespindle.testfleet.checker.ProxyTraffic.Route;
import applespindle.testfleet.checker.ProxyTraffic.Run;
import applespindle.testfleet.history.History.Seen;
import applespindle.testfleet.history.ProxiedOutput.Part;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Proxied batches: no accepted batch is lost, no refused or ended one runs, results do not change
 * and waiting tokens stay below their limit.
 */
final class ProxiedBatchRules extends RuleGroup<ProxyTraffic> {
  private static final long UNLIMITED = Long.MAX_VALUE / 1_000;

  ProxiedBatchRules(ProxyTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  void batchesAreKept() {
    traffic.batches.values().forEach(this::checkRuns);
    Map<String, Map<Long, Long>> readAt = new HashMap<>();
    for (Seen each : traffic.seen) {
      Batch batch = traffic.batches.get(each.subject());
      switch (each.kind()) {
        case OPAQUE_RESULT -> {
          readAt
              .computeIfAbsent(each.subject(), unseen -> new HashMap<>())
              .putIfAbsent(each.number(), each.atMs());
          result(batch, each);
        }
        case OPAQUE_READ -> read(batch, each, readAt.getOrDefault(each.subject(), Map.of()));
        case OPAQUE_BODY -> body(batch, each);
        case OPAQUE_CLOSED -> closed(batch, each);
        default -> {
          // Shows nothing of what is kept.
        }
      }
    }
  }

  /** A batch runs neither after refusals only nor after its end. */
  private void checkRuns(Batch batch) {
    if (batch.acceptedMs < 0 && batch.refusedAtEveryTry && batch.openTries <= 0) {
      batch.items.keySet().stream()
          .flatMap(item -> traffic.runsOf.getOrDefault(item, List.of()).stream())
          .filter(run -> run.began() != null)
          .findFirst()
          .ifPresent(run -> violated(Rule.REFUSED_BATCH_RAN, run.began().atMs(), batch.id));
    }
    long stoppedMs = batch.endedMs + traffic.bound("cancelMs", 3_000);
    for (String item : batch.items.keySet()) {
      for (Run run : traffic.runsOf.getOrDefault(item, List.of())) {
        if (run.arrivedMs() > stoppedMs
            && traffic.machines.isHealthy(run.edge(), run.arrivedMs())
            && traffic.machines.isHealthy(run.edge(), stoppedMs)) {
          violated(
              Rule.RAN_AFTER_END, run.arrivedMs(), batch.id + " " + item + " from " + run.edge());
        }
      }
    }
  }

  /** The body of an item is given back as it was sent. */
  private void body(Batch batch, Seen each) {
    if (each.number() != 200) {
      return;
    }
    String asked = batch.items.containsKey(each.detail()) ? batch.asked(each.detail()) : "";
    if (!asked.endsWith(" " + each.text())) {
      violated(
          Rule.WRONG_OR_CUT_ANSWER,
          each.atMs(),
          batch.id + " body of " + each.detail() + " is " + each.text());
    }
  }

  /** At the end of the run all that was recorded can be read. */
  private void closed(Batch batch, Seen each) {
    if (batch.acceptedMs < 0) {
      return;
    }
    if (each.detail().equals("unread")
        || Long.parseLong(each.text()) < batch.results.size()
        || each.number() > 0) {
      violated(
          Rule.ACCEPTED_BATCH_LOST,
          each.atMs(),
          batch.id
              + " "
              + each.detail()
              + " at the close, "
              + each.text()
              + " of "
              + batch.results.size()
              + " results, "
              + each.number()
              + " bodies missing");
    }
  }

  /**
   * A read shows the batch and the results that were read well before.
   *
   * @param readAt by position, when its result was first read
   */
  private void read(Batch batch, Seen each, Map<Long, Long> readAt) {
    long settleMs = traffic.bound("settleMs", 1_000);
    String[] words = each.text().split(" ");
    long from = Long.parseLong(words[0]);
    long begunMs = Long.parseLong(words[3]);
    boolean healthy =
        traffic.machines.isHealthy(each.detail(), begunMs)
            && traffic.machines.isHealthy(each.detail(), each.atMs());
    boolean kept =
        each.atMs() < batch.firstSentMs + traffic.bound("keepBatchesMs", 120_000)
            || batch.results.size() < batch.items.size();
    if ((each.number() == 404 || each.number() == 410)
        && batch.acceptedMs >= 0
        && begunMs > batch.acceptedMs + settleMs
        && healthy
        && kept) {
      violated(
          Rule.REPORTED_MISSING, each.atMs(), batch.id + " was told missing by " + each.detail());
    }
    if (each.number() != 200) {
      return;
    }
    long known = readAt.getOrDefault(from, Long.MAX_VALUE / 2);
    if (Long.parseLong(words[1]) <= from && begunMs > known + settleMs && healthy) {
      violated(
          Rule.REPORTED_MISSING,
          each.atMs(),
          batch.id + " has nothing at " + from + " for " + each.detail());
    }
    if (Long.parseLong(words[2]) != batch.items.size()) {
      violated(
          Rule.RESULT_NOT_WHOLE,
          each.atMs(),
          batch.id + " has a total of " + words[2] + " for " + batch.items.size() + " items");
    }
  }

  /** A result stays as it was first read, and is complete or failed for good. */
  private void result(Batch batch, Seen each) {
    Seen before = batch.results.putIfAbsent(each.number(), each);
    if (before != null) {
      checkUnchanged(batch, before, each);
      return;
    }
    String[] words = each.detail().split(" ");
    String itemId = words[0];
    boolean listedBefore =
        batch.results.values().stream()
            .anyMatch(other -> other != each && other.detail().split(" ")[0].equals(itemId));
    if (listedBefore) {
      violated(Rule.RESULT_TWICE_OR_CHANGED, each.atMs(), batch.id + " lists " + itemId + " twice");
    }
    if (!batch.items.containsKey(itemId)) {
      violated(
          Rule.RESULT_NOT_WHOLE,
          each.atMs(),
          batch.id + " lists " + itemId + ", which is not its own");
    } else if (words[1].equals("complete")) {
      checkOutput(batch, itemId, each);
    } else if (!mayBeGivenUp(batch, itemId, each.atMs())) {
      violated(
          Rule.RESULT_NOT_WHOLE, each.atMs(), batch.id + " " + itemId + " is given up too early");
    }
  }

  private void checkUnchanged(Batch batch, Seen before, Seen now) {
    if (!before.detail().equals(now.detail()) || !before.text().equals(now.text())) {
      violated(
          Rule.RESULT_TWICE_OR_CHANGED,
          now.atMs(),
          batch.id
              + " position "
              + now.number()
              + " was "
              + before.detail()
              + " and is "
              + now.detail());
    }
  }

  private void checkOutput(Batch batch, String itemId, Seen result) {
    List<String> texts = result.text().isEmpty() ? List.of() : List.of(result.text().split("\n"));
    String fault = traffic.joined(texts, itemId, batch.asked(itemId), 0);
    Part last = texts.isEmpty() ? null : Part.parse(texts.get(texts.size() - 1));
    if (fault != null) {
      violated(
          fault.startsWith("another") ? Rule.RESULT_NOT_WHOLE : Rule.STREAM_BROKEN,
          result.atMs(),
          batch.id + " " + itemId + ": " + fault);
    } else if (last == null || last.last() != batch.items.get(itemId).number()) {
      violated(
          Rule.RESULT_NOT_WHOLE,
          result.atMs(),
          batch.id + " " + itemId + " is complete with " + result.text());
    }
  }

  /** Whether an item may be listed as failed: it was tried often enough or must not run. */
  private boolean mayBeGivenUp(Batch batch, String item, long atMs) {
    List<Run> ofItem = traffic.runsOf.getOrDefault(item, List.of());
    long failures =
        ofItem.stream().filter(run -> run.ended() != null && run.ended().number() == 500).count();
    int attempts =
        traffic.changes.values().stream()
            .map(change -> ProxyTraffic.routeOf(change, batch.host, batch.path))
            .filter(Objects::nonNull)
            .mapToInt(Route::attempts)
            .min()
            .orElse(0);
    boolean routeGone =
        traffic.changes.values().stream()
            .filter(traffic::mayBeInForce)
            .filter(
                change ->
                    change.sentMs() <= atMs
                        && change.sentMs()
                            > batch.firstSentMs
                                - traffic.bound("applyMs", 2_000)
                                - traffic.bound("ackMs", 4_000))
            .anyMatch(change -> ProxyTraffic.routeOf(change, batch.host, batch.path) == null);
    return failures >= Math.max(1, attempts)
        || routeGone
        || atMs >= batch.endAskedMs
        || ofItem.stream().anyMatch(run -> run.ended() != null && run.ended().number() == 422)
        || atMs - batch.firstSentMs >= traffic.bound("retentionMs", Long.MAX_VALUE / 2);
  }

  /**
   * At each acknowledgement, the tokens of the tenant that certainly wait on the route stay below
   * its limit.
   */
  void waitingTokensStayBelowLimit() {
    Map<String, Long> doneMs = itemsDoneMs(traffic);
    for (Batch accepted : traffic.batches.values()) {
      if (accepted.acceptedMs < 0) {
        continue;
      }
      long limit = tokenLimit(accepted);
      long waiting =
          traffic.batches.values().stream()
              .filter(batch -> waitsBeside(batch, accepted))
              .mapToLong(batch -> waitingTokens(batch, accepted.acceptedMs, doneMs))
              .sum();
      if (waiting > limit * (100 + traffic.bound("overshootPercent", 10)) / 100) {
        violated(
            Rule.CEILING_OVERSHOT,
            accepted.acceptedMs,
            waiting + " tokens wait where " + limit + " may, with " + accepted.id);
      }
    }
  }

  /** By item, when it first ran to its end or failed for good. */
  static Map<String, Long> itemsDoneMs(ProxyTraffic traffic) {
    Map<String, Long> doneMs = new HashMap<>();
    for (Run run : traffic.runs.values()) {
      if (run.ended() != null && (run.ended().number() == 200 || run.ended().number() == 422)) {
        doneMs.merge(run.request(), run.ended().atMs(), Math::min);
      }
    }
    return doneMs;
  }

  /** The highest limit that any change may have had in force when the batch was acknowledged. */
  private long tokenLimit(Batch accepted) {
    return traffic.changes.values().stream()
        .filter(traffic::mayBeInForce)
        .filter(change -> change.sentMs() <= accepted.acceptedMs)
        .map(change -> ProxyTraffic.routeOf(change, accepted.host, accepted.path))
        .filter(Objects::nonNull)
        .mapToLong(route -> route.tokensMost() == 0 ? UNLIMITED : route.tokensMost())
        .max()
        .orElse(UNLIMITED);
  }

  private static boolean waitsBeside(Batch batch, Batch accepted) {
    return batch.acceptedMs >= 0
        && batch.acceptedMs <= accepted.acceptedMs
        && batch.endAskedMs > accepted.acceptedMs
        && batch.sharesLimitWith(accepted);
  }

  private long waitingTokens(Batch batch, long atMs, Map<String, Long> doneMs) {
    return batch.items.keySet().stream()
        .filter(item -> doneMs.getOrDefault(item, Long.MAX_VALUE) > atMs)
        .filter(item -> !mayBeGivenUp(batch, item, atMs))
        .mapToLong(batch::tokens)
        .sum();
  }
}
