package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.configuration.TenantAccess;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.worker.PrefixCache;
import applespindle.corelogic.worker.WorkerSelection;
import applespindle.corelogic.worker.WorkerState;
import java.util.HashSet;
import java.util.Set;

/**
 * One proxied request from its admission to its end, over one or more {@link WorkerAttempt}s.
 *
 * <p>Transitions: open without attempt, open with one attempt under way, closed. A call is closed
 * once, by the end of a response, by an error or by its client; no callback to the listener comes
 * after that. Invariants: at most one attempt is under way; no worker gets a second attempt; and a
 * response that promises that the request never ran is sent only if no worker may have run it.
 * Confined to the logic thread.
 */
final class ProxiedRequestCall implements RequestHandle {
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  private final ProxyContext context;
  private final Environment environment;
  private final ProxiedRequest request;
  private final TenantAccess access;
  private final ProxiedResponseListener listener;
  private final Route route;
  private final String pool;
  private final long expiresAt;
  private final double targetMs;
  private final WorkerSelection.Demand demand;
  private final Set<String> attemptedWorkerIds = new HashSet<>();
  private int attemptsLeft;

  /** Null while none is under way. */
  private WorkerAttempt currentAttempt;

  /** Whether a worker has run the request or may run it yet. */
  private boolean mayHaveRun;

  private boolean headForwarded;

  /**
   * Whether every forwarded chunk was an event with an id, so that another attempt can resume after
   * the last one.
   */
  private boolean resumable = true;

  /** Id of the last event that the client has; empty if none. */
  private String lastEventId;

  private boolean closed;

  /** Whether the request was counted as begun. */
  private boolean begun;

  /**
   * Opens the call without sending it.
   *
   * @param arrivedAt when the route's timeout began, in monotonic milliseconds
   */
  ProxiedRequestCall(
      ProxyContext context,
      ProxiedRequest request,
      TenantAccess access,
      ProxiedResponseListener listener,
      Route route,
      String pool,
      long arrivedAt) {
    this.context = context;
    this.environment = context.environment();
    this.request = request;
    this.access = access;
    this.listener = listener;
    this.route = route;
    this.pool = pool;
    this.expiresAt = expiresAt(arrivedAt);
    this.targetMs =
        route.targetMs() > 0 ? route.targetMs() : WorkerConstants.DEFAULT_LATENCY_TARGET_MS;
    this.demand = createDemand(context.edge().configuration().pools().get(pool));
    this.attemptsLeft = Math.max(1, route.attempts());
    this.lastEventId = request.resumeAfter();
  }

  private long expiresAt(long arrivedAt) {
    long routeTimeoutAt = arrivedAt + route.timeoutMs();
    return request.deadlineMs() > 0
        ? Math.min(environment.nowMs() + request.deadlineMs(), routeTimeoutAt)
        : routeTimeoutAt;
  }

  private WorkerSelection.Demand createDemand(RoutingConfiguration.Pool limits) {
    Long cacheTokensPerWorker = limits == null ? null : limits.maxCachedTokens();
    return new WorkerSelection.Demand(
        pool,
        targetMs,
        route.sticky(),
        request.prompt(),
        PrefixCache.prefixHashes(request.prompt(), request.model()),
        request.promptTokens() + request.maxOutputTokens(),
        cacheTokensPerWorker == null ? 0 : cacheTokensPerWorker);
  }

  Route route() {
    return route;
  }

  /** The tenant's name; empty if the request has none, null where there are no tenants. */
  String tenant() {
    return access.name();
  }

  String pool() {
    return pool;
  }

  /** When the call is closed for its deadline or its route's timeout, in monotonic milliseconds. */
  long expiresAt() {
    return expiresAt;
  }

  /** The time within which the first byte should come, in milliseconds. */
  double targetMs() {
    return targetMs;
  }

  WorkerSelection.Demand demand() {
    return demand;
  }

  /** The attempt under way, or null. */
  WorkerAttempt currentAttempt() {
    return currentAttempt;
  }

  boolean hasAttemptUnderWay() {
    return !closed && currentAttempt != null;
  }

  boolean isCurrent(WorkerAttempt attempt) {
    return !closed && currentAttempt == attempt;
  }

  /** Called by the attempt under way when it ends. */
  void clearAttempt() {
    currentAttempt = null;
  }

  boolean isHeadForwarded() {
    return headForwarded;
  }

  /** Whether another attempt may follow one that a worker may have run. */
  boolean isRepeatable() {
    return route.type() == RouteType.REPEATABLE && !headForwarded
        || route.type() == RouteType.STREAM && route.resumable() && resumable;
  }

  /** Whether another worker could take the request over from this one. */
  boolean canMoveFrom(WorkerState worker) {
    return attemptsLeft > 0
        && context.edge().rejectionOfAdmittedWork() == null
        && selectWorker(worker) != null;
  }

