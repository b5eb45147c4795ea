package applespindle.corelogic.membership;

import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;

/**
 * The JSON body of a heartbeat between control plane nodes. It is sent between processes of
 * different versions: JSON names and their order never change, unknown fields are ignored, and a
 * missing list is read as an empty one.
 *
 * @param sender the sending node as it would be listed in a membership
 * @param uninitialized whether the sender knows of no membership and may take part in forming one
 * @param joinCandidate whether the sender knows the membership, is not in it, and could join it
 * @param voter whether the sender's settings allow it to be a member
 * @param proposal the initial membership that the sender proposes or relays; null if there is none
 *     or a membership is formed already
 * @param accepted whether the sender has durably accepted a proposal; null exactly where {@code
 *     proposal} is
 * @param reachablePeers ids of the peers that the sender received a heartbeat from lately
 * @param membershipVersion version of the membership that the sender knows; 0 if none
 * @param ledKeys keys that the sender leads while in contact with a majority
 * @param membership the membership that the sender knows; null if it has none, or if the receiver
 *     is known to have it
 */
@JsonIgnoreProperties(ignoreUnknown = true)
@JsonPropertyOrder({
  "member",
  "blank",
  "candidate",
  "voter",
  "proposal",
  "accepted",
  "heard",
  "number",
  "owns",
  "roster"
})
record HeartbeatBody(
    @JsonProperty("member") QuorumMember sender,
    @JsonProperty("blank") boolean uninitialized,
    @JsonProperty("candidate") boolean joinCandidate,
    @JsonProperty("voter") boolean voter,
    @JsonProperty("proposal") @JsonInclude(JsonInclude.Include.NON_NULL) QuorumMembership proposal,
    @JsonProperty("accepted") @JsonInclude(JsonInclude.Include.NON_NULL) Boolean accepted,
    @JsonProperty("heard") List<String> reachablePeers,
    @JsonProperty("number") long membershipVersion,
    @JsonProperty("owns") List<String> ledKeys,
    @JsonProperty("roster") @JsonInclude(JsonInclude.Include.NON_NULL)
        QuorumMembership membership) {
  HeartbeatBody {
    reachablePeers = reachablePeers == null ? List.of() : List.copyOf(reachablePeers);
    ledKeys = ledKeys == null ? List.of() : List.copyOf(ledKeys);
  }

  /** This body with the membership added, for receivers that may not have it. */
  HeartbeatBody withMembership(QuorumMembership added) {
    return new HeartbeatBody(
        sender,
        uninitialized,
        joinCandidate,
        voter,
        proposal,
        accepted,
        reachablePeers,
        membershipVersion,
        ledKeys,
        added);
  }
}
