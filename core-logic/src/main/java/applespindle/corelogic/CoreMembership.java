package applespindle.corelogic;

import applespindle.corelogic.Records.CoreMember;
import applespindle.corelogic.Records.Roster;
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
final class CoreMembership {
  /** The name under which all core keys change their replicas together. */
  static final String SET_NAME = "core";

  private final Surroundings surroundings;
  private final Node.Place place;
  private final Supplier<Roster> current;

  /** By peer address, as a founder's id is not known before its first ping. */
  private final Map<String, CorePeer> peers = new TreeMap<>();

  private long startedAt;

  CoreMembership(Surroundings surroundings, Node.Place place, Supplier<Roster> current) {
    this.surroundings = surroundings;
    this.place = place;
    this.current = current;
  }

  void started() {
    startedAt = surroundings.now();
  }

  Roster current() {
    return current.get();
  }

  Map<String, CorePeer> peers() {
    return peers;
  }

  CorePeer peer(String peerAddress) {
    return peers.computeIfAbsent(peerAddress, unseen -> new CorePeer());
  }

  /** This process as it would stand in a membership. */
  CoreMember self() {
    return new CoreMember(
        place.id(), place.peerAddress(), place.httpAddress(), place.zone(), place.name());
  }

  // ---- the membership itself

  boolean isMember() {
    return names(current().members(), place.id());
  }

  /** A member, or the newcomer of a change under way, which takes entries but leads nothing yet. */
  boolean isReplica() {
    return isMember() || names(current().next(), place.id());
  }

  private static boolean names(List<CoreMember> members, String id) {
    return members.stream().anyMatch(member -> member.id().equals(id));
  }

  /** Whether a member or newcomer is at this address. */
  boolean includes(String peerAddress) {
    return membersAndNewcomers().stream()
        .anyMatch(member -> member.peerAddress().equals(peerAddress));
  }

  Set<CoreMember> membersAndNewcomers() {
    Set<CoreMember> all = new LinkedHashSet<>(current().members());
    all.addAll(current().next());
    return all;
  }

  ReplicaSets replicaSets() {
    return new ReplicaSets(
        current().number(), replicas(current().members()), replicas(current().next()));
  }

  static List<OwnedKey.Replica> replicas(List<CoreMember> members) {
    return members.stream()
        .map(member -> new OwnedKey.Replica(member.id(), member.peerAddress()))
        .toList();
  }

  /** The peer address of a member; empty if there is none of this id. */
  String addressOf(String id) {
    return current().members().stream()
        .filter(member -> member.id().equals(id))
        .map(CoreMember::peerAddress)
        .findFirst()
        .orElse("");
  }

  // ---- contact with its members

  /** Makes every member and newcomer a peer. */
  void meetMembers() {
    membersAndNewcomers().forEach(member -> peer(member.peerAddress()));
    peers.remove(place.peerAddress());
  }

  /** Drops silent peers that the membership does not name any more. */
  void forgetStrangers() {
    peers.entrySet().removeIf(each -> !includes(each.getKey()) && !alive(each.getValue()));
  }

  /** Whether the peer was heard lately; it may be deaf to this process. */
  boolean alive(CorePeer peer) {
    return peer.member != null && surroundings.now() - peer.heardAt < Constants.CORE_SILENT_MS;
  }

  /** Whether each side hears the other. */
  boolean inContact(CorePeer peer) {
    return alive(peer) && peer.hearsUs;
  }

  /** Ids of the members in contact, this node included if it is one. */
  List<String> liveMembers() {
    Set<String> live = new LinkedHashSet<>();
    for (CoreMember member : current().members()) {
      CorePeer peer = peers.get(member.peerAddress());
      if (member.id().equals(place.id())
          || peer != null && inContact(peer) && peer.member.id().equals(member.id())) {
        live.add(member.id());
      }
    }
    return List.copyOf(live);
  }

  /** Whether this node comes first for a key among the live members. */
  boolean isFirstFor(String key) {
    return place.id().equals(Rendezvous.first(key, liveMembers()));
  }

  boolean hearsMajority() {
    return liveMembers().size() * 2 > current().members().size();
  }

  /**
   * A member that hears no majority can neither lead nor read: it says so at once. A process that
   * started just now waits for the first pings instead.
   */
  boolean cutOff() {
    return isMember()
        && !hearsMajority()
        && surroundings.now() - startedAt >= Constants.CORE_SILENT_MS;
  }
}
