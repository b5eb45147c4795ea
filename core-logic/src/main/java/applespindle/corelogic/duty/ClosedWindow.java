package applespindle.corelogic.duty;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The usage in a window of time whose count is closed.
 *
 * @param windowId the number of the window; rises by one with each window
 * @param counters requests by tenant
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ClosedWindow(long windowId, SortedMap<String, Long> counters) {
  /** Copies the counters. */
  public ClosedWindow {
    counters = Collections.unmodifiableSortedMap(new TreeMap<>(counters));
  }
}
