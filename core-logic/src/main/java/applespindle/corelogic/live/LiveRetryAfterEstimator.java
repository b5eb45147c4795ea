package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.worker.WorkerRegistry;

/**
 * Estimates when a rejected live request is worth another attempt: by the rate of its queue if that
 * was the cause, by the ejections of the pool's workers if these were; for other errors it is the
 * fixed time of the error.
 */
final class LiveRetryAfterEstimator {
  private static final long MS_PER_SECOND = 1_000;

  private final WorkerRegistry registry;
  private final LiveRequestQueues queues;

  LiveRetryAfterEstimator(WorkerRegistry registry, LiveRequestQueues queues) {
    this.registry = registry;
    this.queues = queues;
  }

  /** The value of the Retry-After header, in seconds. */
  int retryAfterSeconds(ApiError error, LiveRequestCall call) {
    if (error instanceof ApiError.QueueFull || error instanceof ApiError.DeadlineExceeded) {
      return roundUpToSeconds((long) queues.expectedWaitMs(call));
    }
    if (error instanceof ApiError.NoWorker
        || error instanceof ApiError.WorkerRejected
        || error instanceof ApiError.WorkerUnreachable) {
      return roundUpToSeconds(firstWorkerAvailableMs(call));
    }
    return error.description().retryAfterSeconds();
  }

  private long firstWorkerAvailableMs(LiveRequestCall call) {
    return registry.all().stream()
        .filter(call::accepts)
        .mapToLong(registry::unavailableMs)
        .min()
        .orElse(WorkerConstants.LOAD_STALE_AFTER_MS);
  }

  private static int roundUpToSeconds(long waitMs) {
    long seconds = (waitMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
    return (int) Math.max(1, Math.min(LiveRequestConstants.MAX_RETRY_AFTER_S, seconds));
  }
}
