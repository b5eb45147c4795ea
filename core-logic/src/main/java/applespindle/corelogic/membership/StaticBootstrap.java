package applespindle.corelogic.membership;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.node.NodeIdentity;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Forms the initial membership where the first members are configured on every node. Owns the
 * configured addresses; the list is empty where {@link QuorumBootstrap} finds the members instead.
 *
 * <p>Invariant: only the node that is configured first forms the membership, and only while each
 * other configured node, in contact with this process, reports that it knows of no membership. So
 * none of them is in one already.
 */
public final class StaticBootstrap {
  private static final String LOG_PART = "core";
  private static final long INITIAL_VERSION = 1;

  private final Environment environment;
  private final NodeIdentity identity;
  private final QuorumView quorum;
  private final List<String> addresses;

  /**
   * Creates the bootstrap of one node.
   *
   * @param addresses peer addresses of the initial members; empty if they are not configured
   */
  public StaticBootstrap(
      Environment environment, NodeIdentity identity, QuorumView quorum, List<String> addresses) {
    this.environment = environment;
    this.identity = identity;
    this.quorum = quorum;
    this.addresses = addresses;
  }

  /** Peer addresses of the initial members; empty if they are not configured. */
  public List<String> addresses() {
    return addresses;
  }

  /** Whether no initial members are configured. */
  public boolean isEmpty() {
    return addresses.isEmpty();
  }

  /**
   * The initial membership, once this node may form it. Every other configured address must be a
   * peer of the {@link QuorumView} by then.
   */
  public Optional<QuorumMembership> form() {
    if (isEmpty() || !addresses.get(0).equals(identity.peerAddress())) {
      return Optional.empty();
    }
    List<QuorumMember> members = new ArrayList<>(List.of(quorum.self()));
    for (String address : addresses.subList(1, addresses.size())) {
      QuorumPeer peer = quorum.peers().get(address);
      if (!quorum.isInContact(peer) || !peer.isUninitialized()) {
        return Optional.empty();
      }
      members.add(peer.member());
    }
    environment.log(LOG_PART, "Membership 1 formed.");
    return Optional.of(new QuorumMembership(INITIAL_VERSION, members, List.of()));
  }
}
