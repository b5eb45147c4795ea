package applespindle.corelogic.usage;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The holder's answer to a {@link UsageReport}.
 *
 * @param holderTimeMs the holder's monotonic time when the answer was sent
 * @param trueTimeMs the true time when the answer was sent; 0 if the holder does not know it yet
 * @param closedThrough the last window whose counts are committed; 0 if none
 * @param holdership tells one election of a holder from all others: a later one has not got earlier
 *     reports; never 0
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record UsageReportResponse(
    @JsonProperty("n") long holderTimeMs,
    @JsonProperty("t") long trueTimeMs,
    @JsonProperty("c") long closedThrough,
    @JsonProperty("h") long holdership) {}
