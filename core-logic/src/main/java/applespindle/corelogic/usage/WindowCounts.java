package applespindle.corelogic.usage;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;

/**
 * All requests that one edge counted in one window so far.
 *
 * @param window the number of the window: it begins that many window lengths after 1970
 * @param counts requests by tenant; tenants without requests are left out
 */
public record WindowCounts(
    @JsonProperty("w") long window, @JsonProperty("c") Map<String, Long> counts) {
  /** A report that lacks the counts has none. */
  public WindowCounts {
    counts = counts == null ? Map.of() : counts;
  }
}
