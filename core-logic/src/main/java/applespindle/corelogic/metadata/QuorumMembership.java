package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/** The core's members; next is empty unless one of them is being replaced. */
@JsonIgnoreProperties(ignoreUnknown = true)
public record QuorumMembership(long number, List<QuorumMember> members, List<QuorumMember> next) {
  public QuorumMembership {
    next = next == null ? List.of() : next;
  }
}
