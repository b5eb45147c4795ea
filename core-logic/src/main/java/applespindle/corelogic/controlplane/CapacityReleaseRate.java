package applespindle.corelogic.controlplane;

import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.environment.Environment;
import java.util.ArrayDeque;

/**
 * How fast waiting batch items have ended of late; only to tell a refused sender when to come back.
 */
final class CapacityReleaseRate {
  private record Release(long atMs, long items) {}

  private final Environment environment;

  /** Not older than the time measured over, in order of time. */
  private final ArrayDeque<Release> freed = new ArrayDeque<>();

  private long sum;

  CapacityReleaseRate(Environment environment) {
    this.environment = environment;
  }

  void freed(long items) {
    if (items > 0) {
      freed.add(new Release(environment.nowMs(), items));
      sum += items;
    }
    forgetOld();
  }

  private void forgetOld() {
    while (!freed.isEmpty()
        && environment.nowMs() - freed.peek().atMs() > BatchConstants.CAPACITY_RELEASE_WINDOW_MS) {
      sum -= freed.poll().items();
    }
  }

  /** Without any pace to go by: as long as the pace is measured over. */
  int secondsUntil(long items) {
    forgetOld();
    long waitMs =
        sum == 0
            ? BatchConstants.CAPACITY_RELEASE_WINDOW_MS
            : items * BatchConstants.CAPACITY_RELEASE_WINDOW_MS / sum;
    return (int)
        Math.max(1, Math.min(LiveRequestConstants.MAX_RETRY_AFTER_S, (waitMs + 999) / 1_000));
  }
}
