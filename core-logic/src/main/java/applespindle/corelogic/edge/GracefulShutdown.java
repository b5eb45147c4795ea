package applespindle.corelogic.edge;

import applespindle.corelogic.batch.BatchDispatcher;
import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import java.util.function.BooleanSupplier;

/**
 * The graceful shutdown of an edge: it announces itself and still takes work until the platform has
 * had time to notice; then it rejects new work, releases its lease, transfers its batches, and
 * waits for what still runs. Invariant: the end comes at the latest when the time for draining is
 * up.
 */
final class GracefulShutdown {
  /** What the shutdown does with the edge. */
  interface ShutdownSteps {
    boolean isStopping();

    /** New work is rejected from here on; the lease is released. */
    void rejectNewWork();

    void transferLeadership();

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

  /** Items take longer than live requests: with no more dispatched, few are left to wait for. */
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
      steps.terminate();
      whenDone.run();
    } else {
      environment.schedule(
          LifecycleConstants.DRAIN_CHECK_INTERVAL_MS,
          () -> awaitDrained(drainEndsAt, itemsEndAt, whenDone));
    }
  }
}
