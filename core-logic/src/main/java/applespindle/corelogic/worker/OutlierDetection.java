package applespindle.corelogic.worker;

import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;

/**
 * What the outcomes of this edge's runs at a worker say about it: how long it is left to rest, from
 * when on it gets more requests again, and which part of its runs fails. Invariant: a rest grows
 * only with faults or refusals that came after the rest before it had ended.
 */
final class OutlierDetection {
  /** A rest doubles at most so many times. */
  private static final int DOUBLINGS_MOST = 10;

  private final Environment surroundings;

  OutlierDetection(Environment surroundings) {
    this.surroundings = surroundings;
  }

  /**
   * The worker or the way to it failed. Runs that fail while it rests already were begun before and
   * fell with the first: they make the rest no longer.
   */
  void faulted(WorkerState worker) {
    noteOutcome(worker, true);
    long now = surroundings.now();
    if (now < worker.restsUntil) {
      return;
    }
    long restMs = doubled(WorkerConstants.BASE_EJECTION_MS, worker.faultsInRow);
    worker.faultsInRow++;
    worker.restsUntil = now + restMs;
    worker.rampFrom = worker.restsUntil;
  }

  private static long doubled(long firstMs, int times) {
    return Math.min(WorkerConstants.MAX_EJECTION_MS, firstMs << Math.min(times, DOUBLINGS_MOST));
  }

  /**
   * It answered, but with a failure of its own: no reason to rest, as another request may do
   * better.
   */
  void failed(WorkerState worker) {
    noteOutcome(worker, true);
  }

  /**
   * It said that it is full: left alone until its next report can tell more, longer if it keeps
   * saying so. Refusals of what was sent before the rest began are one saying.
   */
  void refused(WorkerState worker) {
    long now = surroundings.now();
    if (worker.passive()) {
      int ownRuns = worker.live + worker.batch;
      worker.others = Math.max(worker.othersNow(now), worker.capacity() + 1 - ownRuns);
      worker.othersAt = now;
    } else if (now >= worker.restsUntil) {
      worker.restsUntil =
          now + doubled(WorkerConstants.LOAD_POLL_INTERVAL_MS, worker.refusalsInRow);
      worker.refusalsInRow++;
    }
  }

  /** Bytes of any run came: it is there. */
  void heard(WorkerState worker) {
    worker.heardAt = surroundings.now();
    if (worker.suspect) {
      worker.suspect = false;
      worker.restsUntil = worker.heardAt;
      worker.rampFrom = worker.heardAt;
    }
  }

  void served(WorkerState worker) {
    worker.faultsInRow = 0;
    worker.refusalsInRow = 0;
    noteOutcome(worker, false);
  }

  private void noteOutcome(WorkerState worker, boolean faulty) {
    double kept = faultShare(worker) * (1 - WorkerConstants.MOVING_AVERAGE_WEIGHT);
    worker.faultShare = kept + (faulty ? WorkerConstants.MOVING_AVERAGE_WEIGHT : 0);
    worker.faultShareAt = surroundings.now();
  }

  /** Part of its recent runs that failed; what is long past counts less. */
  double faultShare(WorkerState worker) {
    long age = surroundings.now() - worker.faultShareAt;
    return worker.faultShare * Math.exp(-age / (double) WorkerConstants.FAILURE_DECAY_MS);
  }

  /** From 1 at full strength down to a small part of it for a worker that is new or was at rest. */
  double ramp(WorkerState worker) {
    double part = (surroundings.now() - worker.rampFrom) / (double) WorkerConstants.SLOW_START_MS;
    return Math.max(WorkerConstants.MIN_SLOW_START_WEIGHT, Math.min(1, part));
  }
}
