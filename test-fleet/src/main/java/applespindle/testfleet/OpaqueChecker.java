package applespindle.testfleet;

import applespindle.testfleet.Checker.Violation;
import applespindle.testfleet.History.Seen;
import java.util.ArrayList;
import java.util.List;

/**
 * The never-rules of opaque requests, opaque batches, the outside list and changes of routes, from
 * outside alone.
 */
final class OpaqueChecker {
  /** How a run ended whose caller left. */
  static final int DROPPED = -1;

  static List<Violation> check(List<Seen> seen) {
    OpaqueTraffic traffic = new OpaqueTraffic(seen);
    List<Violation> violations = new ArrayList<>();
    var runs = new OpaqueRunRules(traffic, violations);
    var responses = new OpaqueResponseRules(traffic, violations);
    var changes = new OpaqueChangeRules(traffic, violations);
    var batches = new OpaqueBatchRules(traffic, violations);
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

  private OpaqueChecker() {}
}
