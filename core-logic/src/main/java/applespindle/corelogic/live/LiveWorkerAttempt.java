package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerState;

/**
 * One attempt of a {@link LiveRequestCall} at one worker.
 *
 * <p>Owns the text of a response that is not streamed. Callbacks are ignored unless this is the
 * call's attempt under way. Confined to the logic thread.
 */
final class LiveWorkerAttempt implements WorkerCallListener {
  private final LiveContext context;
  private final WorkerRegistry registry;
  private final LiveRequestCall call;
  private final WorkerState worker;

  /** Text of a response that is not streamed. */
  private final StringBuilder output = new StringBuilder();

  private long lastTextAt;
  private WorkerCallHandle handle;

  LiveWorkerAttempt(LiveContext context, LiveRequestCall call, WorkerState worker) {
    this.context = context;
    this.registry = context.registry();
    this.call = call;
    this.worker = worker;
    this.lastTextAt = context.environment().nowMs();
  }

  /** Makes this the call's attempt under way; the request has been sent. */
  void start(WorkerCallHandle startedHandle) {
    handle = startedHandle;
    call.setAttempt(this);
    context.runningCalls().add(call);
  }

  /** Fails the attempt if its worker is presumed lost. */
  void failIfWorkerLost() {
    if (registry.isPresumedLost(worker, lastTextAt)) {
      handle.cancel();
      fail(new ApiError.WorkerTimeout(worker.registration.id()), true);
    }
  }

  /** Ends the attempt and closes its connection to the worker. */
  void cancel() {
    handle.cancel();
    release();
  }

  private void release() {
    call.clearAttempt();
    registry.recordCallEnd(worker, false);
    context.runningCalls().remove(call);
  }

  @Override
  public void text(String text) {
    if (!call.isCurrent(this)) {
      return;
    }
    lastTextAt = context.environment().nowMs();
    if (call.request().stream()) {
      call.forwardText(text);
      return;
    }
    if (output.isEmpty()) {
      call.listener().running();
    }
    output.append(text);
  }

  @Override
  public void end(String finishReason) {
    if (!call.isCurrent(this)) {
      return;
    }
    release();
    registry.recordSuccess(worker);
    call.complete(output.toString(), finishReason);
    context.dispatchQueued().run();
  }

  @Override
  public void fail(ApiError error, boolean mayHaveRun) {
    if (!call.isCurrent(this)) {
      return;
    }
    release();
    if (WorkerRegistry.isCapacityRejection(error)) {
      registry.recordRejection(worker);
      call.onCapacityRejection();
    } else {
      if (!(error instanceof ApiError.WorkerRejected)) {
        registry.recordConnectionFailure(worker);
      }
      context.edge().incrementCounter("live_worker_faults");
      call.onAttemptFailed(worker, error, mayHaveRun);
    }
    context.dispatchQueued().run();
  }
}
