package applespindle.corelogic.edge;

import applespindle.corelogic.batch.BatchDispatcher;
import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import java.util.function.BooleanSupplier;

/**
 * The graceful shutdown of an edge. The edge announces the shutdown by its readiness and still
 * accepts work until the platform has had time to notice. Then it rejects new work, releases its
 * lease, transfers its batches and waits for the requests and items that still run. Invariant: it
 * terminates no later than when the time for draining is up, or the short time of a last report
 * after that.
 */
final class GracefulShutdown {
  /** The steps of the shutdown, as implemented by the edge. */
  interface ShutdownSteps {
    boolean isStopping();

    /** Rejects new work from now on and releases the lease. */
    void rejectNewWork();

    void transferLeadership();

    /** Sends what is still to be reported; the callback runs after a short time at the latest. */
    void flushReports(Runnable whenDone);

    void terminate();

    /** The time, in milliseconds, that the platform gives a process to stop. */
    long graceMs();
  }

  private final Environment environment;
  private final ShutdownSteps steps;
  private final BatchDispatcher batchDispatcher;

  /** Whether all live requests and submissions have been answered. */
  private final BooleanSupplier requestsDrained;

  private boolean announced;

  GracefulShutdown(
      Environment environment,
      ShutdownSteps steps,
      BatchDispatcher batchDispatcher,
      BooleanSupplier requestsDrained) {
    this.environment = environment;
    this.steps = steps;
    this.batchDispatcher = batchDispatcher;
    this.requestsDrained = requestsDrained;
  }

  boolean isAnnounced() {
    return announced;
  }

  void begin(Runnable whenDone) {
    announced = true;
    environment.schedule(LifecycleConstants.SHUTDOWN_DISPATCH_END_MS, this::stopDispatching);
    environment.schedule(LifecycleConstants.SHUTDOWN_NOTICE_MS, () -> drain(whenDone));
  }

  /** Stops sending items early, because they run longer than live requests. */
  private void stopDispatching() {
    if (!steps.isStopping()) {
      batchDispatcher.drain();
      environment.schedule(LifecycleConstants.DRAIN_CHECK_INTERVAL_MS, this::stopDispatching);
    }
  }

  private void drain(Runnable whenDone) {
    long now = environment.nowMs();
    long drainEndsAt = now + drainTimeMs();
    long itemsEndAt = Math.min(drainEndsAt, now + LifecycleConstants.SHUTDOWN_ITEM_GRACE_MS);
    steps.rejectNewWork();
    environment.schedule(ReplicationConstants.MAX_ELECTION_BACKOFF_MS, steps::transferLeadership);
    environment.schedule(
        ReplicationConstants.MAX_ELECTION_BACKOFF_MS + LifecycleConstants.DRAIN_CHECK_INTERVAL_MS,
        () -> awaitDrained(drainEndsAt, itemsEndAt, whenDone));
  }

  private long drainTimeMs() {
    long remainingMs =
        steps.graceMs()
            - LifecycleConstants.SHUTDOWN_NOTICE_MS
            - LifecycleConstants.SHUTDOWN_MARGIN_MS;
    return Math.max(0, Math.min(LifecycleConstants.DRAIN_TIMEOUT_MS, remainingMs));
  }

  private void awaitDrained(long drainEndsAt, long itemsEndAt, Runnable whenDone) {
    boolean itemsDrained = batchDispatcher.drain() || environment.nowMs() >= itemsEndAt;
    boolean drained = itemsDrained && requestsDrained.getAsBoolean();
    if (drained || environment.nowMs() >= drainEndsAt) {
      steps.flushReports(
          () -> {
            steps.terminate();
            whenDone.run();
          });
    } else {
      environment.schedule(
          LifecycleConstants.DRAIN_CHECK_INTERVAL_MS,
          () -> awaitDrained(drainEndsAt, itemsEndAt, whenDone));
    }
  }
}
