package applespindle.corelogic;

import applespindle.corelogic.WorkerBook.Known;
import java.util.function.Predicate;

/**
 * Asks workers for their load again and again, until they are not listed any more or have their
 * slots listed. Invariant: at most one poll is under way for each worker.
 */
final class WorkerLoadPolling {
  /** Polls are spread by a random part of the interval, as many edges ask the same workers. */
  private static final long JITTER_MS = Constants.LOAD_POLL_MS / 5;

  private final Surroundings surroundings;
  private final Predicate<Known> listed;
  private final Runnable whenChanged;

  WorkerLoadPolling(Surroundings surroundings, Predicate<Known> listed, Runnable whenChanged) {
    this.surroundings = surroundings;
    this.listed = listed;
    this.whenChanged = whenChanged;
  }

  /** Begins to poll a worker unless it is polled already. */
  void begin(Known worker) {
    if (!worker.polling) {
      worker.polling = true;
      poll(worker);
    }
  }

  private void poll(Known worker) {
    if (!listed.test(worker) || worker.passive()) {
      worker.polling = false;
      return;
    }
    long jitterMs = surroundings.random().nextLong(JITTER_MS) - Constants.LOAD_POLL_MS / 10;
    long pauseMs = Constants.LOAD_POLL_MS + jitterMs;
    surroundings.readLoad(
        worker.worker.address(),
        load -> {
          worker.load = load;
          worker.loadAt = surroundings.now();
          worker.sinceReport = 0;
          notePeak(worker);
          surroundings.after(pauseMs, () -> poll(worker));
          whenChanged.run();
        },
        fault -> surroundings.after(pauseMs, () -> poll(worker)));
  }

  private void notePeak(Known worker) {
    long now = surroundings.now();
    double halvings = (now - worker.livePeakAt) / (double) Constants.LIVE_PEAK_HALVES_MS;
    double fallen = worker.livePeak * Math.pow(0.5, halvings);
    worker.livePeak = Math.max(worker.liveRunning(), fallen);
    worker.livePeakAt = now;
  }
}
