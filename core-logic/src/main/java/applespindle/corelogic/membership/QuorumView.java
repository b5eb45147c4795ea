package applespindle.corelogic.membership;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.replication.ReplicaConfiguration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * The newest membership of the core that this node knows, and which of its members it is in contact
 * with. Invariant: a member counts as live only while each side hears the other; where messages
 * pass one way only, neither counts on the other.
 */
public final class QuorumView {
  /** The name under which all core keys change their replicas together. */
  public static final String SET_NAME = "core";

  private final Environment environment;
  private final NodeIdentity identity;
  private final Supplier<QuorumMembership> current;

  /** By peer address, as a founder's id is not known before its first ping. */
  private final Map<String, QuorumPeer> peers = new TreeMap<>();

  private long startedAt;

  public QuorumView(
      Environment environment, NodeIdentity identity, Supplier<QuorumMembership> current) {
    this.environment = environment;
    this.identity = identity;
    this.current = current;
  }

  public void started() {
    startedAt = environment.nowMs();
  }

  public QuorumMembership current() {
    return current.get();
  }

  public Map<String, QuorumPeer> peers() {
    return peers;
  }

  public QuorumPeer peer(String peerAddress) {
    return peers.computeIfAbsent(peerAddress, unseen -> new QuorumPeer());
  }

  /** This process as it would stand in a membership. */
  public QuorumMember self() {
    return new QuorumMember(
        identity.id(),
        identity.peerAddress(),
        identity.httpAddress(),
        identity.zone(),
        identity.name());
  }

  // ---- the membership itself

  public boolean isMember() {
    return names(current().members(), identity.id());
  }

  /** A member, or the newcomer of a change under way, which takes entries but leads nothing yet. */
  public boolean isReplica() {
    return isMember() || names(current().next(), identity.id());
  }

  private static boolean names(List<QuorumMember> members, String id) {
    return members.stream().anyMatch(member -> member.id().equals(id));
  }

  /** Whether a member or newcomer is at this address. */
  public boolean includes(String peerAddress) {
    return membersAndJoining().stream()
        .anyMatch(member -> member.peerAddress().equals(peerAddress));
  }

  public Set<QuorumMember> membersAndJoining() {
    Set<QuorumMember> all = new LinkedHashSet<>(current().members());
    all.addAll(current().next());
    return all;
  }

  public ReplicaConfiguration replicaSets() {
    return new ReplicaConfiguration(
        current().number(), replicas(current().members()), replicas(current().next()));
  }

  static List<NodeAddress> replicas(List<QuorumMember> members) {
    return members.stream()
        .map(member -> new NodeAddress(member.id(), member.peerAddress()))
        .toList();
  }

  /** The peer address of a member; empty if there is none of this id. */
  public String addressOf(String id) {
    return current().members().stream()
        .filter(member -> member.id().equals(id))
        .map(QuorumMember::peerAddress)
        .findFirst()
        .orElse("");
  }

  // ---- contact with its members

  /** Makes every member and newcomer a peer. */
  public void addMembersAsPeers() {
    membersAndJoining().forEach(member -> peer(member.peerAddress()));
    peers.remove(identity.peerAddress());
  }

  /** Drops silent peers that the membership does not name any more. */
  public void removeFormerPeers() {
    peers.entrySet().removeIf(each -> !includes(each.getKey()) && !isAlive(each.getValue()));
  }

  /** Whether the peer was heard lately; it may be deaf to this process. */
  public boolean isAlive(QuorumPeer peer) {
    return peer.member() != null
        && environment.nowMs() - peer.lastHeartbeatAt()
            < MembershipConstants.QUORUM_PEER_TIMEOUT_MS;
  }

  /** Whether each side hears the other. */
  boolean isInContact(QuorumPeer peer) {
    return isAlive(peer) && peer.hearsThisNode();
  }

  /** Ids of the members in contact, this node included if it is one. */
  public List<String> liveMembers() {
    Set<String> live = new LinkedHashSet<>();
    for (QuorumMember member : current().members()) {
      QuorumPeer peer = peers.get(member.peerAddress());
      if (member.id().equals(identity.id())
          || peer != null && isInContact(peer) && peer.member().id().equals(member.id())) {
        live.add(member.id());
      }
    }
    return List.copyOf(live);
  }

  /** Whether this node comes first for a key among the live members. */
  public boolean isPreferredLeaderOf(String key) {
    return identity.id().equals(RendezvousHashing.first(key, liveMembers()));
  }

  public boolean isInContactWithMajority() {
    return liveMembers().size() * 2 > current().members().size();
  }

  /**
   * A member that hears no majority can neither lead nor read: it says so at once. A process that
   * started just now waits for the first pings instead.
   */
  public boolean isIsolated() {
    return isMember()
        && !isInContactWithMajority()
        && environment.nowMs() - startedAt >= MembershipConstants.QUORUM_PEER_TIMEOUT_MS;
  }
}
