package applespindle.testfleet;

import applespindle.testfleet.Checker.Rule;
import applespindle.testfleet.Checker.Violation;
import applespindle.testfleet.History.Kind;
import applespindle.testfleet.History.Seen;
import applespindle.testfleet.ProxiedOutput.Part;
import applespindle.testfleet.ProxyTraffic.Batch;
import applespindle.testfleet.ProxyTraffic.Route;
import applespindle.testfleet.ProxyTraffic.Run;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Opaque batches: nothing accepted is lost, nothing runs that should not, results stay as they
 * were.
 */
final class ProxiedBatchRules extends ProxyRules {
  private static final long UNLIMITED = Long.MAX_VALUE / 1_000;

  ProxiedBatchRules(ProxyTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  void batchesAreKept() {
    long settleMs = traffic.bound("settleMs", 1_000);
    for (Batch batch : traffic.batches.values()) {
      if (batch.acceptedMs < 0 && batch.refusedAtEveryTry && batch.openTries <= 0) {
        batch.items.keySet().stream()
            .flatMap(item -> traffic.runsOf.getOrDefault(item, List.of()).stream())
            .filter(run -> run.began() != null)
            .findFirst()
            .ifPresent(run -> violated(Rule.REFUSED_BATCH_RAN, run.began().atMs(), batch.id));
      }
      for (String item : batch.items.keySet()) {
        for (Run run : traffic.runsOf.getOrDefault(item, List.of())) {
          if (run.arrivedMs() > batch.endedMs + traffic.bound("cancelMs", 3_000)
              && traffic.touch.connected(run.edge(), run.arrivedMs())
              && traffic.touch.connected(
                  run.edge(), batch.endedMs + traffic.bound("cancelMs", 3_000))) {
            violated(
                Rule.RAN_AFTER_END, run.arrivedMs(), batch.id + " " + item + " from " + run.edge());
          }
        }
      }
    }
    Map<String, Map<Long, Long>> readAt = new HashMap<>();
    for (Seen each : traffic.seen) {
      Batch batch = traffic.batches.get(each.subject());
      if (each.kind() == Kind.OPAQUE_RESULT) {
        readAt
            .computeIfAbsent(each.subject(), unseen -> new HashMap<>())
            .putIfAbsent(each.number(), each.atMs());
        result(batch, each);
      } else if (each.kind() == Kind.OPAQUE_READ) {
        read(batch, each, readAt.getOrDefault(each.subject(), Map.of()), settleMs);
      } else if (each.kind() == Kind.OPAQUE_BODY && each.number() == 200) {
        String asked = batch.items.containsKey(each.detail()) ? batch.asked(each.detail()) : "";
        if (!asked.endsWith(" " + each.text())) {
          violated(
              Rule.WRONG_OR_CUT_ANSWER,
              each.atMs(),
              batch.id + " body of " + each.detail() + " is " + each.text());
        }
      } else if (each.kind() == Kind.OPAQUE_CLOSED && batch.acceptedMs >= 0) {
        closed(batch, each);
      }
    }
  }

  /** At the close of the day all that was recorded can be read. */
  private void closed(Batch batch, Seen each) {
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

  private void read(Batch batch, Seen each, Map<Long, Long> readAt, long settleMs) {
    String[] words = each.text().split(" ");
    long from = Long.parseLong(words[0]);
    long begunMs = Long.parseLong(words[3]);
    boolean inTouch =
        traffic.touch.connected(each.detail(), begunMs)
            && traffic.touch.connected(each.detail(), each.atMs());
    boolean kept =
        each.atMs() < batch.firstSentMs + traffic.bound("keepBatchesMs", 120_000)
            || batch.results.size() < batch.items.size();
    if ((each.number() == 404 || each.number() == 410)
        && batch.acceptedMs >= 0
        && begunMs > batch.acceptedMs + settleMs
        && inTouch
        && kept) {
      violated(
          Rule.REPORTED_MISSING, each.atMs(), batch.id + " was told missing by " + each.detail());
    }
    if (each.number() != 200) {
      return;
    }
    long known = readAt.getOrDefault(from, Long.MAX_VALUE / 2);
    if (Long.parseLong(words[1]) <= from && begunMs > known + settleMs && inTouch) {
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

  private void result(Batch batch, Seen each) {
    String[] words = each.detail().split(" ");
    Seen before = batch.results.putIfAbsent(each.number(), each);
    if (before != null) {
      if (!before.detail().equals(each.detail()) || !before.text().equals(each.text())) {
        violated(
            Rule.RESULT_TWICE_OR_CHANGED,
            each.atMs(),
            batch.id
                + " position "
                + each.number()
                + " was "
                + before.detail()
                + " and is "
                + each.detail());
      }
      return;
    }
    if (batch.results.values().stream()
        .anyMatch(other -> other != each && other.detail().split(" ")[0].equals(words[0]))) {
      violated(
          Rule.RESULT_TWICE_OR_CHANGED, each.atMs(), batch.id + " lists " + words[0] + " twice");
    }
    Seen item = batch.items.get(words[0]);
    if (item == null) {
      violated(
          Rule.RESULT_NOT_WHOLE,
          each.atMs(),
          batch.id + " lists " + words[0] + ", which is not its own");
    } else if (words[1].equals("complete")) {
      List<String> texts = each.text().isEmpty() ? List.of() : List.of(each.text().split("\n"));
      String fault = traffic.joined(texts, words[0], batch.asked(words[0]), 0);
      Part last = texts.isEmpty() ? null : Part.parse(texts.get(texts.size() - 1));
      if (fault != null) {
        violated(
            fault.startsWith("another") ? Rule.RESULT_NOT_WHOLE : Rule.STREAM_BROKEN,
            each.atMs(),
            batch.id + " " + words[0] + ": " + fault);
      } else if (last == null || last.last() != item.number()) {
        violated(
            Rule.RESULT_NOT_WHOLE,
            each.atMs(),
            batch.id + " " + words[0] + " is complete with " + each.text());
      }
    } else if (!mayBeGivenUp(batch, words[0], each.atMs())) {
      violated(
          Rule.RESULT_NOT_WHOLE, each.atMs(), batch.id + " " + words[0] + " is given up too early");
    }
  }

  private boolean mayBeGivenUp(Batch batch, String item, long atMs) {
    List<Run> ofItem = traffic.runsOf.getOrDefault(item, List.of());
    long failures =
        ofItem.stream().filter(run -> run.ended() != null && run.ended().number() == 500).count();
    int attempts =
        traffic.changes.values().stream()
            .map(change -> ProxyTraffic.routeOf(change, batch.host, batch.path))
            .filter(route -> route != null)
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

  /** At each yes, the tokens that certainly wait on the route stay below its limit. */
  void waitingTokensStayBelowLimit() {
    Map<String, Long> doneMs = new HashMap<>();
    for (Run run : traffic.runs.values()) {
      if (run.ended() != null && (run.ended().number() == 200 || run.ended().number() == 422)) {
        doneMs.merge(run.request(), run.ended().atMs(), Math::min);
      }
    }
    for (Batch taken : traffic.batches.values()) {
      if (taken.acceptedMs < 0) {
        continue;
      }
      long limit =
          traffic.changes.values().stream()
              .filter(traffic::mayBeInForce)
              .filter(change -> change.sentMs() <= taken.acceptedMs)
              .map(change -> ProxyTraffic.routeOf(change, taken.host, taken.path))
              .filter(route -> route != null)
              .mapToLong(route -> route.tokensMost() == 0 ? UNLIMITED : route.tokensMost())
              .max()
              .orElse(UNLIMITED);
      long waiting = 0;
      for (Batch batch : traffic.batches.values()) {
        if (batch.acceptedMs < 0
            || batch.acceptedMs > taken.acceptedMs
            || batch.endAskedMs <= taken.acceptedMs
            || !batch.place().equals(taken.place())) {
          continue;
        }
        for (String item : batch.items.keySet()) {
          boolean dead =
              mayBeGivenUp(batch, item, taken.acceptedMs)
                  || doneMs.getOrDefault(item, Long.MAX_VALUE) <= taken.acceptedMs;
          waiting += dead ? 0 : batch.tokens(item);
        }
      }
      if (waiting > limit * (100 + traffic.bound("overshootPercent", 10)) / 100) {
        violated(
            Rule.CEILING_OVERSHOT,
            taken.acceptedMs,
            waiting + " tokens wait where " + limit + " may, with " + taken.id);
      }
    }
  }
}
