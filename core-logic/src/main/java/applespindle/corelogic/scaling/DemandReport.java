package applespindle.corelogic.scaling;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * What an edge tells the holder of the scale duty. The names on the wire are short, as reports go
 * between zones.
 *
 * @param edge id of the process that reports
 * @param demand by pool and zone; nothing where the edge had no calls
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record DemandReport(
    @JsonProperty("e") String edge, @JsonProperty("d") List<PoolDemand> demand) {
  /** Reads a missing list as an empty one. */
  public DemandReport {
    demand = demand == null ? List.of() : demand;
  }
}
