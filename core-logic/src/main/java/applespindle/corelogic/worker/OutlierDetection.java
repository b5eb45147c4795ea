package applespindle.corelogic.worker;

import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;

/**
 * What the outcomes of this edge's runs at a worker say about it: how long it is left to rest, from
 * when on it gets more requests again, and which part of its runs fails. Invariant: a rest grows
 * only with faults or refusals that came after the rest before it had ended.
 */
final class OutlierDetection {
  /** A rest doubles at most so many times. */
  private static final int DOUBLINGS_MOST = 10;

  private final Environment environment;

  OutlierDetection(Environment environment) {
    this.environment = environment;
  }

  /**
   * The worker or the way to it failed. Runs that fail while it rests already were begun before and
   * fell with the first: they make the rest no longer.
   */
  void recordConnectionFailure(WorkerState worker) {
    updateFailureRate(worker, true);
    long now = environment.nowMs();
    if (now < worker.ejectedUntil) {
      return;
    }
    long restMs = doubled(WorkerConstants.BASE_EJECTION_MS, worker.consecutiveFailures);
    worker.consecutiveFailures++;
    worker.ejectedUntil = now + restMs;
    worker.slowStartFrom = worker.ejectedUntil;
  }

  private static long doubled(long firstMs, int times) {
    return Math.min(WorkerConstants.MAX_EJECTION_MS, firstMs << Math.min(times, DOUBLINGS_MOST));
  }

  /**
   * It answered, but with a failure of its own: no reason to rest, as another request may do
   * better.
   */
  void recordErrorResponse(WorkerState worker) {
    updateFailureRate(worker, true);
  }

  /**
   * It said that it is full: left alone until its next report can tell more, longer if it keeps
   * saying so. Refusals of what was sent before the rest began are one saying.
   */
  void recordRejection(WorkerState worker) {
    long now = environment.nowMs();
    if (worker.hasListedSlots()) {
      int ownRuns = worker.liveCalls + worker.batchCalls;
      worker.otherCalls = Math.max(worker.otherCallsNow(now), worker.capacity() + 1 - ownRuns);
      worker.otherCallsAt = now;
    } else if (now >= worker.ejectedUntil) {
      worker.ejectedUntil =
          now + doubled(WorkerConstants.LOAD_POLL_INTERVAL_MS, worker.consecutiveRejections);
      worker.consecutiveRejections++;
    }
  }

  /** Bytes of any run came: it is there. */
  void recordActivity(WorkerState worker) {
    worker.lastActivityAt = environment.nowMs();
    if (worker.unresponsive) {
      worker.unresponsive = false;
      worker.ejectedUntil = worker.lastActivityAt;
      worker.slowStartFrom = worker.lastActivityAt;
    }
  }

  void recordSuccess(WorkerState worker) {
    worker.consecutiveFailures = 0;
    worker.consecutiveRejections = 0;
    updateFailureRate(worker, false);
  }

  private void updateFailureRate(WorkerState worker, boolean faulty) {
    double kept = failureRate(worker) * (1 - WorkerConstants.MOVING_AVERAGE_WEIGHT);
    worker.failureRate = kept + (faulty ? WorkerConstants.MOVING_AVERAGE_WEIGHT : 0);
    worker.failureRateAt = environment.nowMs();
  }

  /** Part of its recent runs that failed; what is long past counts less. */
  double failureRate(WorkerState worker) {
    long age = environment.nowMs() - worker.failureRateAt;
    return worker.failureRate * Math.exp(-age / (double) WorkerConstants.FAILURE_DECAY_MS);
  }

  /** From 1 at full strength down to a small part of it for a worker that is new or was at rest. */
  double slowStartWeight(WorkerState worker) {
    double part =
        (environment.nowMs() - worker.slowStartFrom) / (double) WorkerConstants.SLOW_START_MS;
    return Math.max(WorkerConstants.MIN_SLOW_START_WEIGHT, Math.min(1, part));
  }
}
