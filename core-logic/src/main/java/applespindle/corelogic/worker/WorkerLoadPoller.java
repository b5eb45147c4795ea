package applespindle.corelogic.worker;

import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import java.util.function.Predicate;

/**
 * Polls workers for their load until they are listed no more or their slots are listed.
 *
 * <p>Invariant: at most one poll is under way or scheduled for each worker. Confined to the logic
 * thread.
 */
final class WorkerLoadPoller {
  /** Width of the random part of the interval, as many edges poll the same workers. */
  private static final long JITTER_MS = WorkerConstants.LOAD_POLL_INTERVAL_MS / 5;

  private final Environment environment;
  private final Predicate<WorkerState> isListed;
  private final Runnable onLoadChanged;

  /**
   * Creates a poller that polls nothing yet.
   *
   * @param onLoadChanged runs after each poll that brought a load
   */
  WorkerLoadPoller(
      Environment environment, Predicate<WorkerState> isListed, Runnable onLoadChanged) {
    this.environment = environment;
    this.isListed = isListed;
    this.onLoadChanged = onLoadChanged;
  }

  /** Starts to poll a worker unless it is being polled. */
  void start(WorkerState worker) {
    if (!worker.polling) {
      worker.polling = true;
      poll(worker);
    }
  }

  private void poll(WorkerState worker) {
    if (!isListed.test(worker) || worker.hasListedSlots()) {
      worker.polling = false;
      return;
    }
    long jitterMs = environment.random().nextLong(JITTER_MS) - JITTER_MS / 2;
    long pauseMs = WorkerConstants.LOAD_POLL_INTERVAL_MS + jitterMs;
    environment.readLoad(
        worker.registration.address(),
        load -> {
          worker.recordPolledLoad(load, environment.nowMs());
          environment.schedule(pauseMs, () -> poll(worker));
          onLoadChanged.run();
        },
        error -> environment.schedule(pauseMs, () -> poll(worker)));
  }
}
