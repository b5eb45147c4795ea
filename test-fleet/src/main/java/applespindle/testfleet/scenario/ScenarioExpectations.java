package applespindle.testfleet.scenario;

import applespindle.testfleet.clients.BatchClient;
import applespindle.testfleet.clients.RouteOperators;
import applespindle.testfleet.clients.SimulatedFleet;
import applespindle.testfleet.history.History;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.scenario.ScenarioSettings.Expected;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Compares the measures of a finished run with the bounds that the scenario expects. */
final class ScenarioExpectations {
  private static final int MS_PER_SECOND = 1_000;

  /** Prefixes of measures; what is measured follows. */
  private static final String SERVED_PERCENT = "served-percent:";

  /** The bound is a percentage of the batches; the milliseconds follow. */
  private static final String ACCEPTED_WITHIN = "accepted-within-ms:";

  private static final String REFUSED_WITHIN = "refused-within-ms:";
  private static final String SHARDS_ON = "shards-on:";
  private static final String CONTROL_PLANE_MEMBER = "core-member:";

  private final SimulatedFleet fleet;

  /** A sentence for each expectation that was not met so far. */
  private final List<String> faults = new ArrayList<>();

  private ScenarioExpectations(SimulatedFleet fleet) {
    this.fleet = fleet;
  }

  /** Returns a sentence for each expectation that the run did not meet. */
  static List<String> unmet(SimulatedFleet fleet, List<Expected> expected) {
    ScenarioExpectations expectations = new ScenarioExpectations(fleet);
    expected.forEach(expectations::check);
    return expectations.faults;
  }

  private void check(Expected expected) {
    boolean known =
        checkBatches(expected)
            || checkControlPlane(expected)
            || checkProxiedTraffic(expected)
            || checkFleet(expected)
            || checkNamed(expected);
    if (!known) {
      faults.add("unknown expectation " + expected.measure());
    }
  }

  private boolean checkBatches(Expected expected) {
    double bound = expected.bound();
    switch (expected.measure()) {
      case "slowest-batch-s" -> checkSlowestBatch(bound);
      case "accepted-least" ->
          atLeast(
              "accepted batches",
              fleet.senders.stream().filter(sender -> sender.acceptedAtMs >= 0).count(),
              bound);
      case "refused-least" ->
          atLeast(
              "refused batches",
              fleet.senders.stream().filter(sender -> sender.acceptedAtMs < 0).count(),
              bound);
      case "ended-least" ->
          atLeast(
              "ended batches",
              fleet.senders.stream().filter(sender -> sender.ended).count(),
              bound);
      case "removed-least" -> atLeast("removed batches", fleet.removedBatches(), bound);
      case "came-back-served-least" ->
          atLeast(
              "percent of senders served when they came back", fleet.servedOnRetryPercent(), bound);
      default -> {
        return false;
      }
    }
    return true;
  }

  private void checkSlowestBatch(double boundSeconds) {
    long slowest =
        fleet.senders.stream()
            .filter(sender -> sender.acceptedAtMs >= 0 && !sender.endAsked)
            .mapToLong(ScenarioExpectations::durationMs)
            .max()
            .orElse(0);
    if (slowest > boundSeconds * MS_PER_SECOND) {
      faults.add(
          "expected each batch within " + boundSeconds + " s, slowest took " + slowest + " ms");
    }
  }

  private static long durationMs(BatchClient sender) {
    return sender.finishedAtMs < 0 ? Long.MAX_VALUE : sender.finishedAtMs - sender.acceptedAtMs;
  }

  private boolean checkControlPlane(Expected expected) {
    double bound = expected.bound();
    switch (expected.measure()) {
      case "changes-least" -> atLeast("acknowledged changes", fleet.operators.acknowledged, bound);
      case "changes-refused" -> exactly("refused changes", fleet.operators.refused, bound);
      case "first-change-ms" ->
          atMost("the first change, in ms", fleet.operators.firstYesMs, bound);
      case "slowest-change-ms" ->
          atMost("the slowest later change, in ms", fleet.operators.slowestYesMs, bound);
      case "core-gap-ms" ->
          atMost(
              "the longest time without service of "
                  + fleet.controlPlaneProbe.longestGapKey
                  + ", in ms",
              fleet.controlPlaneProbe.longestGapMs,
              bound);
      case "core-terms" -> atMost("terms used", fleet.controlPlaneProbe.terms, bound);
      case "core-answer-ms" ->
          atMost(
              "the slowest answer of the control plane, in ms",
              fleet.controlPlaneProbe.slowestAnswerMs,
              bound);
      default -> {
        return false;
      }
    }
    return true;
  }

  private boolean checkProxiedTraffic(Expected expected) {
    double bound = expected.bound();
    switch (expected.measure()) {
      case "items-done-percent" ->
          atLeast(
              "percent of the items listed",
              100 * fleet.clients.itemsDone() / Math.max(1, fleet.clients.itemsTaken()),
              bound);
      case "closed-within-ms" ->
          atMost("reading a complete batch at the end, in ms", fleet.clients.slowestCloseMs, bound);
      case "taken-least" ->
          atLeast(
              "taken batches",
              fleet.clients.batches.stream().filter(client -> client.accepted).count(),
              bound);
      case "duty-calls-most" -> atMost("calls of the duties", fleet.platform.duties.calls, bound);
      case "least-served-tenant-percent" ->
          atLeast(
              "the least served tenant, in percent of all",
              fleet.clients.leastServedTenantPercent(RouteOperators.BATCH_TARGET_MS),
              bound);
      case "list-calls-most" ->
          atMost("calls to the list of workers", fleet.platform.list.calls, bound);
      default -> {
        return false;
      }
    }
    return true;
  }

