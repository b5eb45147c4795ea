package applespindle.corelogic.duty;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The last order of workers for a pool in a zone.
 *
 * @param count the number of workers ordered
 * @param done whether the platform has answered the order
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ScaleIntent(String pool, String zone, int count, boolean done) {
  /** Whether this is the order for the same pool and zone. */
  boolean hasSubject(String otherPool, String otherZone) {
    return pool.equals(otherPool) && zone.equals(otherZone);
  }
}
