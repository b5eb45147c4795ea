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
 * The newest membership of the control plane that this node knows, and which of its members it is
 * in contact with. Owns the peers; the membership is owned by the node and only read here.
 *
 * <p>Invariant: a member counts as live only while messages pass in both directions. Where they
 * pass in one direction only, neither side counts on the other.
 */
public final class QuorumView {
  /** The name of the replica set that holds all keys of the control plane. */
  public static final String REPLICA_SET_NAME = "core";

  private final Environment environment;
  private final NodeIdentity identity;
  private final Supplier<QuorumMembership> current;

  /** By peer address, as a node's id is not known before its first heartbeat. */
  private final Map<String, QuorumPeer> peers = new TreeMap<>();

  private long startedAt;

  /**
   * Creates the view of one node.
   *
   * @param current the newest membership known at the time of the call; version 0 if none
   */
  public QuorumView(
      Environment environment, NodeIdentity identity, Supplier<QuorumMembership> current) {
    this.environment = environment;
    this.identity = identity;
    this.current = current;
  }

  /** To be called when the node starts; {@link #isIsolated} waits from then. */
  public void started() {
    startedAt = environment.nowMs();
  }

  /** The newest membership that this node knows; version 0 if none. */
  public QuorumMembership current() {
    return current.get();
  }

  /** The peers by peer address; a live map that callers may add to. */
  public Map<String, QuorumPeer> peers() {
    return peers;
  }

  /** The peer at this address, which is added if there is none. */
  public QuorumPeer peer(String peerAddress) {
    return peers.computeIfAbsent(peerAddress, unseen -> new QuorumPeer());
  }

  /** This node as it would be listed in a membership. */
  public QuorumMember self() {
    return new QuorumMember(
        identity.id(),
        identity.peerAddress(),
        identity.httpAddress(),
        identity.zone(),
        identity.name());
  }

  // ---- the membership itself

  /** Whether this node is a member; a joining member is not one yet. */
  public boolean isMember() {
    return contains(current().members(), identity.id());
  }

  /**
   * Whether this node is a member or the joining member of a change in progress, which stores log
   * entries but leads nothing yet.
   */
  public boolean isReplica() {
    return isMember() || contains(current().nextMembers(), identity.id());
  }

  private static boolean contains(List<QuorumMember> members, String id) {
    return members.stream().anyMatch(member -> member.id().equals(id));
  }

  /** Whether a member or joining member has this peer address. */
  public boolean includes(String peerAddress) {
    return membersAndJoining().stream()
        .anyMatch(member -> member.peerAddress().equals(peerAddress));
  }

  /** The members, and after them the joining member of a change in progress. */
  public Set<QuorumMember> membersAndJoining() {
    Set<QuorumMember> all = new LinkedHashSet<>(current().members());
    all.addAll(current().nextMembers());
    return all;
  }

  /** The membership as the replicas of the control plane's keys. */
  public ReplicaConfiguration replicaConfiguration() {
    return new ReplicaConfiguration(
        current().version(), replicas(current().members()), replicas(current().nextMembers()));
  }

  static List<NodeAddress> replicas(List<QuorumMember> members) {
    return members.stream()
        .map(member -> new NodeAddress(member.id(), member.peerAddress()))
        .toList();
  }

  /** The peer address of the member with this id; empty if there is none. */
  public String addressOf(String id) {
    return current().members().stream()
        .filter(member -> member.id().equals(id))
        .map(QuorumMember::peerAddress)
        .findFirst()
        .orElse("");
  }

  // ---- contact with its members

  /** Adds every member and joining member to the peers, this node excepted. */
  public void addMembersAsPeers() {
    membersAndJoining().forEach(member -> peer(member.peerAddress()));
    peers.remove(identity.peerAddress());
  }

  /** Removes the peers that are neither in the membership nor alive. */
  public void removeFormerPeers() {
    peers.entrySet().removeIf(each -> !includes(each.getKey()) && !isAlive(each.getValue()));
  }

  /** Whether a heartbeat was received lately; the peer may not receive this node's. */
  public boolean isAlive(QuorumPeer peer) {
    return peer.member() != null
        && environment.nowMs() - peer.lastHeartbeatAt()
            < MembershipConstants.QUORUM_PEER_TIMEOUT_MS;
  }

  /** Whether heartbeats pass in both directions. */
  boolean isInContact(QuorumPeer peer) {
    return isAlive(peer) && peer.receivesFromThisNode();
  }

  /** Ids of the members in contact, this node included if it is one, in membership order. */
  public List<String> liveMembers() {
    Set<String> live = new LinkedHashSet<>();
    for (QuorumMember member : current().members()) {
      if (isLive(member)) {
        live.add(member.id());
      }
    }
    return List.copyOf(live);
  }

  private boolean isLive(QuorumMember member) {
    if (member.id().equals(identity.id())) {
      return true;
    }
    QuorumPeer peer = peers.get(member.peerAddress());
    return peer != null && isInContact(peer) && peer.member().id().equals(member.id());
  }

  /** Whether this node is first in the rendezvous order of a key among the live members. */
  public boolean isPreferredLeaderOf(String key) {
    return identity.id().equals(RendezvousHashing.first(key, liveMembers()));
  }

  /** Whether this node is in contact with a majority of the members, itself included. */
  public boolean isInContactWithMajority() {
    return liveMembers().size() * 2 > current().members().size();
  }

  /**
   * Whether this node is a member without contact to a majority, which can neither lead nor read
   * and refuses requests at once. False right after the start, when heartbeats are yet to arrive.
   */
  public boolean isIsolated() {
    return isMember()
        && !isInContactWithMajority()
        && environment.nowMs() - startedAt >= MembershipConstants.QUORUM_PEER_TIMEOUT_MS;
  }
}
