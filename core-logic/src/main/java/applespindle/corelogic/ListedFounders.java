package applespindle.corelogic;

import applespindle.corelogic.Records.CoreMember;
import applespindle.corelogic.Records.Roster;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Forms membership 1 where every process is told the first members at its start. Invariant: only
 * the first founder forms it, and only while each other founder, hearing this very process, says
 * that it knows of no membership; so none of them is in one already.
 */
final class ListedFounders {
  private static final String PART = "core";

  private final Surroundings surroundings;
  private final Node.Place place;
  private final CoreMembership membership;

  /** Peer addresses; empty where the founders are found by the seeds. */
  private final List<String> addresses;

  ListedFounders(
      Surroundings surroundings,
      Node.Place place,
      CoreMembership membership,
      List<String> addresses) {
    this.surroundings = surroundings;
    this.place = place;
    this.membership = membership;
    this.addresses = addresses;
  }

  List<String> addresses() {
    return addresses;
  }

  boolean isEmpty() {
    return addresses.isEmpty();
  }

  /** The membership to start with, once this process may form it. */
  Optional<Roster> form() {
    if (isEmpty() || !addresses.get(0).equals(place.peerAddress())) {
      return Optional.empty();
    }
    List<CoreMember> members = new ArrayList<>(List.of(membership.self()));
    for (String address : addresses.subList(1, addresses.size())) {
      CorePeer peer = membership.peers().get(address);
      if (!membership.inContact(peer) || !peer.blank) {
        return Optional.empty();
      }
      members.add(peer.member);
    }
    surroundings.log(PART, "Roster 1 formed.");
    return Optional.of(new Roster(1, members, List.of()));
  }
}
