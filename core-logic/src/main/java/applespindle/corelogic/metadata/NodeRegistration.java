package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A node of the fleet in its present life; incarnation rises with each start. processorCores and
 * linkMegabits: what its machine has for it, in full-speed cores and megabits per second; 0 where
 * its settings do not tell.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record NodeRegistration(
    String id,
    long incarnation,
    String name,
    String zone,
    String role,
    String peerAddress,
    String httpAddress,
    boolean live,
    double processorCores,
    double linkMegabits) {
  public NodeRegistration(
      String id,
      long incarnation,
      String name,
      String zone,
      String role,
      String peerAddress,
      String httpAddress,
      boolean live) {
    this(id, incarnation, name, zone, role, peerAddress, httpAddress, live, 0, 0);
  }
}
