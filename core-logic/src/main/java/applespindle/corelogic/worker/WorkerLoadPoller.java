package applespindle.corelogic.worker;

import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import java.util.function.Predicate;

/**
 * Asks workers for their load again and again, until they are not listed any more or have their
 * slots listed. Invariant: at most one poll is under way for each worker.
 */
final class WorkerLoadPoller {
  /** Polls are spread by a random part of the interval, as many edges ask the same workers. */
  private static final long JITTER_MS = WorkerConstants.LOAD_POLL_INTERVAL_MS / 5;

  private final Environment environment;
  private final Predicate<WorkerState> listed;
  private final Runnable whenChanged;

  WorkerLoadPoller(Environment environment, Predicate<WorkerState> listed, Runnable whenChanged) {
    this.environment = environment;
    this.listed = listed;
    this.whenChanged = whenChanged;
  }

  /** Begins to poll a worker unless it is polled already. */
  void begin(WorkerState worker) {
    if (!worker.polling) {
      worker.polling = true;
      poll(worker);
    }
  }

  private void poll(WorkerState worker) {
    if (!listed.test(worker) || worker.hasListedSlots()) {
      worker.polling = false;
      return;
    }
    long jitterMs =
        environment.random().nextLong(JITTER_MS) - WorkerConstants.LOAD_POLL_INTERVAL_MS / 10;
    long pauseMs = WorkerConstants.LOAD_POLL_INTERVAL_MS + jitterMs;
    environment.readLoad(
        worker.registration.address(),
        load -> {
          worker.load = load;
          worker.loadAt = environment.nowMs();
          worker.callsSinceReport = 0;
          notePeak(worker);
          environment.schedule(pauseMs, () -> poll(worker));
          whenChanged.run();
        },
        error -> environment.schedule(pauseMs, () -> poll(worker)));
  }

  private void notePeak(WorkerState worker) {
    long now = environment.nowMs();
    double halvings =
        (now - worker.peakLiveCallsAt) / (double) WorkerConstants.LIVE_PEAK_HALF_LIFE_MS;
    double fallen = worker.peakLiveCalls * Math.pow(0.5, halvings);
    worker.peakLiveCalls = Math.max(worker.liveRunning(), fallen);
    worker.peakLiveCallsAt = now;
  }
}
