package applespindle.corelogic.batch;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.worker.WorkerRegistry;

/**
 * The end of runs of batch items: releases the worker's call, then reports the outcome to the
 * batch's leader or puts the item back into its range.
 *
 * <p>Invariant: a run ends once. An item whose run ended without an outcome stays in its range, or
 * goes back to the leader with it.
 */
final class RunCompletion {
  private final Environment environment;
  private final WorkerRegistry registry;
  private final RangeReporter reporter;
  private final DispatchTrigger dispatchTrigger;

  RunCompletion(
      Environment environment,
      WorkerRegistry registry,
      RangeReporter reporter,
      DispatchTrigger dispatchTrigger) {
    this.environment = environment;
    this.registry = registry;
    this.reporter = reporter;
    this.dispatchTrigger = dispatchTrigger;
  }

  /** Releases the worker's call; false if the run had ended before. */
  boolean end(ItemRun run) {
    if (run.ended) {
      return false;
    }
    run.ended = true;
    run.clearUnreadPrompt();
    registry.recordCallEnd(run.worker, true);
    run.range.running.remove(run.item.index());
    return true;
  }

  /** Reports the complete output of a run that has ended. */
  void reportResult(ItemRun run, String finishReason, String output) {
    run.range.markFinished(run.item.index());
    reportOutcome(run, finishReason, "", output);
  }

  /** Reports that no run of the item can succeed; the run has ended. */
  void reportNotExecutable(ItemRun run) {
    run.range.markFinished(run.item.index());
    reportOutcome(run, "", ItemErrorTypes.NOT_EXECUTABLE, "");
  }

  /** Reports a failed attempt at the item, and returns its range; the run has ended. */
  void reportFailedAttempt(ItemRun run, String errorType) {
    reportOutcome(run, "", errorType, "");
    reporter.returnRange(run.range);
  }

  private void reportOutcome(ItemRun run, String finishReason, String errorType, String output) {
    reporter.reportOutcome(run, finishReason, errorType, output);
    dispatchTrigger.dispatch();
  }

  /**
   * Ends a run whose call failed. A prompt's failure counts as an attempt unless the worker was
   * full; that of a proxied item does not, as its next run resumes the stream.
   */
  void fail(ItemRun run, ApiError error) {
    if (!end(run)) {
      return;
    }
    boolean full = WorkerRegistry.isCapacityRejection(error);
    if (full) {
      registry.recordRejection(run.worker);
    } else {
      registry.recordConnectionFailure(run.worker);
    }
    if (run.isProxied()) {
      requeueAfterBackoff(run);
      return;
    }
    if (full) {
      run.range.requeue(run);
      return;
    }
    reportFailedAttempt(run, error.type());
  }

  /**
   * Puts the item of an ended run back, to be resumed after the last complete event of its stream
   * once the backoff has passed. The run says nothing about the item.
   */
  void requeueAfterBackoff(ItemRun run) {
    reporter.reportPartialStream(run);
    run.range.backOff(run.item.index(), environment.nowMs());
    run.range.requeue(run);
    dispatchTrigger.dispatch();
  }
}
