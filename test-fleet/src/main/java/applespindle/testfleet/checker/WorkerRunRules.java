package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.checker.ProxyTraffic.Run;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What workers are requested to run, and how often. */
final class WorkerRunRules extends RuleGroup<ProxyTraffic> {
  WorkerRunRules(ProxyTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  /**
   * Workers run what a client requested, unchanged, in a pool to which some change sent before
   * routes it.
   */
  void runsAreAsAsked() {
    traffic.runs.values().forEach(this::askedUnchanged);
    traffic.runsOf.forEach(this::ranAsPromised);
  }

  private void askedUnchanged(Run run) {
    if (run.began() == null) {
      return;
    }
    Seen request = traffic.requests.get(run.request());
    String batch = traffic.batchOfItem.get(run.request());
    String wanted = null;
    long sentMs = Long.MAX_VALUE;
    if (request != null) {
      wanted = request.text();
      sentMs = request.atMs();
    } else if (batch != null) {
      wanted = traffic.batches.get(batch).asked(run.request());
      sentMs = traffic.batches.get(batch).firstSentMs;
    }
    if (wanted == null || !wanted.equals(run.asked()) || sentMs > run.arrivedMs()) {
      violated(
          Rule.UNASKED_RUN,
          run.arrivedMs(),
          run.request()
              + " at "
              + run.worker()
              + " asked "
              + run.asked()
              + " where its client asked "
              + wanted);
      return;
    }
    String pool = traffic.poolOfWorker.get(run.worker());
    if (!traffic.everAllowed(wanted, pool, run.began().atMs())) {
      violated(
          Rule.WRONG_POOL,
          run.began().atMs(),
          run.request() + " ran at " + run.worker() + " of " + pool);
    }
  }

  /**
   * A request that must not be repeated runs at most once, and not at all if its refusal guaranteed
   * that.
   */
  private void ranAsPromised(String id, List<Run> ofRequest) {
    Seen request = traffic.requests.get(id);
    List<Run> begun = ofRequest.stream().filter(run -> run.began() != null).toList();
    if (request == null || ProxyTraffic.repeatable(request) || begun.isEmpty()) {
      return;
    }
    if (begun.size() > 1) {
      violated(Rule.RAN_TWICE, begun.get(1).began().atMs(), id + " ran " + begun.size() + " times");
    }
    Seen answer = traffic.answers.get(id);
    if (answer != null
        && answer.detail().equals("refused")
        && ProxyTraffic.NOT_RUN.contains(answer.number())) {
      violated(
          Rule.REFUSED_REQUEST_RAN,
          begun.get(0).began().atMs(),
          id + " was refused with " + answer.number());
    }
  }

  /**
   * A worker that the platform lists as leaving gets nothing after the time to drain. Time in which
   * the list could not be read does not count.
   */
  void leavingWorkersGetNothing() {
    Map<String, Long> shownMs = new HashMap<>();
    for (Seen each : traffic.of(Kind.WORKER_LISTED)) {
      if (!each.text().equals("ready")) {
        shownMs.putIfAbsent(each.subject(), each.atMs());
      }
    }
    List<Seen> listFaults = traffic.of(Kind.LIST_TROUBLE);
    long drainMs = traffic.bound("drainMs", 3_000);
    for (Seen each : traffic.of(Kind.RUN_ARRIVED)) {
      Long shown = shownMs.get(each.subject());
      String[] words = each.detail().split(" ");
      if (shown == null
          || each.number() == 421
          || each.atMs() - shown - faultyMs(listFaults, shown, each.atMs()) <= drainMs) {
        continue;
      }
      if (traffic.machines.isHealthy(words[1], each.atMs())
          && traffic.machines.isHealthy(words[1], shown + drainMs)) {
        violated(
            Rule.WORK_TO_LEAVING_WORKER,
            each.atMs(),
            words[0]
                + " reached "
                + each.subject()
                + " from "
                + words[1]
                + ", "
                + (each.atMs() - shown)
                + " ms after it was shown to leave");
      }
    }
  }

  private static long faultyMs(List<Seen> listFaults, long fromMs, long untilMs) {
    long sum = 0;
    long began = -1;
    for (Seen each : listFaults) {
      if (each.detail().equals("began")) {
        began = began < 0 ? each.atMs() : began;
      } else if (began >= 0) {
        sum += Math.max(0, Math.min(each.atMs(), untilMs) - Math.max(began, fromMs));
        began = -1;
      }
    }
    return sum + (began < 0 ? 0 : Math.max(0, untilMs - Math.max(began, fromMs)));
  }
}
