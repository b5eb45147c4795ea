package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The members of the control plane's quorum. While a change is in progress, decisions need a
 * majority of both the members and the next members.
 *
 * @param version version of the membership; rises by one with each change, 0 if there is none yet
 * @param members the current members
 * @param nextMembers the members after the change in progress; empty if there is none
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record QuorumMembership(
    @JsonProperty("number") long version,
    List<QuorumMember> members,
    @JsonProperty("next") List<QuorumMember> nextMembers) {
  /** Reads a missing list of next members as an empty one. */
  public QuorumMembership {
    nextMembers = nextMembers == null ? List.of() : nextMembers;
  }
}
