package applespindle.testfleet.checker;

import applespindle.testfleet.history.History;
import java.util.ArrayList;
import java.util.List;

/**
 * Judges a history of the system, observed from outside, by its safety and recovery rules. Each
 * class of rules judges one part of the behaviour.
 */
public final class Checker {
  /** The rules that a history can violate; reports and mutations name them. */
  public enum Rule {
    ACCEPTED_BATCH_LOST,
    REFUSED_BATCH_RAN,
    RESULT_TWICE_OR_CHANGED,
    RESULT_NOT_WHOLE,
    REPORTED_MISSING,
    RAN_AFTER_END,
    ONCE_REQUEST_RAN_WRONGLY,
    WRONG_OR_CUT_ANSWER,
    WORK_TO_LEAVING_WORKER,
    BUNDLE_NOT_IN_FORCE,
    SERVICE_NOT_BACK,
    CEILING_OVERSHOT,
    /** The rest is of proxied requests and batches only: see {@link ProxyChecker}. */
    UNASKED_RUN,
    RAN_TWICE,
    REFUSED_REQUEST_RAN,
    WRONG_POOL,
    STREAM_BROKEN,
    RESPONSE_LOST,
    WRONG_TENANT,
    UNKNOWN_KEY_RAN,
    WITHDRAWN_KEY_RAN,
    /** A call about a batch succeeded for another tenant than its owner. */
    BATCH_SHOWN_TO_OTHERS,
    /** The rest is of the duties at the platform: see {@link DutyRules}. */
    USAGE_REPORTS_DIFFER,
    FENCE_SHARED,
    DUTY_HOLDER_BACK_TOO_SOON,
    WINDOW_NOT_REPORTED,
    USAGE_WRONG
  }

  /** One violation of a rule, with the time at which it was observed. */
  public record Violation(Rule rule, long atMs, String what) {}

  private Checker() {}

  /** All violations of the rules in a history, rule by rule. */
  public static List<Violation> check(History history) {
    ObservedTraffic traffic = new ObservedTraffic(history);
    List<Violation> violations = new ArrayList<>();
    checkCorrectness(traffic, violations);
    checkRecovery(traffic, violations);
    new CapacityLimitRules(traffic, violations).waitingItemsStayBelowCeiling();
    new CapacityRefusalRules(traffic, violations).refusalsForLackOfRoomAreTrue();
    violations.addAll(ProxyChecker.check(traffic.events));
    checkDuties(traffic, violations);
    return violations;
  }

  private static void checkDuties(ObservedTraffic traffic, List<Violation> violations) {
    var duties = new DutyRules(traffic, violations);
    duties.reportsOfAWindowAreEqual();
    duties.eachHolderHasItsOwnFence();
    duties.holdersDoNotComeBackWithinALease();
    duties.everyWindowIsReported();
    new UsageRules(traffic, violations).usageIsAsBegun();
  }

  private static void checkCorrectness(ObservedTraffic traffic, List<Violation> violations) {
    var batches = new BatchRules(traffic, violations);
    batches.refusedBatchesDoNotRun();
    batches.acceptedBatchesAreNotReportedMissing();
    batches.acceptedBatchesAreKept();
    var results = new BatchResultRules(traffic, violations);
    results.resultsAreFinalAndComplete();
    results.readResultsStayVisible();
    results.finalStatesStay();
    batches.endedBatchesStop();
    var liveRequests = new LiveRequestRules(traffic, violations);
    liveRequests.onceRequestsRunAtMostOnce();
    liveRequests.responsesAreTrueAndComplete();
    var configurations = new ConfigurationRules(traffic, violations);
    configurations.drainedWorkersGetNoWork();
    configurations.acknowledgedConfigurationsAreShown();
    configurations.requestsFollowAcknowledgedRoutes();
  }

  private static void checkRecovery(ObservedTraffic traffic, List<Violation> violations) {
    var service = new ServiceRecoveryRules(traffic, violations);
    service.liveRequestsSucceed();
    service.liveRequestsSucceedAtEachEdge();
    service.submissionsSucceed();
    service.eachBatchCanBeRead();
    new BatchProgressRules(traffic, violations).openBatchesMakeProgress();
    new CommandRecoveryRules(traffic, violations).commandsSucceed();
  }
}
