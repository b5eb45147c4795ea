package applespindle.corelogic.membership;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.node.NodeIdentity;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Forms membership 1 where every process is told the first members at its start. Invariant: only
 * the first founder forms it, and only while each other founder, hearing this very process, says
 * that it knows of no membership; so none of them is in one already.
 */
public final class StaticBootstrap {
  private static final String PART = "core";

  private final Environment environment;
  private final NodeIdentity identity;
  private final QuorumView quorum;

  /** Peer addresses; empty where the founders are found by the seeds. */
  private final List<String> addresses;

  public StaticBootstrap(
      Environment environment, NodeIdentity identity, QuorumView quorum, List<String> addresses) {
    this.environment = environment;
    this.identity = identity;
    this.quorum = quorum;
    this.addresses = addresses;
  }

  public List<String> addresses() {
    return addresses;
  }

  public boolean isEmpty() {
    return addresses.isEmpty();
  }

  /** The membership to start with, once this process may form it. */
  public Optional<QuorumMembership> form() {
    if (isEmpty() || !addresses.get(0).equals(identity.peerAddress())) {
      return Optional.empty();
    }
    List<QuorumMember> members = new ArrayList<>(List.of(quorum.self()));
    for (String address : addresses.subList(1, addresses.size())) {
      QuorumPeer peer = quorum.peers().get(address);
      if (!quorum.isInContact(peer) || !peer.uninitialized) {
        return Optional.empty();
      }
      members.add(peer.member);
    }
    environment.log(PART, "Roster 1 formed.");
    return Optional.of(new QuorumMembership(1, members, List.of()));
  }
}
