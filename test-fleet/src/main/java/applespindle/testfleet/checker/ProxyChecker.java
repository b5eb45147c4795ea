package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History.Seen;
import java.util.ArrayList;
import java.util.List;

/**
 * Judges proxied requests, proxied batches, the platform's list of workers and changes of routes by
 * what was observed from outside.
 */
public final class ProxyChecker {
  /** In place of a status: the caller of the run closed the connection. */
  public static final int DROPPED = -1;

  static List<Violation> check(List<Seen> seen) {
    ProxyTraffic traffic = new ProxyTraffic(seen);
    List<Violation> violations = new ArrayList<>();
    var runs = new WorkerRunRules(traffic, violations);
    var responses = new ProxiedResponseRules(traffic, violations);
    var changes = new RouteChangeRules(traffic, violations);
    var tenants = new TenantRules(traffic, violations);
    var batches = new ProxiedBatchRules(traffic, violations);
    runs.runsAreAsAsked();
    responses.responsesAreComplete();
    runs.leavingWorkersGetNothing();
    changes.oneChangeWins();
    changes.readsAreCurrent();
    changes.operatorsSeeOneRegister();
    changes.effectsAreInForce();
    tenants.runsAreForTheTenantOfTheKey();
    responses.plannedStopsCutNothing();
    batches.batchesAreKept();
    batches.waitingTokensStayBelowLimit();
    var tenantBatches = new TenantBatchRules(traffic, violations);
    tenantBatches.runsNameTheOwner();
    tenantBatches.callsFollowTheTenantOfTheKey();
    tenantBatches.refusalsForLackOfRoomAreTrue();
    responses.serviceComesBack();
    return violations;
  }

  /** The body of a failure that a simulated worker responds with. */
  public static String failure(String run, long status) {
    return "failed " + status + " " + run;
  }

  private ProxyChecker() {}
}
