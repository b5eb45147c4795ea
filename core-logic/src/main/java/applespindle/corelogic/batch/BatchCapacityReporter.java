package applespindle.corelogic.batch;

import applespindle.corelogic.batch.BatchEvent.ProxiedRoute;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.environment.Environment;

/**
 * Reports to the capacity ledger how much of its group's limit on waiting work the batch still
 * takes: tokens of a proxied batch, whose group is its route and tenant, items of a batch of
 * prompts. The reports are frequent while the limit is nearly reached, and rarer otherwise.
 */
final class BatchCapacityReporter {
  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long NOTHING_REPORTED = -1;

  private final Environment environment;
  private final BatchLeader.Context edge;
  private final BatchLog log;
  private long lastReportAt = NEVER;
  private long lastReported = NOTHING_REPORTED;

  /**
   * The share of the group's limit that all its batches together took at the ledger's last
   * response; above one until the first response.
   */
  private double usedShare = Double.MAX_VALUE;

  BatchCapacityReporter(Environment environment, BatchLeader.Context edge, BatchLog log) {
    this.environment = environment;
    this.edge = edge;
    this.log = log;
  }

  /** Reports a changed capacity, or zero, whatever the time of the last report. */
  void reportNow() {
    if (hasChange()) {
      report(environment.nowMs());
    }
  }

  /** Reports a changed capacity, or zero, if the last report is old enough. */
  void reportIfDue() {
    long now = environment.nowMs();
    if (hasChange() && now - lastReportAt >= reportIntervalMs()) {
      report(now);
    }
  }

  private boolean hasChange() {
    long remaining = log.state.remainingCapacity();
    return log.state.accepted != null && (remaining != lastReported || remaining == 0);
  }

  private long reportIntervalMs() {
    boolean scarce = proxiedRoute() == null || usedShare > BatchConstants.CAPACITY_SCARCE_SHARE;
    return scarce
        ? BatchConstants.CAPACITY_REPORT_INTERVAL_MS
        : BatchConstants.CAPACITY_REPORT_SLOW_INTERVAL_MS;
  }

  private void report(long now) {
    lastReportAt = now;
    lastReported = log.state.remainingCapacity();
    edge.reportCapacity(log.batch, lastReported, this::handleTotal);
  }

  /** Takes the waiting work of all batches of the group, as the ledger answered. */
  private void handleTotal(long totalWaiting) {
    ProxiedRoute route = proxiedRoute();
    if (route != null) {
      long limit = route.maxWaitingTokens();
      usedShare = limit == 0 ? 0 : totalWaiting / (double) limit;
    }
  }

  /** Null of a batch of prompts, and of one that is not accepted. */
  private ProxiedRoute proxiedRoute() {
    return log.state.accepted == null ? null : log.state.accepted.proxiedRoute();
  }
}
