package applespindle.corelogic.environment;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A call to the platform that one node at a time makes for all. Equal calls have equal bytes on the
 * wire, so a call whose outcome is unknown can be repeated exactly.
 */
public sealed interface PlatformCall {
  /** The name of the node that holds the duty. */
  String holder();

  /** The fencing token of the holder's claim. */
  long fence();

  /** What the call is about, for logs. */
  String subject();

  /**
   * Reports the usage in one window of time.
   *
   * @param windowId the number of the window
   * @param counters requests by tenant
   */
  record UsageReport(String holder, long fence, long windowId, SortedMap<String, Long> counters)
      implements PlatformCall {
    /** Copies the counters. */
    public UsageReport {
      counters = Collections.unmodifiableSortedMap(new TreeMap<>(counters));
    }

    @Override
    public String subject() {
      return "window " + windowId;
    }
  }

  /**
   * Orders a number of workers.
   *
   * @param desiredCount how many workers the pool is to have in the zone
   */
  record ScaleOrder(String holder, long fence, String pool, String zone, int desiredCount)
      implements PlatformCall {
    @Override
    public String subject() {
      return "pool " + pool + " in zone " + zone;
    }
  }
}
