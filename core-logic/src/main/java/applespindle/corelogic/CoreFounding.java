package applespindle.corelogic;

import applespindle.corelogic.CoreNode.Peer;
import applespindle.corelogic.DiskRecord.Kind;
import applespindle.corelogic.Records.CoreMember;
import applespindle.corelogic.Records.Roster;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Forms roster 1 where nobody is told who the first members are. The first seed proposes members
 * among the blank voters it hears; each of them accepts one proposal ever, on its synced disk;
 * roster 1 is formed by whoever hears that all of its members accepted it. So two rosters with a
 * member in common can't both be formed.
 */
final class CoreFounding {
  /** The key of the record of an accepted proposal; the roster in use has its own. */
  static final String RECORD = "founding";

  private static final String PART = "core";

  private final Surroundings surroundings;
  private final Node.Place place;
  private final Bounds bounds;
  private final Map<String, Peer> peers;
  private final Predicate<Peer> alive;
  private final CoreMember self;
  private final Consumer<Roster> whenFormed;

  /** What this process proposes or passes on; only a member of it accepts it. */
  private Roster proposal;

  /** Synced on this disk; never replaced by another. */
  private Roster accepted;

  private boolean accepting;
  private Set<String> heard = Set.of();
  private long heardChangedAt;
  private long startedAt;

  CoreFounding(
      Surroundings surroundings,
      Node.Place place,
      Bounds bounds,
      CoreMember self,
      Map<String, Peer> peers,
      Predicate<Peer> alive,
      Consumer<Roster> whenFormed) {
    this.surroundings = surroundings;
    this.place = place;
    this.bounds = bounds;
    this.self = self;
    this.peers = peers;
    this.alive = alive;
    this.whenFormed = whenFormed;
    this.startedAt = surroundings.now();
  }

  void recover(DiskRecord record) {
    accepted = Json.read(record.payload(), Roster.class);
    proposal = accepted;
  }

  DiskRecord record() {
    return accepted == null ? null : record(accepted);
  }

  private static DiskRecord record(Roster roster) {
    return new DiskRecord(
        Kind.ROSTER, RECORD, Epoch.NONE, roster.number(), true, Json.bytes(roster));
  }

  /** Only this process ever proposes; it needs no disk for that. */
  boolean coordinates() {
    return bounds.bootstrap()
        && !place.seeds().isEmpty()
        && place.seeds().get(0).equals(place.peerAddress());
  }

  Roster proposal() {
    return proposal;
  }

  boolean hasAccepted() {
    return accepted != null;
  }

  void tick() {
    if (proposal == null && coordinates()) {
      propose();
    }
    if (proposal == null) {
      for (Peer peer : peers.values()) {
        if (alive.test(peer) && peer.proposal != null && names(peer.proposal)) {
          proposal = peer.proposal;
          break;
        }
      }
    }
    if (proposal == null) {
      return;
    }
    proposal.members().stream()
        .filter(member -> !member.id().equals(place.id()))
        .forEach(member -> peers.computeIfAbsent(member.peerAddress(), unseen -> new Peer()));
    accept();
    if (proposal.members().stream().allMatch(this::hasAccepted)) {
      surroundings.log(PART, "Roster 1 formed of " + proposal.members().size() + ".");
      whenFormed.accept(proposal);
    }
  }

  private boolean names(Roster roster) {
    return roster.members().contains(self);
  }

  private void accept() {
    if (accepted != null || accepting || !names(proposal) || !bounds.voter()) {
      return;
    }
    accepting = true;
    Roster taken = proposal;
    surroundings.write(List.of(record(taken)), () -> accepted = taken);
  }

  private boolean hasAccepted(CoreMember member) {
    if (member.id().equals(place.id())) {
      return proposal.equals(accepted);
    }
    Peer peer = peers.get(member.peerAddress());
    return peer != null
        && alive.test(peer)
        && member.equals(peer.member)
        && peer.accepted
        && proposal.equals(peer.proposal);
  }

  private void propose() {
    for (Peer peer : peers.values()) {
      if (alive.test(peer) && peer.proposal != null) {
        proposal = peer.proposal;
        return;
      }
    }
    List<CoreMember> blanks = new ArrayList<>();
    if (bounds.voter()) {
      blanks.add(self);
    }
    peers.values().stream()
        .filter(peer -> alive.test(peer) && peer.blank && peer.voter && peer.hearsUs)
        .forEach(peer -> blanks.add(peer.member));
    Set<String> ids =
        blanks.stream().map(CoreMember::id).collect(Collectors.toCollection(TreeSet::new));
    long now = surroundings.now();
    if (!ids.equals(heard)) {
      heard = ids;
      heardChangedAt = now;
    }
    boolean enough = blanks.size() >= bounds.replicas();
    boolean fewForLong = now - startedAt >= Constants.FOUNDING_FEW_MS;
    if (blanks.isEmpty()
        || now - heardChangedAt < Constants.FOUNDING_SETTLE_MS
        || !enough && !fewForLong) {
      return;
    }
    int most = Math.min(blanks.size(), bounds.replicas());
    proposal = new Roster(1, spread(blanks, most % 2 == 0 ? most - 1 : most), List.of());
    surroundings.log(
        PART,
        "Roster 1 proposed: " + proposal.members().stream().map(CoreMember::name).toList() + ".");
  }

  /** As many zones as can be: one of each zone in turn, by name. */
  private static List<CoreMember> spread(List<CoreMember> blanks, int count) {
    Map<String, List<CoreMember>> byZone = new TreeMap<>();
    blanks.stream()
        .sorted(Comparator.comparing(CoreMember::name).thenComparing(CoreMember::id))
        .forEach(
            member ->
                byZone.computeIfAbsent(member.zone(), unseen -> new ArrayList<>()).add(member));
    List<CoreMember> chosen = new ArrayList<>();
    while (chosen.size() < count) {
      for (List<CoreMember> ofZone : byZone.values()) {
        if (!ofZone.isEmpty() && chosen.size() < count) {
          chosen.add(ofZone.remove(0));
        }
      }
    }
    return chosen;
  }
}
