package applespindle.testfleet;

import applespindle.testfleet.Checker.Violation;
import applespindle.testfleet.History.Seen;
import java.util.ArrayList;
import java.util.List;

/**
 * The never-rules of opaque requests, opaque batches, the outside list and changes of routes, from
 * outside alone.
 */
final class ProxyChecker {
  /** How a run ended whose caller left. */
  static final int DROPPED = -1;

  static List<Violation> check(List<Seen> seen) {
    ProxyTraffic traffic = new ProxyTraffic(seen);
    List<Violation> violations = new ArrayList<>();
    var runs = new WorkerRunRules(traffic, violations);
    var responses = new ProxiedResponseRules(traffic, violations);
    var changes = new RouteChangeRules(traffic, violations);
    var batches = new ProxiedBatchRules(traffic, violations);
    runs.runsAreAsAsked();
    responses.responsesAreWhole();
    runs.leavingWorkersGetNothing();
    changes.oneChangeWins();
    changes.operatorsSeeOneRegister();
    changes.effectsAreInForce();
    responses.plannedStopsCutNothing();
    batches.batchesAreKept();
    batches.waitingTokensStayBelowLimit();
    responses.serviceComesBack();
    return violations;
  }

  static String failure(String run, long status) {
    return "failed " + status + " " + run;
  }

  private ProxyChecker() {}
}
