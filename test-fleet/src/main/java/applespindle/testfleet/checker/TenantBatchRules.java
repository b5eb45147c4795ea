package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.checker.ProxyTraffic.Batch;
import applespindle.testfleet.checker.ProxyTraffic.Change;
import applespindle.testfleet.checker.ProxyTraffic.Route;
import applespindle.testfleet.checker.ProxyTraffic.Run;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * Batches of tenants: workers are told the tenant that submitted the batch, nobody else reaches it,
 * keys that are held are admitted, and a tenant is refused for lack of room only if its own batches
 * take it.
 */
final class TenantBatchRules extends RuleGroup<ProxyTraffic> {
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNKNOWN_KEY = 401;
  private static final String NO_ROOM = "NoRoom";

  /** Longer than leaders of batches take to report ended items while nothing is wrong. */
  private static final long REPORTED_WITHIN_MS = 4_000;

  TenantBatchRules(ProxyTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  /** Every run of an item names the tenant that submitted its batch, and shows no credentials. */
  void runsNameTheOwner() {
    traffic.runs.forEach(
        (id, run) -> {
          Batch batch = traffic.batches.get(traffic.batchOfItem.get(run.request()));
          if (batch != null && batch.owner != null && run.began() != null) {
            checkOwner(batch, run, traffic.tenantOfRun.get(id));
          }
        });
  }

  private void checkOwner(Batch batch, Run run, Seen told) {
    if (told == null || told.number() != 0 || !told.subject().equals(batch.owner)) {
      violated(
          Rule.WRONG_TENANT,
          run.arrivedMs(),
          run.request()
              + " of "
              + batch.owner
              + " ran as one of "
              + (told == null ? "nobody" : told.subject()));
    }
  }

  /** Calls with keys do what the tenant of the key may do, and nothing else. */
  void callsFollowTheTenantOfTheKey() {
    for (Seen each : traffic.of(Kind.OPAQUE_KEY_CALL)) {
      String[] words = each.text().split(" ");
      Batch batch = traffic.batches.get(each.subject());
      long begunMs = Long.parseLong(words[1]);
      String key = words[2];
      if (each.number() == STATUS_OK && !mayReach(batch, key, begunMs, each.atMs())) {
        violated(
            Rule.BATCH_SHOWN_TO_OTHERS,
            each.atMs(),
            batch.id + " of " + batch.owner + " at " + each.detail() + ": " + each.text());
      }
      if (each.number() == STATUS_UNKNOWN_KEY
          && isHeldForSure(batch, key, begunMs, each.atMs())
          && traffic.machines.isHealthy(each.detail(), begunMs)
          && traffic.machines.isHealthy(each.detail(), each.atMs())) {
        violated(
            Rule.BUNDLE_NOT_IN_FORCE,
            each.atMs(),
            batch.id + " was refused its key by " + each.detail() + ": " + each.text());
      }
    }
  }

  /** The changes that may have been in force anywhere during a call, by a bound on their age. */
  private Stream<Change> maybeInForce(long begunMs, long endedMs, long boundMs) {
    long acknowledged = traffic.acknowledgedBefore(begunMs - boundMs);
    return traffic.changes.values().stream()
        .filter(traffic::mayBeInForce)
        .filter(change -> change.sentMs() <= endedMs && change.number() >= acknowledged);
  }

  /** Whether the owner may have held the key; after the bound on keys that were taken away. */
  private boolean mayReach(Batch batch, String key, long begunMs, long endedMs) {
    return maybeInForce(begunMs, endedMs, traffic.bound("revokeMs", 5_000))
        .anyMatch(change -> batch.owner.equals(change.tenantOfKey().get(key)));
  }

  private boolean isHeldForSure(Batch batch, String key, long begunMs, long endedMs) {
    long applyMs = traffic.bound("applyMs", 2_000);
    return traffic.acknowledgedBefore(begunMs - applyMs) > 0
        && maybeInForce(begunMs, endedMs, applyMs)
            .allMatch(change -> batch.owner.equals(change.tenantOfKey().get(key)));
  }

  /**
   * A refusal for lack of room is true: the tokens of the tenant's own batches on the route that
   * may have waited lately leave no room for the batch.
   */
  void refusalsForLackOfRoomAreTrue() {
    Map<String, Long> doneMs = ProxiedBatchRules.itemsDoneMs(traffic);
    for (Seen each : traffic.of(Kind.OPAQUE_ANSWERED)) {
      Batch refused = traffic.batches.get(each.subject());
      if (refused.owner == null || !each.detail().equals(NO_ROOM)) {
        continue;
      }
      long limit = lowestLimit(refused);
      long sinceMs = each.atMs() - reportedWithinMs(each.atMs());
      long others =
          traffic.batches.values().stream()
              .filter(batch -> batch != refused && batch.sharesLimitWith(refused))
              .filter(batch -> batch.firstSentMs <= each.atMs() && batch.endedMs > sinceMs)
              .mapToLong(batch -> openTokens(batch, sinceMs, doneMs))
              .sum();
      if (others + allTokens(refused) <= limit) {
        violated(
            Rule.SERVICE_NOT_BACK,
            each.atMs(),
            refused.id + " of " + refused.owner + " was told of no room beside " + others);
      }
    }
  }

  /** Shortly after a fault, items that ended may be reported only after the recovery. */
  private long reportedWithinMs(long atMs) {
    long recoveryMs = traffic.bound("recoveryMs", 12_000);
    boolean faultLately =
        traffic.of(Kind.TROUBLE).stream()
            .anyMatch(each -> each.atMs() <= atMs && each.atMs() > atMs - 2 * recoveryMs);
    return faultLately ? recoveryMs : REPORTED_WITHIN_MS;
  }

  private long lowestLimit(Batch refused) {
    return traffic.changes.values().stream()
        .map(change -> ProxyTraffic.routeOf(change, refused.host, refused.path))
        .filter(Objects::nonNull)
        .mapToLong(Route::tokensMost)
        .filter(limit -> limit > 0)
        .min()
        .orElse(0);
  }

  private static long openTokens(Batch batch, long atMs, Map<String, Long> doneMs) {
    return batch.items.keySet().stream()
        .filter(item -> doneMs.getOrDefault(item, Long.MAX_VALUE) > atMs)
        .mapToLong(batch::tokens)
        .sum();
  }

  private static long allTokens(Batch batch) {
    return batch.items.keySet().stream().mapToLong(batch::tokens).sum();
  }
}
