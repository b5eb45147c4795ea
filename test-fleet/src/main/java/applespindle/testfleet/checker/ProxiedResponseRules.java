package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.checker.ProxyTraffic.Run;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import applespindle.testfleet.history.ProxiedOutput;
import applespindle.testfleet.history.ProxiedOutput.Part;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What clients get: complete responses to their own request, and service without long gaps. */
final class ProxiedResponseRules extends RuleGroup<ProxyTraffic> {
  private static final int MIN_ATTEMPTS = 3;

  /** A planned stop of a node, with the time that it has for its open requests. */
  private record PlannedStop(long beganMs, long endsMs) {
    boolean covers(long timeMs) {
      return timeMs >= beganMs && timeMs <= endsMs;
    }
  }

  ProxiedResponseRules(ProxyTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  void responsesAreComplete() {
    for (Seen answer : traffic.answers.values()) {
      if (!answer.detail().equals("refused") && answer.number() != 0) {
        checkResponse(traffic.requests.get(answer.subject()), answer);
      }
    }
  }

  private void checkResponse(Seen request, Seen answer) {
    int lineEnd = answer.text().indexOf('\n');
    String stamp = answer.text().substring(0, Math.max(0, lineEnd));
    String body = answer.text().substring(lineEnd + 1);
    String runId = stamp.split("[.]")[0];
    Run run = traffic.runs.get(runId);
    boolean complete = answer.detail().equals("complete");
    if (run == null
        || !run.request().equals(answer.subject())
        || !stamp.equals(ProxiedOutput.stamp(request.text(), runId))) {
      wrong(answer, " has the stamp " + stamp);
    } else if (answer.number() >= 300) {
      if (complete && !body.equals(failure(run, answer.number()))) {
        wrong(answer, " has a changed failure");
      }
    } else if (run.ended() != null && run.ended().number() >= 300) {
      wrong(answer, " shows a failure as a success");
    } else if (request.detail().startsWith("stream ")
        || request.detail().startsWith("resumable ")) {
      stream(request, answer, body, complete);
    } else {
      plain(request, answer, run, runId, body);
    }
  }

  private void wrong(Seen answer, String what) {
    violated(Rule.WRONG_OR_CUT_ANSWER, answer.atMs(), answer.subject() + what);
  }

  private String failure(Run run, long status) {
    return ProxyChecker.failure(run.began() == null ? "" : run.began().text(), status);
  }

  private void plain(Seen request, Seen answer, Run run, String runId, String body) {
    String output = ProxiedOutput.text(request.text(), 1, (int) request.number(), runId);
    boolean complete = answer.detail().equals("complete");
    if (complete ? !body.equals(output) : !output.startsWith(body)) {
      wrong(answer, (complete ? " is complete with " : " has ") + body);
    } else if (complete && (run.ended() == null || run.ended().number() != 200)) {
      wrong(answer, " is complete and its run is not");
    }
  }

  private void stream(Seen request, Seen answer, String body, boolean complete) {
    long resumeAfter = resumeAfter(request);
    List<String> texts = new ArrayList<>();
    long lastId = resumeAfter;
    for (String line : body.isEmpty() ? new String[0] : body.split("\n")) {
      int colon = line.indexOf(':');
      Part part = Part.parse(line.substring(colon + 1));
      if (part == null
          || !line.substring(0, Math.max(0, colon)).equals(Integer.toString(part.last()))) {
        wrong(answer, " has the event " + line);
        return;
      }
      lastId = part.last();
      texts.add(line.substring(colon + 1));
    }
    String fault = traffic.joined(texts, request.subject(), request.text(), resumeAfter);
    if (fault != null) {
      violated(
          fault.startsWith("another") ? Rule.WRONG_OR_CUT_ANSWER : Rule.STREAM_BROKEN,
          answer.atMs(),
          answer.subject() + ": " + fault);
    } else if (complete && lastId != request.number()) {
      violated(
          Rule.STREAM_BROKEN,
          answer.atMs(),
          answer.subject() + " ends as complete after " + lastId + " of " + request.number());
    }
  }

  private static long resumeAfter(Seen request) {
    String[] words = request.detail().split(" ");
    return words.length > 2 ? Long.parseLong(words[2]) : 0;
  }

  /**
   * A planned stop of a node truncates no response, unless the worker, the deadline or another
   * fault did.
   */
  void plannedStopsCutNothing() {
    Map<String, List<PlannedStop>> stops = plannedStops();
    for (Seen answer : traffic.answers.values()) {
      Seen request = traffic.requests.get(answer.subject());
      String edge = ProxyTraffic.edgeOf(request);
      if (cutByPlannedStop(request, answer, stops.getOrDefault(edge, List.of()))
          && traffic.machines.isStable(request.atMs())
          && traffic.machines.isStable(answer.atMs())
          && traffic.machines.hadNoFault(
              edge, request.atMs(), answer.atMs(), Set.of("stopping", "down"))) {
        violated(
            Rule.RESPONSE_LOST,
            answer.atMs(),
            answer.subject() + " was cut off at " + edge + ", which was told to stop");
      }
    }
  }

  /** By node. */
  private Map<String, List<PlannedStop>> plannedStops() {
    long graceMs = traffic.bound("graceMs", 8_000) + 1_000;
    Map<String, List<PlannedStop>> stops = new HashMap<>();
    for (Seen each : traffic.of(Kind.TROUBLE)) {
      if (each.detail().equals("began stopping")) {
        stops
            .computeIfAbsent(each.subject(), unseen -> new ArrayList<>())
            .add(new PlannedStop(each.atMs(), each.atMs() + graceMs));
      }
    }
    return stops;
  }

  private boolean cutByPlannedStop(Seen request, Seen answer, List<PlannedStop> stops) {
    boolean broke = answer.detail().equals("cut") || answer.detail().equals("broken");
    boolean planned =
        stops.stream()
            .anyMatch(stop -> request.atMs() <= stop.endsMs() && stop.covers(answer.atMs()));
    if (!broke || !planned) {
      return false;
    }
    List<Run> runs = traffic.runsOf.getOrDefault(answer.subject(), List.of());
    long tookMs = answer.atMs() - request.atMs();
    boolean forwardedOrSlow = !runs.isEmpty() || tookMs > traffic.bound("lossSlackMs", 200);
    boolean pastDeadline = tookMs > traffic.bound("requestTimeoutMs", 10_000);
    return forwardedOrSlow
        && !pastDeadline
        && runs.stream().noneMatch(run -> failedBefore(run, answer.atMs()))
        && runsEndedInTime(runs, stops, answer);
  }

  private static boolean failedBefore(Run run, long atMs) {
    return run.ended() != null
        && run.ended().number() != 200
        && run.ended().number() != ProxyChecker.DROPPED
        && run.ended().atMs() < atMs;
  }

  /** False if a worker still ran the request in the second half of the time to stop. */
  private boolean runsEndedInTime(List<Run> runs, List<PlannedStop> stops, Seen answer) {
    long halfMs =
        stops.stream()
            .filter(stop -> stop.covers(answer.atMs()))
            .mapToLong(stop -> stop.beganMs() + traffic.bound("graceMs", 8_000) / 2)
            .max()
            .orElse(0);
    return runs.stream()
        .filter(run -> run.began() != null)
        .noneMatch(run -> run.ended() == null || run.ended().atMs() > halfMs);
  }

  /** No reachable node gets valid requests for long without serving a single one. */
  void serviceComesBack() {
    Map<String, Long> goodMs = new HashMap<>();
    Map<String, Integer> asked = new HashMap<>();
    for (Seen each : traffic.seen) {
      if (each.kind() != Kind.REQUEST_ANSWERED) {
        continue;
      }
      String edge = ProxyTraffic.edgeOf(traffic.requests.get(each.subject()));
      boolean good =
          each.detail().equals("complete")
              || !traffic.machines.isHealthy(edge, each.atMs())
              || each.number() == 404
              || !traffic.acknowledgedSince(each.atMs());
      if (good) {
        goodMs.put(edge, each.atMs());
        asked.put(edge, 0);
      } else if (asked.merge(edge, 1, Integer::sum) > MIN_ATTEMPTS
          && each.atMs() - goodMs.computeIfAbsent(edge, unseen -> each.atMs())
              > traffic.bound("recoveryMs", 12_000)) {
        violated(
            Rule.SERVICE_NOT_BACK,
            each.atMs(),
            "no proxied request served at " + edge + " since " + goodMs.get(edge));
        goodMs.put(edge, each.atMs());
      }
    }
  }
}
