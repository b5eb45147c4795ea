package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.worker.WorkerState;
import java.util.HashSet;
import java.util.Set;

/**
 * One live request from its admission to its end.
 *
 * <p>Transitions: admitted, queued, running at a worker (and back to queued after a failure that
 * may be retried), closed. A call is closed once; no callback to the listener comes after that.
 * Invariants: at most one attempt is under way; a request with an idempotency id is not sent again
 * once a worker may have run it, and its claim is given up at the end only if none may have.
 * Confined to the logic thread.
 */
final class LiveRequestCall implements RequestHandle {
  private final LiveContext context;
  private final LiveRequest request;
  private final LiveResponseListener listener;
  private final RoutingConfiguration.RoutingAction action;

  /** Limits of the configuration at admission; a later configuration does not change them. */
  private final RoutingConfiguration.Pool poolLimits;

  private final RoutingConfiguration.ClassLimit classLimit;
  private final long expiresAt;
  private final Set<String> triedWorkerIds = new HashSet<>();

  /** Token of the claim on the request's idempotency id; empty while there is none. */
  private String claimToken = "";

  private int retriesLeft;

  /** Null while none is under way. */
  private LiveWorkerAttempt attempt;

  /** Whether text was forwarded to the client, so that no other worker may start again. */
  private boolean textForwarded;

  /** Whether a worker has run the request or may run it yet. */
  private boolean mayHaveRun;

  private boolean closed;

  /** Ends the wait for a worker; null until the call waits. Cancelled so that it keeps nothing. */
  private ScheduledTask expiry;

  LiveRequestCall(
      LiveContext context,
      LiveRequest request,
      LiveResponseListener listener,
      RoutingConfiguration configuration,
      RoutingConfiguration.RoutingAction action) {
    this.context = context;
    this.request = request;
    this.listener = listener;
    this.action = action;
    this.poolLimits = configuration.pools().get(action.pool());
    this.classLimit = configuration.limits().classes().get(action.trafficClass());
    this.expiresAt = context.environment().nowMs() + action.expiryMs();
    this.retriesLeft = action.retries();
  }

  LiveRequest request() {
    return request;
  }

  LiveResponseListener listener() {
    return listener;
  }

  RoutingConfiguration.RoutingAction action() {
    return action;
  }

  String trafficClass() {
    return action.trafficClass();
  }

  RoutingConfiguration.Pool poolLimits() {
    return poolLimits;
  }

  RoutingConfiguration.ClassLimit classLimit() {
    return classLimit;
  }

  /** When the request may no longer be sent to a worker, in monotonic milliseconds. */
  long expiresAt() {
    return expiresAt;
  }

  boolean hasIdempotencyId() {
    return !request.idempotencyId().isEmpty();
  }

  /** Whether the worker belongs to the pool of this request. */
  boolean accepts(WorkerState worker) {
    return worker.registration.pool().equals(action.pool());
  }

  boolean hasTried(WorkerState worker) {
    return triedWorkerIds.contains(worker.registration.id());
  }

  void setClaimToken(String token) {
    claimToken = token;
  }

  boolean isClosed() {
    return closed;
  }

  boolean isRunning() {
    return attempt != null;
  }

  /** Whether the call has left its queue. */
  boolean isClosedOrRunning() {
    return closed || isRunning();
  }

  /** The attempt under way, or null. */
  LiveWorkerAttempt attempt() {
    return attempt;
  }

  boolean isCurrent(LiveWorkerAttempt candidate) {
    return !closed && attempt == candidate;
  }

  /** The request is about to be sent, so that from now on a worker may run it. */
  void beforeSend() {
    mayHaveRun = true;
  }

  void setAttempt(LiveWorkerAttempt started) {
    attempt = started;
  }

  /** Called by the attempt under way when it ends. */
  void clearAttempt() {
    attempt = null;
  }

  void forwardText(String text) {
    textForwarded = true;
    listener.text(text);
  }

  /** Closes the call at the end of a complete response. */
  void complete(String output, String finishReason) {
    close();
    context.edge().incrementCounter("live_served");
    listener.end(output, finishReason);
  }

  /** The worker had no capacity and has not run the request, which returns to its queue. */
  void onCapacityRejection() {
    mayHaveRun = false;
    context.queues().of(this).addFirst(this);
  }

  /** An attempt has failed: the request returns to its queue if it may run again. */
  void onAttemptFailed(WorkerState worker, ApiError error, boolean workerMayHaveRun) {
    triedWorkerIds.add(worker.registration.id());
    if (textForwarded || hasIdempotencyId() && workerMayHaveRun || retriesLeft-- <= 0) {
      mayHaveRun = workerMayHaveRun;
      reject(error);
    } else {
      mayHaveRun = mayHaveRun && workerMayHaveRun;
      context.queues().of(this).addFirst(this);
    }
  }

  /** The client gives the request up: the attempt under way is cancelled. */
  @Override
  public void cancel() {
    if (!closed) {
      context.edge().incrementCounter("live_cancelled");
      close();
    }
  }

  /**
   * Closes the call with an error. The client of a request with an idempotency id learns that the
   * outcome is unknown if a worker may have run it.
   */
  void reject(ApiError error) {
    if (closed) {
      return;
    }
    context.edge().incrementCounter("live_refused_" + error.type());
    boolean outcomeUnknown = hasIdempotencyId() && mayHaveRun;
    int retryAfterSeconds = context.retryAfter().retryAfterSeconds(error, this);
    close();
    listener.fail(
        outcomeUnknown
            ? Response.of(new ApiError.OutcomeUnknown(request.idempotencyId()))
            : Response.of(error, retryAfterSeconds),
        textForwarded);
  }

  /** Sets the timer that ends the wait for a worker. */
  void setExpiry(ScheduledTask timer) {
    expiry = timer;
  }

  private void close() {
    closed = true;
    if (expiry != null) {
      expiry.cancel();
    }
    context.queues().of(this).remove(this);
    if (attempt != null) {
      attempt.cancel();
    }
    if (!claimToken.isEmpty() && !mayHaveRun) {
      context.edge().releaseIdempotencyId(request.idempotencyId(), claimToken);
    }
  }
}
