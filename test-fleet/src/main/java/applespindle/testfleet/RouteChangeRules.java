package applespindle.testfleet;

import applespindle.testfleet.Checker.Rule;
import applespindle.testfleet.Checker.Violation;
import applespindle.testfleet.History.Kind;
import applespindle.testfleet.History.Seen;
import applespindle.testfleet.ProxyTraffic.Batch;
import applespindle.testfleet.ProxyTraffic.Change;
import applespindle.testfleet.ProxyTraffic.Route;
import applespindle.testfleet.ProxyTraffic.Run;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Changes of routes: who wins, what is read back, and what each request shows to be in force. */
final class RouteChangeRules extends ProxyRules {
  RouteChangeRules(ProxyTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  void oneChangeWins() {
    Map<String, String> winnerOn = new HashMap<>();
    for (Seen each : traffic.of(Kind.CHANGE_ANSWERED)) {
      Change change = traffic.changes.get(each.subject());
      if (each.number() != 200) {
        continue;
      }
      if (!change.valid()) {
        violated(
            Rule.BUNDLE_NOT_IN_FORCE,
            each.atMs(),
            "an invalid change was acknowledged: " + change.id());
      }
      String other = winnerOn.putIfAbsent(change.buildsOn(), change.id());
      if (other != null && !other.equals(change.id())) {
        violated(
            Rule.BUNDLE_NOT_IN_FORCE,
            each.atMs(),
            change.id() + " and " + other + " both build on " + change.buildsOn());
      }
    }
    for (Seen each : traffic.of(Kind.CHANGE_READ)) {
      long begunMs = Long.parseLong(each.text());
      long newest = traffic.acknowledgedBefore(begunMs);
      Change change = traffic.changes.get(each.subject());
      if (newest > each.number() || change == null && each.number() > 0) {
        violated(
            Rule.BUNDLE_NOT_IN_FORCE,
            each.atMs(),
            "read " + each.number() + " of " + each.subject() + " after " + newest);
      } else if (change != null
          && (change.number() != each.number() || !traffic.mayBeInForce(change))) {
        violated(
            Rule.BUNDLE_NOT_IN_FORCE,
            each.atMs(),
            "read " + change.id() + ", which is not in force, as " + each.number());
      }
    }
  }

  /** All that operators were told fits one register. */
  void operatorsSeeOneRegister() {
    LinearizabilityChecker.check(traffic.seen)
        .ifPresent(
            what -> {
              long lastMs = traffic.seen.get(traffic.seen.size() - 1).atMs();
              violated(Rule.BUNDLE_NOT_IN_FORCE, lastMs, what);
            });
  }

  /**
   * How each request was handled must be allowed by a change no older than what was in force for
   * its node by then.
   */
  void effectsAreInForce() {
    Map<String, List<long[]>> provenAt = new HashMap<>();
    for (Seen each : traffic.seen) {
      switch (each.kind()) {
        case RUN_BEGAN -> {
          Run run = traffic.runs.get(each.text());
          Seen request = traffic.requests.get(each.detail());
          Batch batch = traffic.batches.get(traffic.batchOfItem.getOrDefault(each.detail(), ""));
          if (request != null) {
            handled(
                request,
                request.text(),
                request.atMs(),
                run.edge(),
                each.atMs(),
                traffic.poolOfWorker.get(each.subject()),
                provenAt);
          } else if (batch != null && batch.acceptedMs >= 0) {
            handled(
                null,
                run.asked(),
                batch.acceptedMs,
                run.edge(),
                each.atMs(),
                traffic.poolOfWorker.get(each.subject()),
                provenAt);
          }
        }
        case REQUEST_ANSWERED -> {
          Seen request = traffic.requests.get(each.subject());
          if (each.detail().equals("refused") && each.number() == 404) {
            handled(
                request,
                request.text(),
                request.atMs(),
                ProxyTraffic.edgeOf(request),
                each.atMs(),
                null,
                provenAt);
          }
        }
        default -> {}
      }
    }
  }

  /** pool: where it ran; null if it was told that there is no such route. */
  private void handled(
      Seen request,
      String asked,
      long sentMs,
      String edge,
      long atMs,
      String pool,
      Map<String, List<long[]>> provenAt) {
    long[] fitting =
        traffic.changes.values().stream()
            .filter(traffic::mayBeInForce)
            .filter(change -> change.sentMs() <= atMs)
            .filter(
                change -> {
                  Route route =
                      ProxyTraffic.routeOf(
                          change, ProxyTraffic.host(asked), ProxyTraffic.path(asked));
                  return pool == null
                      ? route == null
                      : route != null && route.pools().contains(pool);
                })
            .mapToLong(Change::number)
            .sorted()
            .toArray();
    String what = described(request, asked, edge, pool);
    if (fitting.length == 0) {
      boolean wrong =
          pool != null
              ? traffic.everAllowed(asked, pool, atMs)
              : traffic.acknowledgedBefore(sentMs) > 0 && traffic.touch.connected(edge, sentMs);
      if (wrong) {
        violated(Rule.BUNDLE_NOT_IN_FORCE, atMs, what + ", which nothing in force allowed");
      }
      return;
    }
    long newest = fitting[fitting.length - 1];
    long inForce = traffic.acknowledgedBefore(sentMs - traffic.bound("applyMs", 2_000));
    if (newest < inForce
        && traffic.touch.connected(edge, sentMs)
        && traffic.touch.connected(edge, atMs)) {
      violated(
          Rule.BUNDLE_NOT_IN_FORCE,
          atMs,
          what + " by nothing newer than " + newest + " where " + inForce + " was in force");
    }
    List<long[]> proven = provenAt.computeIfAbsent(edge, unseen -> new ArrayList<>());
    for (long[] before : proven) {
      if (newest < before[0]
          && sentMs > before[1] + traffic.bound("downgradeMs", 250)
          && request != null
          && traffic.touch.sameIncarnation(edge, before[1], sentMs)) {
        violated(
            Rule.BUNDLE_NOT_IN_FORCE,
            atMs,
            what + " by " + newest + " after it had shown " + before[0]);
        break;
      }
    }
    if (pool != null && (proven.isEmpty() || proven.get(proven.size() - 1)[0] < fitting[0])) {
      proven.add(new long[] {fitting[0], atMs});
    }
  }

  private static String described(Seen request, String asked, String edge, String pool) {
    return (request == null ? "an item" : request.subject())
        + " asked "
        + ProxyTraffic.host(asked)
        + ProxyTraffic.path(asked)
        + " at "
        + edge
        + (pool == null ? " and was told of no route" : " ran in " + pool);
  }
}
