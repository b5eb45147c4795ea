package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Objects;

/**
 * A member of the control plane's quorum.
 *
 * <p>{@code equals} and {@code hashCode} are written out: the generated ones are linked when they
 * are first called, which is on the way of every start.
 *
 * @param id id of the node
 * @param peerAddress where other nodes reach it
 * @param httpAddress where its HTTP interface is reached
 * @param zone the failure domain that the node runs in
 * @param name the configured name, for operators
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record QuorumMember(
    String id, String peerAddress, String httpAddress, String zone, String name) {
  @Override
  public boolean equals(Object other) {
    return other instanceof QuorumMember member
        && Objects.equals(id, member.id)
        && Objects.equals(peerAddress, member.peerAddress)
        && Objects.equals(httpAddress, member.httpAddress)
        && Objects.equals(zone, member.zone)
        && Objects.equals(name, member.name);
  }

  @Override
  public int hashCode() {
    return Objects.hash(id, peerAddress, httpAddress, zone, name);
  }
}
