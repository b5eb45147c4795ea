package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A node of the fleet, as registered with the control plane.
 *
 * @param id id of the node
 * @param incarnation rises with each start of the node
 * @param name the configured name, for operators
 * @param zone the failure domain that the node runs in
 * @param role what the node does, such as "edge"
 * @param peerAddress where other nodes reach it
 * @param httpAddress where its HTTP interface is reached
 * @param live whether the node holds a lease
 * @param processorCores what its machine has for it, in full-speed cores; 0 if unknown
 * @param linkMegabits bandwidth of its network link, in megabits per second; 0 if unknown
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
  /** A node whose machine is unknown. */
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
