package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/** One member of the core, with its addresses. */
@JsonIgnoreProperties(ignoreUnknown = true)
public record QuorumMember(
    String id, String peerAddress, String httpAddress, String zone, String name) {}
