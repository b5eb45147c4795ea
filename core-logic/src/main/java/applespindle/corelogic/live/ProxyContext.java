package applespindle.corelogic.live;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.worker.EdgeContext;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerSelection;

/**
 * What the calls of one {@link ProxyDispatcher} share.
 *
 * @param selection chooses the worker of each attempt
 * @param latencies first-byte latency by route
 * @param retryAfter estimates the Retry-After time of rejected requests
 * @param monitor holds the open calls and checks them for expiry and silence
 */
record ProxyContext(
    Environment environment,
    EdgeContext edge,
    WorkerRegistry registry,
    WorkerSelection selection,
    RouteLatencies latencies,
    ProxyRetryAfterEstimator retryAfter,
    ProxiedCallMonitor monitor) {}
