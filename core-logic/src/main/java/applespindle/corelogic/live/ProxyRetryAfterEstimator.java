package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerSelection;
import applespindle.corelogic.worker.WorkerState;

/**
 * Estimates when a rejected proxied request is worth another attempt. For errors caused by the
 * workers this is when the first worker of the pool is expected to have a free slot; for other
 * errors it is the fixed time of the error.
 */
final class ProxyRetryAfterEstimator {
  private static final long MS_PER_SECOND = 1_000L;

  private final Environment environment;
  private final WorkerRegistry registry;
  private final WorkerSelection selection;

  ProxyRetryAfterEstimator(
      Environment environment, WorkerRegistry registry, WorkerSelection selection) {
    this.environment = environment;
    this.registry = registry;
    this.selection = selection;
  }

  /** The value of the Retry-After header, in milliseconds. */
  long retryAfterMs(ApiError error, WorkerSelection.Demand demand) {
    if (!isCausedByWorkers(error)) {
      return error.description().retryAfterSeconds() * MS_PER_SECOND;
    }
    double waitMs = LiveRequestConstants.MAX_RETRY_AFTER_MS;
    for (WorkerState worker : registry.all()) {
      if (worker.registration.pool().equals(demand.pool()) && !worker.isDraining()) {
        waitMs = Math.min(waitMs, expectedWaitMs(worker, demand));
      }
    }
    return Math.max(LiveRequestConstants.MIN_RETRY_AFTER_MS, Math.round(waitMs));
  }

  private static boolean isCausedByWorkers(ApiError error) {
    return error instanceof ApiError.NoWorker
        || error instanceof ApiError.WorkerRejected
        || error instanceof ApiError.WorkerUnreachable
        || error instanceof ApiError.DeadlineExceeded;
  }

  private double expectedWaitMs(WorkerState worker, WorkerSelection.Demand demand) {
    double slotReleaseMs = worker.serviceTimeMs() / Math.max(1, worker.capacity());
    return Math.max(
        Math.max(slotReleaseMs, selection.waitMs(demand, worker)),
        worker.ejectionRemainingMs(environment.nowMs()));
  }
}
