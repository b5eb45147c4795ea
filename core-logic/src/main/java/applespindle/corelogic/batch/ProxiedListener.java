package applespindle.corelogic.batch;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.worker.WorkerRegistry;
import java.util.Locale;

/**
 * Collects the response to one run of a proxied item, and decides by its status whether it ends the
 * item (a complete event stream, or 422), counts as a failed attempt (500), or says nothing about
 * the item (any other).
 */
final class ProxiedListener implements ExchangeListener {
  private static final int STATUS_NOT_EXECUTABLE = 422;
  private static final int STATUS_ITEM_FAILED = 500;

  private final Environment environment;
  private final WorkerRegistry registry;
  private final WorkerBatchCapacity capacity;
  private final RunCompletion completion;
  private final DispatchTrigger dispatchTrigger;
  private final ItemRun run;

  ProxiedListener(
      Environment environment,
      WorkerRegistry registry,
      WorkerBatchCapacity capacity,
      RunCompletion completion,
      DispatchTrigger dispatchTrigger,
      ItemRun run) {
    this.environment = environment;
    this.registry = registry;
    this.capacity = capacity;
    this.completion = completion;
    this.dispatchTrigger = dispatchTrigger;
    this.run = run;
  }

  @Override
  public void head(ResponseHead head) {
    recordActivity();
    boolean first = run.status == 0;
    run.status = head.status();
    run.isEventStream = isEventStream(head);
    if (first && run.succeeds()) {
      capacity.recordFirstByteTime(environment.nowMs() - run.sentAt);
    }
    dispatchTrigger.dispatch(run.worker);
  }

  /** A response without a content type is taken as an event stream. */
  private static boolean isEventStream(ResponseHead head) {
    return head.headers().stream()
        .filter(header -> header.name().equalsIgnoreCase("Content-Type"))
        .allMatch(
            header -> header.value().toLowerCase(Locale.ROOT).startsWith("text/event-stream"));
  }

  @Override
  public void chunk(ResponseChunk chunk) {
    recordActivity();
    if (!run.ended && run.succeeds() && run.isEventStream) {
      run.stream.add(chunk);
    }
  }

  @Override
  public void end() {
    recordActivity();
    if (completion.end(run)) {
      handleResponse();
    }
  }

  private void handleResponse() {
    if (run.succeeds() && run.isEventStream) {
      registry.recordSuccess(run.worker);
      capacity.recordItemDuration(environment.nowMs() - run.sentAt);
      completion.reportResult(run, "", run.stream.text());
    } else if (run.status == STATUS_NOT_EXECUTABLE) {
      registry.recordSuccess(run.worker);
      completion.reportNotExecutable(run);
    } else if (run.status == STATUS_ITEM_FAILED) {
      registry.recordSuccess(run.worker);
      completion.reportFailedAttempt(run, new ApiError.ItemFailed(run.status).type());
    } else {
      registry.recordErrorResponse(run.worker);
      completion.requeueAfterBackoff(run);
    }
  }

  @Override
  public void load(WorkerLoad load) {
    registry.recordLoad(run.worker, load);
  }

  @Override
  public void fail(ApiError error, boolean mayHaveRun) {
    completion.fail(run, error);
  }

  private void recordActivity() {
    run.clearUnreadPrompt();
    run.lastActivityAt = environment.nowMs();
    registry.recordActivity(run.worker);
  }
}
