package applespindle.testfleet;

import applespindle.testfleet.Checker.Rule;
import applespindle.testfleet.Checker.Violation;
import applespindle.testfleet.History.Kind;
import applespindle.testfleet.History.Seen;
import applespindle.testfleet.ProxiedOutput.Part;
import applespindle.testfleet.ProxyTraffic.Run;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What clients get: whole responses of their own request, and service without long gaps. */
final class ProxiedResponseRules extends ProxyRules {
  private static final int ATTEMPTS_LEAST = 3;

  ProxiedResponseRules(ProxyTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  void responsesAreWhole() {
    for (Seen answer : traffic.answers.values()) {
      Seen request = traffic.requests.get(answer.subject());
      if (answer.detail().equals("refused") || answer.number() == 0) {
        continue;
      }
      int lineEnd = answer.text().indexOf('\n');
      String stamp = answer.text().substring(0, Math.max(0, lineEnd));
      String body = answer.text().substring(lineEnd + 1);
      Run head = traffic.runs.get(stamp.split("[.]")[0]);
      boolean whole = answer.detail().equals("complete");
      if (head == null
          || !head.request().equals(answer.subject())
          || !stamp.equals(ProxiedOutput.stamp(request.text(), stamp.split("[.]")[0]))) {
        violated(
            Rule.WRONG_OR_CUT_ANSWER, answer.atMs(), answer.subject() + " has the stamp " + stamp);
      } else if (answer.number() >= 300) {
        if (whole && !body.equals(failure(head, answer.number()))) {
          violated(
              Rule.WRONG_OR_CUT_ANSWER, answer.atMs(), answer.subject() + " has a changed failure");
        }
      } else if (head.ended() != null && head.ended().number() >= 300) {
        violated(
            Rule.WRONG_OR_CUT_ANSWER,
            answer.atMs(),
            answer.subject() + " shows a failure as a success");
      } else if (request.detail().startsWith("stream ")
          || request.detail().startsWith("resumable ")) {
        stream(request, answer, body, whole);
      } else {
        plain(request, answer, head, body, whole, stamp);
      }
    }
  }

  private String failure(Run run, long status) {
    return ProxyChecker.failure(run.began() == null ? "" : run.began().text(), status);
  }

  private void plain(Seen request, Seen answer, Run run, String body, boolean whole, String stamp) {
    String output =
        ProxiedOutput.text(request.text(), 1, (int) request.number(), stamp.split("[.]")[0]);
    if (whole ? !body.equals(output) : !output.startsWith(body)) {
      violated(
          Rule.WRONG_OR_CUT_ANSWER,
          answer.atMs(),
          answer.subject() + (whole ? " is complete with " : " has ") + body);
    } else if (whole && (run.ended() == null || run.ended().number() != 200)) {
      violated(
          Rule.WRONG_OR_CUT_ANSWER,
          answer.atMs(),
          answer.subject() + " is complete and its run is not");
    }
  }

  private void stream(Seen request, Seen answer, String body, boolean whole) {
    long resumeAfter = resumeAfter(request);
    List<String> texts = new ArrayList<>();
    long lastId = resumeAfter;
    for (String line : body.isEmpty() ? new String[0] : body.split("\n")) {
      int colon = line.indexOf(':');
      Part part = Part.parse(line.substring(colon + 1));
      if (part == null
          || !line.substring(0, Math.max(0, colon)).equals(Integer.toString(part.last()))) {
        violated(
            Rule.WRONG_OR_CUT_ANSWER, answer.atMs(), answer.subject() + " has the event " + line);
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
    } else if (whole && lastId != request.number()) {
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

  /** A polite end breaks no answer off, unless worker, deadline or another trouble did. */
  void plannedStopsCutNothing() {
    Map<String, Long> stopBegan = new HashMap<>();
    Map<String, List<long[]>> stops = new HashMap<>();
    for (Seen each : traffic.of(Kind.TROUBLE)) {
      if (each.detail().equals("began stopping")) {
        stopBegan.put(each.subject(), each.atMs());
        stops
            .computeIfAbsent(each.subject(), unseen -> new ArrayList<>())
            .add(new long[] {each.atMs(), each.atMs() + traffic.bound("graceMs", 8_000) + 1_000});
      }
    }
    for (Seen answer : traffic.answers.values()) {
      Seen request = traffic.requests.get(answer.subject());
      String edge = ProxyTraffic.edgeOf(request);
      boolean broke = answer.detail().equals("cut") || answer.detail().equals("broken");
      boolean planned =
          stops.getOrDefault(edge, List.of()).stream()
              .anyMatch(
                  stop ->
                      request.atMs() <= stop[1]
                          && answer.atMs() >= stop[0]
                          && answer.atMs() <= stop[1]);
      List<Run> ofRequest = traffic.runsOf.getOrDefault(answer.subject(), List.of());
      boolean workersDoing =
          ofRequest.stream()
              .anyMatch(
                  run ->
                      run.ended() != null
                          && run.ended().number() != 200
                          && run.ended().number() != ProxyChecker.DROPPED
                          && run.ended().atMs() < answer.atMs());
      boolean passedOnOrLate =
          !ofRequest.isEmpty()
              || answer.atMs() - request.atMs() > traffic.bound("lossSlackMs", 200);
      boolean late = answer.atMs() - request.atMs() > traffic.bound("requestTimeoutMs", 10_000);
      if (broke
          && planned
          && !workersDoing
          && passedOnOrLate
          && !late
          && traffic.touch.settled(request.atMs())
          && traffic.touch.settled(answer.atMs())
          && doneInTime(ofRequest, stops.get(edge), answer)
          && traffic.touch.withoutFault(
              edge, request.atMs(), answer.atMs(), Set.of("stopping", "down"))) {
        violated(
            Rule.RESPONSE_LOST,
            answer.atMs(),
            answer.subject() + " was cut off at " + edge + ", which was told to stop");
      }
    }
  }

  /** False if a worker was still at it in the second half of the grace. */
  private boolean doneInTime(List<Run> ofRequest, List<long[]> stops, Seen answer) {
    long half =
        stops.stream()
            .filter(stop -> answer.atMs() >= stop[0] && answer.atMs() <= stop[1])
            .mapToLong(stop -> stop[0] + traffic.bound("graceMs", 8_000) / 2)
            .max()
            .orElse(0);
    return ofRequest.stream()
        .filter(run -> run.began() != null)
        .noneMatch(run -> run.ended() == null || run.ended().atMs() > half);
  }

  /** No node in touch is asked for long by proper requests without a single one served. */
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
              || !traffic.touch.connected(edge, each.atMs())
              || each.number() == 404
              || !traffic.acknowledgedSince(each.atMs());
      if (good) {
        goodMs.put(edge, each.atMs());
        asked.put(edge, 0);
      } else if (asked.merge(edge, 1, Integer::sum) > ATTEMPTS_LEAST
          && each.atMs() - goodMs.computeIfAbsent(edge, unseen -> each.atMs())
              > traffic.bound("recoveryMs", 12_000)) {
        violated(
            Rule.SERVICE_NOT_BACK,
            each.atMs(),
            "no opaque request served at " + edge + " since " + goodMs.get(edge));
        goodMs.put(edge, each.atMs());
      }
    }
  }
}
