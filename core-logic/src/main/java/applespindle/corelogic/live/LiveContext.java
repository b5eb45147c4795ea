package applespindle.corelogic.live;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.worker.EdgeContext;
import applespindle.corelogic.worker.WorkerRegistry;
import java.util.Set;

/**
 * What the calls of one {@link LiveRequestDispatcher} share.
 *
 * @param runningCalls the calls that have an attempt under way, in the order of their starts
 * @param dispatchQueued sends queued calls to workers that have become free
 */
record LiveContext(
    Environment environment,
    EdgeContext edge,
    WorkerRegistry registry,
    LiveRequestQueues queues,
    LiveRetryAfterEstimator retryAfter,
    Set<LiveRequestCall> runningCalls,
    Runnable dispatchQueued) {}
