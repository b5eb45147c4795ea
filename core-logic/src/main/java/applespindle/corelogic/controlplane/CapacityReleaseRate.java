package applespindle.corelogic.controlplane;

import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.environment.Environment;
import java.util.ArrayDeque;

/**
 * The rate at which batch items ended recently, from which a refused sender is told when to retry.
 *
 * <p>Invariant: sum is the number of items of the recorded releases, none of which is older than
 * {@link BatchConstants#CAPACITY_RELEASE_WINDOW_MS} after each call.
 */
final class CapacityReleaseRate {
  private record Release(long atMs, long items) {}

  private final Environment environment;

  /** The releases within the window, in order of time. */
  private final ArrayDeque<Release> releases = new ArrayDeque<>();

  private long sum;

  CapacityReleaseRate(Environment environment) {
    this.environment = environment;
  }

  /** Records that this many items ended now. */
  void recordReleased(long items) {
    if (items > 0) {
      releases.add(new Release(environment.nowMs(), items));
      sum += items;
    }
    removeExpired();
  }

  private void removeExpired() {
    while (!releases.isEmpty()
        && environment.nowMs() - releases.peek().atMs()
            > BatchConstants.CAPACITY_RELEASE_WINDOW_MS) {
      sum -= releases.poll().items();
    }
  }

  /**
   * The seconds until this many items will have ended at the present rate, at least 1 and at most
   * the longest retry interval; without a release in the window, the window's length.
   */
  int secondsUntilReleased(long items) {
    removeExpired();
    long waitMs =
        sum == 0
            ? BatchConstants.CAPACITY_RELEASE_WINDOW_MS
            : items * BatchConstants.CAPACITY_RELEASE_WINDOW_MS / sum;
    return (int)
        Math.max(1, Math.min(LiveRequestConstants.MAX_RETRY_AFTER_S, (waitMs + 999) / 1_000));
  }
}
