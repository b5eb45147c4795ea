package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.worker.EdgeContext;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerState;

/**
 * Marks workers unresponsive from which no byte has come for too long, and moves their calls to
 * other workers where the route allows it.
 *
 * <p>A silent call counts against its worker only if no other call of this edge received bytes from
 * there in the meantime, and only while most workers of the pool respond: if most are silent, the
 * fault is likely to be on this edge's side. The mark is state of {@link WorkerState} and is
 * cleared by the next bytes from the worker.
 */
final class SilenceDetector {
  /** Times the expected first-byte latency after which a worker without response is silent. */
  private static final int SILENCE_TIMEOUT_LATENCIES = 2;

  private final EdgeContext edge;
  private final WorkerRegistry registry;
  private final RouteLatencies latencies;

  SilenceDetector(EdgeContext edge, WorkerRegistry registry, RouteLatencies latencies) {
    this.edge = edge;
    this.registry = registry;
    this.latencies = latencies;
  }

  /** Checks a call that has an attempt under way. */
  void check(ProxiedRequestCall call, long now) {
    WorkerAttempt attempt = call.currentAttempt();
    WorkerState worker = attempt.worker();
    long silentMs = now - Math.max(attempt.lastActivityAt(), worker.lastActivityAt);
    if (silentMs <= silenceTimeoutMs(call, attempt)) {
      return;
    }
    if (!worker.isUnresponsive()) {
      if (isMostOfPoolUnresponsive(call.pool())) {
        return;
      }
      worker.markUnresponsive();
      registry.recordConnectionFailure(worker);
      edge.incrementCounter("opaque_workers_suspected");
    }
    if (call.isRepeatable() && call.canMoveFrom(worker)) {
      edge.incrementCounter("opaque_moved");
      call.moveToAnotherWorker(new ApiError.WorkerTimeout(worker.registration.id()));
    }
  }

  /** How long an attempt may be silent, in milliseconds. */
  private double silenceTimeoutMs(ProxiedRequestCall call, WorkerAttempt attempt) {
    Route route = call.route();
    if (attempt.hasHead() && route.gapTargetMs() > 0) {
      return Math.max(
          LiveRequestConstants.MIN_SILENCE_TIMEOUT_MS,
          (double) LiveRequestConstants.SILENCE_TIMEOUT_GAPS * route.gapTargetMs());
    }
    double expectedMs = latencies.of(route.name()).upperEstimateMs() + attempt.expectedWaitMs();
    return Math.max(
        Math.max(LiveRequestConstants.MIN_SILENCE_TIMEOUT_MS, call.targetMs()),
        SILENCE_TIMEOUT_LATENCIES * expectedMs);
  }

  /** Whether more than half of a pool would be unresponsive with one more worker marked. */
  private boolean isMostOfPoolUnresponsive(String pool) {
    int workers = 0;
    int unresponsive = 0;
    for (WorkerState worker : registry.all()) {
      if (worker.registration.pool().equals(pool) && !worker.isDraining()) {
        workers++;
        unresponsive += worker.isUnresponsive() ? 1 : 0;
      }
    }
    return 2 * (unresponsive + 1) > workers;
  }
}
