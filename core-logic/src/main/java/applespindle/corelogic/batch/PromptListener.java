package applespindle.corelogic.batch;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.worker.WorkerRegistry;

/** Collects the output of one run of a prompt. */
final class PromptListener implements WorkerCallListener {
  private final Environment environment;
  private final WorkerRegistry registry;
  private final RunCompletion completion;
  private final ItemRun run;

  PromptListener(
      Environment environment, WorkerRegistry registry, RunCompletion completion, ItemRun run) {
    this.environment = environment;
    this.registry = registry;
    this.completion = completion;
    this.run = run;
  }

  @Override
  public void text(String text) {
    run.lastActivityAt = environment.nowMs();
    run.output.append(text);
  }

  @Override
  public void end(String finishReason) {
    if (completion.end(run)) {
      registry.recordSuccess(run.worker);
      completion.reportResult(run, finishReason, run.output.toString());
    }
  }

  @Override
  public void fail(ApiError error, boolean mayHaveRun) {
    completion.fail(run, error);
  }
}
