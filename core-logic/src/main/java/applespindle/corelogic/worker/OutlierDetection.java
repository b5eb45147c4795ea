package applespindle.corelogic.worker;

import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;

/**
 * Outlier detection: ejects workers after failed or rejected calls, and tracks the share of calls
 * that fail.
 *
 * <p>A worker is healthy, ejected, or in slow start after an ejection for a failure. Invariant: the
 * duration of an ejection grows only with failures or rejections that came after the end of the
 * ejection before it, as calls that fail during an ejection were sent before it. The state is kept
 * in {@link WorkerState}. Confined to the logic thread.
 */
final class OutlierDetection {
  /** The duration of an ejection is doubled at most this many times. */
  private static final int MAX_DOUBLINGS = 10;

  private final Environment environment;

  OutlierDetection(Environment environment) {
    this.environment = environment;
  }

  /** The worker or the connection to it failed: ejects the worker unless it is ejected already. */
  void recordConnectionFailure(WorkerState worker) {
    updateFailureRate(worker, true);
    long now = environment.nowMs();
    if (worker.isEjected(now)) {
      return;
    }
    worker.ejectAfterFailure(
        now + backoffMs(WorkerConstants.BASE_EJECTION_MS, worker.consecutiveFailures()));
  }

  private static long backoffMs(long baseMs, int repetitions) {
    return Math.min(
        WorkerConstants.MAX_EJECTION_MS, baseMs << Math.min(repetitions, MAX_DOUBLINGS));
  }

  /**
   * The worker answered with an error of its own. It is not ejected, as other requests may succeed.
   */
  void recordErrorResponse(WorkerState worker) {
    updateFailureRate(worker, true);
  }

  /**
   * The worker rejected a call for want of capacity. A worker with listed slots counts as full; any
   * other is ejected until its next load report, and longer if it keeps rejecting. Rejections
   * during an ejection have no effect.
   */
  void recordRejection(WorkerState worker) {
    long now = environment.nowMs();
    if (worker.hasListedSlots()) {
      recordAsFull(worker, now);
    } else if (!worker.isEjected(now)) {
      worker.ejectAfterRejection(
          now + backoffMs(WorkerConstants.LOAD_POLL_INTERVAL_MS, worker.consecutiveRejections()));
    }
  }

  private static void recordAsFull(WorkerState worker, long now) {
    worker.recordOtherCalls(
        Math.max(worker.otherCallsNow(now), worker.capacity() + 1 - worker.ownCalls()), now);
  }

  /** Bytes of any call came from the worker: it is responsive. */
  void recordActivity(WorkerState worker) {
    worker.recordActivity(environment.nowMs());
  }

  /** A call has completed: the next ejection starts at the base duration again. */
  void recordSuccess(WorkerState worker) {
    worker.resetConsecutiveErrors();
    updateFailureRate(worker, false);
  }

  private void updateFailureRate(WorkerState worker, boolean failed) {
    double retained = failureRate(worker) * (1 - WorkerConstants.MOVING_AVERAGE_WEIGHT);
    worker.setFailureRate(
        retained + (failed ? WorkerConstants.MOVING_AVERAGE_WEIGHT : 0), environment.nowMs());
  }

  /** Moving average of the share of failed calls, 0 to 1, decaying with time. */
  double failureRate(WorkerState worker) {
    long ageMs = environment.nowMs() - worker.failureRateAt();
    return worker.failureRate() * Math.exp(-ageMs / (double) WorkerConstants.FAILURE_DECAY_MS);
  }

  /**
   * Weight of the worker's capacity: 1 normally, and growing from {@link
   * WorkerConstants#MIN_SLOW_START_WEIGHT} to 1 during its slow start.
   */
  double slowStartWeight(WorkerState worker) {
    double elapsedShare =
        (environment.nowMs() - worker.slowStartFrom()) / (double) WorkerConstants.SLOW_START_MS;
    return Math.max(WorkerConstants.MIN_SLOW_START_WEIGHT, Math.min(1, elapsedShare));
  }
}
