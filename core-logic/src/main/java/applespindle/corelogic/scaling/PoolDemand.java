package applespindle.corelogic.scaling;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The demand of one edge for workers of a pool in a zone.
 *
 * @param hundredths mean number of live calls that were open at these workers since the last
 *     report, and of batch items by their weight, in hundredths
 */
public record PoolDemand(
    @JsonProperty("p") String pool,
    @JsonProperty("z") String zone,
    @JsonProperty("n") long hundredths) {}
