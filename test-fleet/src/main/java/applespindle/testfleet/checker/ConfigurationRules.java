package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Acknowledged configurations and drain requests take effect in time at each node. */
final class ConfigurationRules extends RuleGroup<ObservedTraffic> {
  private static final long DRAIN_MS = 3_000;
  private static final long IN_FORCE_MS = 2_000;
  private static final long NEVER = Long.MAX_VALUE / 2;

  /** By traffic class, the pool that each configuration routes it to. */
  private final Map<String, TreeMap<Long, String>> poolsOfClass = new HashMap<>();

  private final Map<String, String> poolOfWorker = new HashMap<>();
  private final Map<String, Seen> classByPrompt = new HashMap<>();

  ConfigurationRules(ObservedTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  void drainedWorkersGetNoWork() {
    Map<String, Long> leavingAtMs = new HashMap<>();
    for (Seen each : traffic.events) {
      if (each.kind() == Kind.LEAVING_ANSWERED && each.number() == ObservedTraffic.STATUS_OK) {
        leavingAtMs.putIfAbsent(each.subject(), each.atMs());
      } else if (each.kind() == Kind.WORKER_RECEIVED
          && each.atMs() > leavingAtMs.getOrDefault(each.subject(), NEVER) + DRAIN_MS) {
        violated(Rule.WORK_TO_LEAVING_WORKER, each.atMs(), each.subject());
      }
    }
  }

  /** Reads and ready edges show a configuration no older than the acknowledged one. */
  void acknowledgedConfigurationsAreShown() {
    for (Seen each : traffic.events) {
      if (each.kind() == Kind.BUNDLE_READ) {
        notOlderThan(Long.parseLong(each.text()), each, "read");
      } else if (each.kind() == Kind.EDGE_BUNDLE) {
        notOlderThan(each.atMs() - IN_FORCE_MS, each, each.subject() + " has");
      }
    }
  }

  private void notOlderThan(long acknowledgedBeforeMs, Seen shown, String how) {
    traffic
        .highestConfigurationAcknowledgedBefore(acknowledgedBeforeMs)
        .filter(number -> number > shown.number())
        .ifPresent(
            number ->
                violated(
                    Rule.BUNDLE_NOT_IN_FORCE,
                    shown.atMs(),
                    how + " " + shown.number() + " after " + number));
  }

  /**
   * A request sent late enough after an acknowledgement is not routed by an older configuration.
   * What counts is the pool of the worker that it reaches.
   */
  void requestsFollowAcknowledgedRoutes() {
    for (Seen each : traffic.events) {
      switch (each.kind()) {
        case BUNDLE_WAY ->
            poolsOfClass
                .computeIfAbsent(each.detail(), unseen -> new TreeMap<>())
                .put(each.number(), each.text());
        case WORKER_POOL -> poolOfWorker.put(each.subject(), each.detail());
        case LIVE_CLASS -> classByPrompt.put(each.text(), each);
        case WORKER_RECEIVED -> {
          Seen request = each.detail().isEmpty() ? classByPrompt.get(each.text()) : null;
          if (request != null) {
            followsAcknowledgedRoute(request, each);
          }
        }
        default -> {
          // Says nothing of routes.
        }
      }
    }
  }

  private void followsAcknowledgedRoute(Seen request, Seen received) {
    long inForce =
        traffic.highestConfigurationAcknowledgedBefore(request.atMs() - IN_FORCE_MS).orElse(0L);
    if (inForce > 0
        && !poolsOfClass
            .get(request.detail())
            .tailMap(inForce)
            .containsValue(poolOfWorker.get(received.subject()))) {
      violated(
          Rule.BUNDLE_NOT_IN_FORCE,
          received.atMs(),
          request.subject()
              + " went to "
              + received.subject()
              + " by a way older than bundle "
              + inForce);
    }
  }
}