  /**
   * Sends the request to the next worker, or closes the call. Whether this node and the worker may
   * take it is checked here, immediately before the send.
   *
   * @param lastError why the request needs a worker; the call is closed with it if there is none
   */
  void sendToNextWorker(ApiError lastError) {
    ApiError rejection = context.edge().rejectionOfAdmittedWork();
    if (rejection == null && environment.nowMs() >= expiresAt) {
      rejection = new ApiError.DeadlineExceeded();
    }
    if (rejection != null) {
      closeWithError(rejection);
      return;
    }
    WorkerState worker = attemptsLeft <= 0 ? null : selectWorker(null);
    if (worker == null) {
      closeWithError(lastError);
      return;
    }
    long remainingMs = expiresAt - environment.nowMs();
    double waitMs = context.selection().waitMs(demand, worker);
    if (waitMs > remainingMs) {
      closeWithError(new ApiError.DeadlineExceeded());
      return;
    }
    attemptsLeft--;
    send(worker, waitMs, remainingMs);
  }

  /**
   * The best worker that was not attempted yet.
   *
   * @param excluded a further worker to leave out; null for none
   * @return null if there is none
   */
  private WorkerState selectWorker(WorkerState excluded) {
    return context
        .selection()
        .select(
            demand,
            worker -> worker != excluded && !attemptedWorkerIds.contains(worker.registration.id()),
            isRepeatable());
  }

  private void send(WorkerState worker, double waitMs, long remainingMs) {
    WorkerAttempt attempt =
        new WorkerAttempt(
            context, this, worker, waitMs, WorkerSelection.uncachedTokens(demand, worker));
    currentAttempt = attempt;
    context.registry().recordCallStart(worker, false);
    worker.reserveTokens(demand.tokens());
    worker.prefixCache.add(request.prompt(), demand.prefixHashes(), demand.cacheTokensPerWorker());
    WorkerCallHandle handle =
        environment.exchange(
            new WorkerExchange(
                worker.registration.address(),
                worker.registration.id(),
                request,
                context.edge().workerRanks().ofRequest(access.tenant(), route),
                remainingMs,
                lastEventId,
                access.name()),
            attempt);
    if (currentAttempt == attempt) {
      attempt.setHandle(handle);
    } else {
      handle.cancel();
    }
    context.monitor().scheduleCheck(expiresAt);
  }

  /** Ends the attempt under way, whose worker may have run the request, and sends it elsewhere. */
  void moveToAnotherWorker(ApiError error) {
    mayHaveRun = true;
    attemptedWorkerIds.add(currentAttempt.worker().registration.id());
    currentAttempt.cancel();
    sendToNextWorker(error);
  }

  /** An attempt has ended without a complete response, and its worker may have run the request. */
  void onOutcomeUnknown(WorkerState worker, ApiError error) {
    mayHaveRun = true;
    attemptedWorkerIds.add(worker.registration.id());
    if (isRepeatable()) {
      sendToNextWorker(error);
    } else {
      closeWithError(error);
    }
  }

  /**
   * An attempt has ended and its worker certainly did not run the request. Attempts count against
   * the route's limit only if the worker itself rejected them.
   */
  void onNotRun(WorkerState worker, ApiError error) {
    attemptedWorkerIds.add(worker.registration.id());
    if (!(error instanceof ApiError.WorkerRejected)) {
      attemptsLeft++;
    }
    sendToNextWorker(error);
  }

  /**
   * Counts the request for its tenant, once over all attempts: a worker's first output has come.
   */
  void recordBegun() {
    if (begun || tenant() == null || tenant().isEmpty()) {
      return;
    }
    begun = true;
    context.edge().recordRequestBegun(tenant());
  }

  /** Passes the head to the client unless an earlier attempt's was passed already. */
  void forwardHead(ResponseHead head) {
    if (!headForwarded) {
      headForwarded = true;
      listener.head(head);
    }
  }

  /** Passes a chunk to the client unless it is an event that the client has. */
  void forwardChunk(ResponseChunk chunk) {
    if (!EventIds.isAfter(chunk.eventId(), lastEventId)) {
      return;
    }
    resumable &= !chunk.eventId().isEmpty();
    lastEventId = chunk.eventId().isEmpty() ? lastEventId : chunk.eventId();
    listener.chunk(chunk);
  }

  /** The client gives the request up: the attempt under way is cancelled. */
  @Override
  public void cancel() {
    if (!closed) {
      context.edge().incrementCounter("opaque_cancelled");
      close();
    }
  }

  /** Closes the call at the end of a complete response. */
  void complete() {
    close();
    context.edge().incrementCounter("opaque_served");
    listener.end();
  }

  /**
   * Closes the call without a complete response. The client gets the error itself, with a time to
   * retry after, only if the request certainly never ran.
   */
  void closeWithError(ApiError error) {
    if (closed) {
      return;
    }
    context.edge().incrementCounter("opaque_ended_" + error.type());
    mayHaveRun |= currentAttempt != null;
    close();
    if (headForwarded) {
      listener.truncated(error);
    } else if (!mayHaveRun) {
      listener.rejected(
          Response.ofRetryAfterMs(error, context.retryAfter().retryAfterMs(error, demand)));
    } else {
      listener.rejected(
          Response.of(
              leavesOutcomeOpen(error) ? error : new ApiError.OutcomeUnknown(request.id())));
    }
  }

  /** Whether the status of an error does not promise that the request has not run. */
  private static boolean leavesOutcomeOpen(ApiError error) {
    int status = error.description().status();
    return status == BAD_GATEWAY || status == GATEWAY_TIMEOUT;
  }

  private void close() {
    closed = true;
    context.monitor().remove(this);
    if (currentAttempt != null) {
      currentAttempt.cancel();
    }
  }
}
