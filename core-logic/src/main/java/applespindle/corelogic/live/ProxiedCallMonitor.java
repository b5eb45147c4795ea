package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.environment.Environment;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The open proxied calls of an edge in the order of their submission, and the timer that checks
 * them for expiry and for silent workers.
 *
 * <p>Invariant: at most one check is scheduled; while calls are open, it is due no later than one
 * check interval from now or the next expiry, whichever is earlier. Without open calls, no further
 * check is scheduled. Confined to the logic thread.
 */
final class ProxiedCallMonitor {
  /**
   * A check that comes later than this many intervals after it was planned shows that the process
   * was frozen, so that the silence of workers says nothing.
   */
  private static final int FROZEN_AFTER_INTERVALS = 4;

  private final Environment environment;
  private final SilenceDetector silenceDetector;
  private final Set<ProxiedRequestCall> openCalls = new LinkedHashSet<>();

  /** Null while no check is scheduled. */
  private Environment.ScheduledTask scheduledCheck;

  private long checkDueAt;

  /** When the scheduled check was planned first; earlier due times do not move it. */
  private long checkPlannedAt;

  ProxiedCallMonitor(Environment environment, SilenceDetector silenceDetector) {
    this.environment = environment;
    this.silenceDetector = silenceDetector;
  }

  void add(ProxiedRequestCall call) {
    openCalls.add(call);
  }

  void remove(ProxiedRequestCall call) {
    openCalls.remove(call);
  }

  int openCalls() {
    return openCalls.size();
  }

  /** Makes sure that the next check comes soon enough for a call that expires at this time. */
  void scheduleCheck(long nextExpiresAt) {
    long now = environment.nowMs();
    long dueAt =
        Math.min(
            now + LiveRequestConstants.SILENCE_CHECK_INTERVAL_MS,
            Math.max(now + LiveRequestConstants.MIN_EXPIRY_CHECK_INTERVAL_MS, nextExpiresAt));
    if (scheduledCheck != null && checkDueAt <= dueAt) {
      return;
    }
    if (scheduledCheck == null) {
      checkPlannedAt = now;
    } else {
      scheduledCheck.cancel();
    }
    checkDueAt = dueAt;
    scheduledCheck = environment.schedule(dueAt - now, this::checkAll);
  }

  private void checkAll() {
    scheduledCheck = null;
    long now = environment.nowMs();
    boolean wasFrozen =
        now - checkPlannedAt
            > FROZEN_AFTER_INTERVALS * LiveRequestConstants.SILENCE_CHECK_INTERVAL_MS;
    for (ProxiedRequestCall call : List.copyOf(openCalls)) {
      if (call.hasAttemptUnderWay()) {
        check(call, now, wasFrozen);
      }
    }
    if (!openCalls.isEmpty()) {
      scheduleCheck(nextExpiresAt());
    }
  }

  private void check(ProxiedRequestCall call, long now, boolean wasFrozen) {
    WorkerAttempt attempt = call.currentAttempt();
    if (now >= call.expiresAt()) {
      call.closeWithError(new ApiError.WorkerTimeout(attempt.worker().registration.id()));
    } else if (wasFrozen) {
      attempt.restartSilenceTimeout(now);
    } else {
      silenceDetector.check(call, now);
    }
  }

  private long nextExpiresAt() {
    long nextExpiresAt = Long.MAX_VALUE;
    for (ProxiedRequestCall call : openCalls) {
      nextExpiresAt = Math.min(nextExpiresAt, call.expiresAt());
    }
    return nextExpiresAt;
  }
}
