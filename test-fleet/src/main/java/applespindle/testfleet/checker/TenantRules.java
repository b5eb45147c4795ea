package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.checker.ProxyTraffic.Change;
import applespindle.testfleet.checker.ProxyTraffic.Route;
import applespindle.testfleet.checker.ProxyTraffic.Run;
import applespindle.testfleet.history.History.Seen;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/** Requests run only with keys that tenants hold, and for the tenant that holds the key. */
final class TenantRules extends RuleGroup<ProxyTraffic> {
  TenantRules(ProxyTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  /** Each run is by a key in force, and its worker is told the key's tenant and nothing else. */
  void runsAreForTheTenantOfTheKey() {
    traffic.runs.forEach(
        (id, run) -> {
          if (run.began() != null && traffic.keyOfRequest.containsKey(run.request())) {
            check(id, run);
          }
        });
  }

  private void check(String id, Run run) {
    String key = traffic.keyOfRequest.get(run.request());
    List<Change> changes =
        traffic.changes.values().stream()
            .filter(traffic::mayBeInForce)
            .filter(change -> change.sentMs() <= run.began().atMs())
            .toList();
    Set<String> holders =
        changes.stream()
            .map(change -> change.tenantOfKey().get(key))
            .filter(Objects::nonNull)
            .collect(Collectors.toSet());
    boolean isPublic = changes.stream().anyMatch(change -> isPublic(change, run));
    checkTenant(run, traffic.tenantOfRun.get(id), holders, isPublic);
    if (isPublic) {
      return;
    }
    if (holders.isEmpty()) {
      violated(
          Rule.UNKNOWN_KEY_RAN,
          run.began().atMs(),
          run.request() + " ran from " + run.edge() + " with a key that no change ever held");
      return;
    }
    checkNotWithdrawn(run, key, changes);
  }

  private static boolean isPublic(Change change, Run run) {
    Route route =
        ProxyTraffic.routeOf(
            change, ProxyTraffic.host(run.asked()), ProxyTraffic.path(run.asked()));
    return route != null && route.isPublic();
  }

  private void checkTenant(Run run, Seen told, Set<String> holders, boolean isPublic) {
    boolean passedOn = told != null && told.number() == 1;
    String name = told == null ? "" : told.subject();
    boolean allowed = holders.contains(name) || isPublic && name.isEmpty();
    if (passedOn || !allowed) {
      violated(
          Rule.WRONG_TENANT,
          run.began().atMs(),
          run.request()
              + " from "
              + run.edge()
              + (passedOn
                  ? " came with its client's credentials"
                  : " came for the tenant " + name + " where the key is held by " + holders));
    }
  }

  /**
   * The change that took the key away was not acknowledged longer than the bound before the request
   * was sent. This holds for every node, whatever its faults.
   */
  private void checkNotWithdrawn(Run run, String key, List<Change> changes) {
    long revokeMs = traffic.bound("revokeMs", 0);
    if (revokeMs == 0) {
      return;
    }
    long sentMs = traffic.requests.get(run.request()).atMs();
    long newestWithKey =
        changes.stream()
            .filter(change -> change.tenantOfKey().containsKey(key))
            .mapToLong(Change::number)
            .max()
            .orElse(0);
    long inForce = traffic.acknowledgedBefore(sentMs - revokeMs);
    if (newestWithKey < inForce) {
      violated(
          Rule.WITHDRAWN_KEY_RAN,
          run.began().atMs(),
          run.request()
              + " ran from "
              + run.edge()
              + " with a key last held by "
              + newestWithKey
              + " where "
              + inForce
              + " had been acknowledged more than "
              + revokeMs
              + " ms before it was sent");
    }
  }
}
