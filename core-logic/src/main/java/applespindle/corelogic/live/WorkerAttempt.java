package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerState;

/**
 * One attempt of a {@link ProxiedRequestCall} at one worker.
 *
 * <p>Owns the attempt's share of the worker's pending prefill and reserved tokens, and returns it
 * exactly once: pending prefill with the first bytes of the response, the rest with {@link
 * #release}. Callbacks are ignored once the call has moved to another attempt or is closed. The
 * head of the response is held back until a chunk or the end follows it, so that an attempt that
 * fails before may still be replaced. Confined to the logic thread.
 */
final class WorkerAttempt implements ExchangeListener {
  /** Marks that the first bytes say nothing, or nothing more, about the worker's prefill rate. */
  private static final double NO_PREFILL_SAMPLE = -1;

  private static final int FIRST_STATUS_NOT_SUCCESSFUL = 300;
  private static final int FIRST_STATUS_OF_SERVER_ERRORS = 500;

  private final ProxyContext context;
  private final Environment environment;
  private final WorkerRegistry registry;
  private final ProxiedRequestCall call;
  private final WorkerState worker;
  private final double expectedWaitMs;
  private final long sentAt;

  /** Prompt tokens the worker still has to process for this attempt; 0 after the first bytes. */
  private double pendingPrefillTokens;

  /**
   * Prompt tokens that the worker had to process before the first bytes of this response, those of
   * this attempt included; {@link #NO_PREFILL_SAMPLE} if they cannot be measured.
   */
  private double prefillSampleTokens;

  private long lastActivityAt;

  /** Null until the environment has returned the handle of the exchange. */
  private WorkerCallHandle handle;

  /** Null until the head of the response has come. */
  private ResponseHead head;

  /**
   * Whether the response is read but not forwarded, as another worker is to run the request or as
   * the status would promise that the request has not run.
   */
  private boolean discarded;

  /**
   * Starts to account for the attempt at its worker; the caller sends the request.
   *
   * @param expectedWaitMs expected time until the worker has a free slot
   * @param uncachedTokens prompt tokens that the worker does not hold in its prefix cache
   */
  WorkerAttempt(
      ProxyContext context,
      ProxiedRequestCall call,
      WorkerState worker,
      double expectedWaitMs,
      double uncachedTokens) {
    this.context = context;
    this.environment = context.environment();
    this.registry = context.registry();
    this.call = call;
    this.worker = worker;
    this.expectedWaitMs = expectedWaitMs;
    this.sentAt = environment.nowMs();
    this.lastActivityAt = sentAt;
    this.pendingPrefillTokens = uncachedTokens;
    this.prefillSampleTokens =
        expectedWaitMs > 0
            ? NO_PREFILL_SAMPLE
            : worker.pendingPrefillTokensAt(sentAt) + uncachedTokens;
    worker.addPendingPrefill(uncachedTokens);
  }

  WorkerState worker() {
    return worker;
  }

  /** Expected time until the worker had a free slot when the request was sent, in milliseconds. */
  double expectedWaitMs() {
    return expectedWaitMs;
  }

  /** When bytes of this response last came; when it was sent, if none came yet. */
  long lastActivityAt() {
    return lastActivityAt;
  }

  boolean hasHead() {
    return head != null;
  }

  void setHandle(WorkerCallHandle handle) {
    this.handle = handle;
  }

  /** Lets silence count from now on only, after a time in which this process was frozen. */
  void restartSilenceTimeout(long now) {
    lastActivityAt = now;
  }

  /** Ends the attempt and closes its connection to the worker. */
  void cancel() {
    release();
    if (handle != null) {
      handle.cancel();
    }
  }

  /** Ends the attempt and returns what it held of the worker. */
  private void release() {
    releasePendingPrefill();
    call.clearAttempt();
    registry.recordCallEnd(worker, false);
    worker.releaseTokens(call.demand().tokens());
  }

  private void releasePendingPrefill() {
    worker.removePendingPrefill(pendingPrefillTokens);
    pendingPrefillTokens = 0;
  }

  private boolean isCurrent() {
    return call.isCurrent(this);
  }

  private void recordActivity() {
    lastActivityAt = environment.nowMs();
    registry.recordActivity(worker);
    worker.recordPrefill(prefillSampleTokens, lastActivityAt - sentAt);
    prefillSampleTokens = NO_PREFILL_SAMPLE;
    releasePendingPrefill();
  }

  @Override
  public void head(ResponseHead responseHead) {
    if (!isCurrent()) {
      return;
    }
    recordActivity();
    boolean successful = isSuccessful(responseHead);
    if (mustDiscard(responseHead.status(), successful)) {
      discarded = true;
    }
    if (head == null && successful) {
      context.latencies().of(call.route().name()).record(lastActivityAt - sentAt);
    }
    head = responseHead;
  }

  private static boolean isSuccessful(ResponseHead responseHead) {
    return responseHead.status() < FIRST_STATUS_NOT_SUCCESSFUL;
  }

  private boolean mustDiscard(int status, boolean successful) {
    return call.isHeadForwarded() && !successful
        || ApiError.promisesNotRun(status)
        || status >= FIRST_STATUS_OF_SERVER_ERRORS
            && call.isRepeatable()
            && call.canMoveFrom(worker);
  }

  @Override
  public void chunk(ResponseChunk chunk) {
    if (!isCurrent()) {
      return;
    }
    recordActivity();
    if (isSuccessful(head)) {
      call.recordBegun();
    }
    if (!discarded) {
      call.forwardHead(head);
      call.forwardChunk(chunk);
    }
  }

  @Override
  public void end() {
    if (!isCurrent()) {
      return;
    }
    recordActivity();
    release();
    if (discarded) {
      registry.recordErrorResponse(worker);
      call.onOutcomeUnknown(worker, new ApiError.WorkerFailed(head.status()));
      return;
    }
    if (head.status() >= FIRST_STATUS_OF_SERVER_ERRORS) {
      registry.recordErrorResponse(worker);
    } else if (head.status() >= FIRST_STATUS_NOT_SUCCESSFUL) {
      registry.recordSuccess(worker);
    } else {
      registry.recordSuccess(worker, environment.nowMs() - sentAt);
    }
    call.forwardHead(head);
    call.complete();
  }

  @Override
  public void load(WorkerLoad load) {
    registry.recordLoad(worker, load);
  }

  @Override
  public void fail(ApiError error, boolean mayHaveRun) {
    if (!isCurrent()) {
      return;
    }
    release();
    context.edge().incrementCounter("opaque_worker_" + error.type());
    if (error instanceof ApiError.InvalidInput) {
      call.closeWithError(error);
    } else if (mayHaveRun) {
      registry.recordConnectionFailure(worker);
      call.onOutcomeUnknown(worker, error);
    } else {
      recordNotRun(error);
      call.onNotRun(worker, error);
    }
  }

  private void recordNotRun(ApiError error) {
    if (WorkerRegistry.isCapacityRejection(error)) {
      registry.recordActivity(worker);
      registry.recordRejection(worker);
    } else {
      registry.recordConnectionFailure(worker);
    }
  }
}
