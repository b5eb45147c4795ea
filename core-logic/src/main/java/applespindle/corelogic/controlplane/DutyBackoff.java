package applespindle.corelogic.controlplane;

import applespindle.corelogic.constants.DutyConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.PlatformCallResult;

/**
 * When the next call of a duty may be made: not faster than its rate, and after failures only with
 * growing delays. Owns the number of failures in a row and the times of the last call and success.
 */
final class DutyBackoff {
  private static final double MILLIS_PER_S = 1_000;

  /** More doublings than this change nothing. */
  private static final int MAX_DOUBLINGS = 10;

  private final Environment environment;

  /** Least time between two calls, in milliseconds. */
  private final long intervalMs;

  /** Failed calls in a row. */
  private int failures;

  /** No call before this time. */
  private long nextCallAtMs;

  /** Since when the platform has answered none of the calls. */
  private long unansweredSinceMs;

  /**
   * Calls at a rate.
   *
   * @param callsPerS the permitted calls a second of all nodes and duties; 0 if unknown
   */
  DutyBackoff(Environment environment, double callsPerS) {
    this.environment = environment;
    this.intervalMs =
        callsPerS > 0
            ? (long) Math.ceil(MILLIS_PER_S / (callsPerS * DutyConstants.RATE_SHARE))
            : DutyConstants.MIN_BACKOFF_MS;
  }

  /** A new claim: nothing is known of the platform yet. */
  void reset() {
    failures = 0;
    nextCallAtMs = environment.nowMs() + intervalMs;
    restartUnanswered();
  }

  /** From now on, the platform counts as not having answered for no time. */
  void restartUnanswered() {
    unansweredSinceMs = environment.nowMs();
  }

  void recordCall() {
    if (failures == 0) {
      restartUnanswered();
    }
    nextCallAtMs = environment.nowMs() + intervalMs;
  }

  /** Takes the result of a call. */
  void recordResult(PlatformCallResult result) {
    if (result != PlatformCallResult.UNKNOWN) {
      restartUnanswered();
    }
    if (result == PlatformCallResult.ACCEPTED) {
      failures = 0;
      return;
    }
    failures++;
    nextCallAtMs = Math.max(nextCallAtMs, environment.nowMs() + delayMs());
  }

  /** A random part of a delay that doubles with each failure, so that callers do not align. */
  private long delayMs() {
    long delay =
        Math.min(
            DutyConstants.MIN_BACKOFF_MS << Math.min(failures - 1, MAX_DOUBLINGS),
            DutyConstants.MAX_BACKOFF_MS);
    return delay / 2 + environment.random().nextLong(delay / 2 + 1);
  }

  /** Milliseconds until the next call may be made; 0 if it may be made now. */
  long waitMs() {
    return Math.max(0, nextCallAtMs - environment.nowMs());
  }

  int failures() {
    return failures;
  }

  /** Whether the platform has answered none of the calls for so long that another node may try. */
  boolean isUnansweredTooLong() {
    return failures > 0
        && environment.nowMs() - unansweredSinceMs >= DutyConstants.TRANSFER_DELAY_MS;
  }
}
