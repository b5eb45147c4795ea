package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.checker.ProxyTraffic.Batch;
import applespindle.testfleet.checker.ProxyTraffic.Change;
import applespindle.testfleet.checker.ProxyTraffic.Route;
import applespindle.testfleet.checker.ProxyTraffic.Run;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Changes of routes: which of them is acknowledged, what is read back, and which of them the
 * handling of each request shows to be in force.
 */
final class RouteChangeRules extends RuleGroup<ProxyTraffic> {
  /**
   * How a node handled a request or a batch item.
   *
   * @param request null for a batch item
   * @param apiKey null if no key is judged
   * @param pool where it ran; null if the node refused it
   * @param refusal 404 if the node answered that there is no such route, 401 if it answered that no
   *     tenant holds the key; 0 if it ran
   */
  private record Handling(
      Seen request,
      String asked,
      String apiKey,
      long sentMs,
      String edge,
      long atMs,
      String pool,
      long refusal) {
    String describe() {
      return (request == null ? "an item" : request.subject())
          + " asked "
          + ProxyTraffic.host(asked)
          + ProxyTraffic.path(asked)
          + " at "
          + edge
          + (pool == null ? " and was refused with " + refusal : " ran in " + pool);
    }
  }

  private static final long NO_ROUTE = 404;
  private static final long UNKNOWN_KEY = 401;

  /** A node had a change of at least this number in force at a time. */
  private record Proof(long number, long atMs) {}

  private final Map<String, List<Proof>> proofsOfEdge = new HashMap<>();

  RouteChangeRules(ProxyTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  /** At most one change on top of each configuration is acknowledged, and no invalid one. */
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
  }

  /** Reads give a change that may be in force, no older than the one acknowledged before. */
  void readsAreCurrent() {
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

  /** The responses that operators got are linearizable on one register. */
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
    for (Seen each : traffic.seen) {
      if (each.kind() == Kind.RUN_BEGAN) {
        runBegan(each);
      } else if (each.kind() == Kind.REQUEST_ANSWERED
          && each.detail().equals("refused")
          && (each.number() == NO_ROUTE || each.number() == UNKNOWN_KEY)) {
        refused(each);
      }
    }
  }

  private void refused(Seen answer) {
    Seen request = traffic.requests.get(answer.subject());
    check(
        new Handling(
            request,
            request.text(),
            traffic.keyOfRequest.get(answer.subject()),
            request.atMs(),
            ProxyTraffic.edgeOf(request),
            answer.atMs(),
            null,
            answer.number()));
  }

  private void runBegan(Seen began) {
    Run run = traffic.runs.get(began.text());
    String pool = traffic.poolOfWorker.get(began.subject());
    Seen request = traffic.requests.get(began.detail());
    Batch batch = traffic.batches.get(traffic.batchOfItem.getOrDefault(began.detail(), ""));
    if (request != null) {
      check(
          new Handling(
              request,
              request.text(),
              traffic.keyOfRequest.get(request.subject()),
              request.atMs(),
              run.edge(),
              began.atMs(),
              pool,
              0));
    } else if (batch != null && batch.acceptedMs >= 0) {
      check(
          new Handling(
              null, run.asked(), null, batch.acceptedMs, run.edge(), began.atMs(), pool, 0));
    }
  }

  private void check(Handling handling) {
    long[] allowedBy = changesThatAllow(handling);
    if (allowedBy.length == 0) {
      checkAllowedByNone(handling);
      return;
    }
    long newest = allowedBy[allowedBy.length - 1];
    long inForce = traffic.acknowledgedBefore(handling.sentMs() - traffic.bound("applyMs", 2_000));
    if (newest < inForce
        && traffic.machines.isHealthy(handling.edge(), handling.sentMs())
        && traffic.machines.isHealthy(handling.edge(), handling.atMs())) {
      violated(
          Rule.BUNDLE_NOT_IN_FORCE,
          handling.atMs(),
          handling.describe()
              + " by nothing newer than "
              + newest
              + " where "
              + inForce
              + " was in force");
    }
    checkNoDowngrade(handling, newest);
    if (handling.pool() != null) {
      addProof(handling, allowedBy[0]);
    }
  }

  /** The numbers of the changes that allow the handling, in ascending order. */
  private long[] changesThatAllow(Handling handling) {
    return traffic.changes.values().stream()
        .filter(traffic::mayBeInForce)
        .filter(change -> change.sentMs() <= handling.atMs())
        .filter(change -> allows(change, handling))
        .mapToLong(Change::number)
        .sorted()
        .toArray();
  }

  private static boolean allows(Change change, Handling handling) {
    String asked = handling.asked();
    Route route = ProxyTraffic.routeOf(change, ProxyTraffic.host(asked), ProxyTraffic.path(asked));
    if (route == null || handling.refusal() == NO_ROUTE) {
      return route == null && handling.refusal() == NO_ROUTE;
    }
    boolean admitted = change.admits(route, handling.apiKey());
    return handling.refusal() == UNKNOWN_KEY
        ? !admitted
        : admitted && route.pools().contains(handling.pool());
  }

  private void checkAllowedByNone(Handling handling) {
    boolean wrong =
        handling.pool() != null
            ? traffic.everAllowed(handling.asked(), handling.pool(), handling.atMs())
            : traffic.acknowledgedBefore(handling.sentMs()) > 0
                && traffic.machines.isHealthy(handling.edge(), handling.sentMs());
    if (wrong) {
      violated(
          Rule.BUNDLE_NOT_IN_FORCE,
          handling.atMs(),
          handling.describe() + ", which nothing in force allowed");
    }
  }

  /** A node does not go back to an older change within one incarnation. */
  private void checkNoDowngrade(Handling handling, long newest) {
    long graceMs = traffic.bound("downgradeMs", 250);
    for (Proof before : proofsOfEdge.getOrDefault(handling.edge(), List.of())) {
      if (newest < before.number()
          && handling.sentMs() > before.atMs() + graceMs
          && handling.request() != null
          && traffic.machines.sameIncarnation(handling.edge(), before.atMs(), handling.sentMs())) {
        violated(
            Rule.BUNDLE_NOT_IN_FORCE,
            handling.atMs(),
            handling.describe() + " by " + newest + " after it had shown " + before.number());
        return;
      }
    }
  }

  private void addProof(Handling handling, long oldestAllowing) {
    List<Proof> proofs = proofsOfEdge.computeIfAbsent(handling.edge(), unseen -> new ArrayList<>());
    if (proofs.isEmpty() || proofs.get(proofs.size() - 1).number() < oldestAllowing) {
      proofs.add(new Proof(oldestAllowing, handling.atMs()));
    }
  }
}