  private boolean checkFleet(Expected expected) {
    double bound = expected.bound();
    switch (expected.measure()) {
      case "cache-hits-least" -> atLeast("percent of cache hits", fleet.cacheHitPercent(), bound);
      case "checks-p99-ms" -> checkLatency(bound);
      case "shard-changes-most" -> checkShardChanges(bound);
      case "reduced-shards" ->
          exactly(
              "shards with reduced redundancy",
              fleet.controlPlaneStatus().path("shardsWithReducedRedundancy").asLong(-1),
              bound);
      case "storage-refused" -> exactly("refused storage marks", fleet.storageRefusals, bound);
      case "live-share" -> checkShareOfLiveRequests(bound);
      default -> {
        return false;
      }
    }
    return true;
  }

  private void checkLatency(double boundMs) {
    long p99 = SimulatedFleet.percentile(fleet.checkLatencies, 99);
    if (p99 > boundMs) {
      faults.add("expected checks' p99 within " + boundMs + " ms, was " + p99);
    }
  }

  private void checkShardChanges(double bound) {
    long sum = 0;
    for (JsonNode shard : fleet.controlPlaneStatus().path("shards")) {
      sum += shard.path("number").asLong();
    }
    if (sum > bound) {
      faults.add("expected set numbers to sum up to at most " + (long) bound + ", were " + sum);
    }
  }

  private void checkShareOfLiveRequests(double bound) {
    List<History.Seen> answers = fleet.simulation.history.of(Kind.LIVE_ANSWERED);
    long served = answers.stream().filter(ScenarioExpectations::served).count();
    double share = (double) served / Math.max(1, answers.size());
    if (share < bound) {
      faults.add("expected a share of " + bound + " live requests served, was " + share);
    }
  }

  private static boolean served(History.Seen answer) {
    return answer.detail().equals("complete") || answer.detail().equals("AlreadyClaimed");
  }

  /** Measures of one type, node or member, which the scenario names after a colon. */
  private boolean checkNamed(Expected expected) {
    String measure = expected.measure();
    double bound = expected.bound();
    if (measure.startsWith(SERVED_PERCENT)) {
      checkServed(measure.substring(SERVED_PERCENT.length()), bound);
    } else if (measure.startsWith(ACCEPTED_WITHIN)) {
      checkAcceptedWithin(Long.parseLong(measure.substring(ACCEPTED_WITHIN.length())), bound);
    } else if (measure.startsWith(REFUSED_WITHIN)) {
      checkRefusedWithin(measure.substring(REFUSED_WITHIN.length()), bound);
    } else if (measure.startsWith(SHARDS_ON)) {
      String node = measure.substring(SHARDS_ON.length());
      exactly("shards on " + node, shardsOn(node), bound);
    } else if (measure.startsWith(CONTROL_PLANE_MEMBER)) {
      String node = measure.substring(CONTROL_PLANE_MEMBER.length());
      exactly("control plane members named " + node, membersNamed(node), bound);
    } else {
      return false;
    }
    return true;
  }

  private void checkServed(String type, double bound) {
    int[] counts = fleet.clients.servedOf.getOrDefault(type, new int[2]);
    atLeast("percent served of " + type, 100L * counts[1] / Math.max(1, counts[0]), bound);
  }

  /** As the client sees it, from its first try; a batch that is never accepted is late too. */
  private void checkAcceptedWithin(long millis, double percent) {
    long within =
        fleet.clients.batches.stream().filter(batch -> batch.acceptanceMs() <= millis).count();
    long all = fleet.clients.batches.size();
    if (100 * within < percent * all) {
      faults.add(
          "expected %.0f percent of batches accepted within %d ms, were %d of %d%n%s"
              .formatted(percent, millis, within, all, fleet.simulation.submissions.report()));
    }
  }

  private void checkRefusedWithin(String type, double boundMs) {
    long slowest = fleet.refusedAfterMs.getOrDefault(type, -1L);
    if (slowest < 0 || slowest > boundMs) {
      faults.add("expected each " + type + " told within " + boundMs + " ms, seen " + slowest);
    }
  }

  /** -1 if no live storage node has that name. */
  private long shardsOn(String node) {
    long shards = -1;
    for (JsonNode each : fleet.controlPlaneStatus().path("storage")) {
      if (each.path("name").asText().equals(node) && each.path("live").asBoolean()) {
        shards = each.path("shards").asLong();
      }
    }
    return shards;
  }

  private long membersNamed(String node) {
    long members = 0;
    for (JsonNode each : fleet.controlPlaneStatus().at("/roster/members")) {
      members += each.path("name").asText().equals(node) ? 1 : 0;
    }
    return members;
  }

  private void exactly(String what, long seen, double wanted) {
    if (seen != wanted) {
      faults.add("expected " + (long) wanted + " " + what + ", were " + seen);
    }
  }

  private void atMost(String what, long seen, double wanted) {
    if (seen > wanted) {
      faults.add("expected at most " + wanted + " for " + what + ", was " + seen);
    }
  }

  private void atLeast(String what, long seen, double wanted) {
    if (seen < wanted) {
      faults.add("expected at least " + wanted + " " + what + ", were " + seen);
    }
  }
}
