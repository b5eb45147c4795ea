package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A member of the control plane's quorum.
 *
 * @param id id of the node
 * @param peerAddress where other nodes reach it
 * @param httpAddress where its HTTP interface is reached
 * @param zone the failure domain that the node runs in
 * @param name the configured name, for operators
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record QuorumMember(
    String id, String peerAddress, String httpAddress, String zone, String name) {}
