package applespindle.corelogic.usage;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * What an edge tells the holder of the duty. The names on the wire are short, as reports go between
 * zones.
 *
 * @param edge id of the process that counted
 * @param incarnation of that process
 * @param clockOffsetMs how far its wall clock is ahead of the holder's monotonic time; null if it
 *     does not know the holder's time yet
 * @param holdership the one for which the report is made; 0 for the first report
 * @param through the last window that had ended, up to which that holdership has all counts of this
 *     edge, and another one may lack some; 0 while the edge does not know the true time
 * @param sequence rises with each report of the process; an older report than the last is ignored
 * @param windows the windows whose counts this holder does not have yet
 */
@JsonIgnoreProperties(ignoreUnknown = true)
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record UsageReport(
    @JsonProperty("e") String edge,
    @JsonProperty("i") long incarnation,
    @JsonProperty("t") Long clockOffsetMs,
    @JsonProperty("h") long holdership,
    @JsonProperty("l") long through,
    @JsonProperty("n") long sequence,
    @JsonProperty("u") List<WindowCounts> windows) {
  /** Reads a missing list as an empty one. */
  public UsageReport {
    windows = windows == null ? List.of() : windows;
  }
}
