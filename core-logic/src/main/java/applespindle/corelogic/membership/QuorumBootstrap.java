package applespindle.corelogic.membership;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.node.NodeIdentity;
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
 * among the blank voters it hears, itself always if it votes; each of them accepts one proposal
 * ever, on its synced disk; roster 1 is formed by whoever hears that all of its members accepted
 * it. So two rosters with a member in common can't both be formed. Only voters of the fleet's first
 * start accept: a disk that was emptied later never founds anything.
 */
public final class QuorumBootstrap {
  /** The key of the record of an accepted proposal; the roster in use has its own. */
  private static final String ACCEPTED = "founding";

  /** The key of the record which says that this disk was there at the fleet's first start. */
  private static final String FIRST_START = "first-start";

  private static final String PART = "core";

  private final Environment environment;
  private final NodeIdentity identity;
  private final NodeSettings settings;
  private final Map<String, QuorumPeer> peers;
  private final Predicate<QuorumPeer> alive;
  private final QuorumMember self;
  private final Consumer<QuorumMembership> whenFormed;

  /** What this process proposes or passes on; only a member of it accepts it. */
  private QuorumMembership proposal;

  /** On its way to this disk, or synced there; never replaced by another. */
  private QuorumMembership accepting;

  /** Synced on this disk. */
  private QuorumMembership accepted;

  private boolean firstStart;
  private Set<String> heard = Set.of();
  private long heardChangedAt;
  private long startedAt;

  public QuorumBootstrap(
      Environment environment,
      NodeIdentity identity,
      NodeSettings settings,
      QuorumMember self,
      Map<String, QuorumPeer> peers,
      Predicate<QuorumPeer> alive,
      Consumer<QuorumMembership> whenFormed) {
    this.environment = environment;
    this.identity = identity;
    this.settings = settings;
    this.self = self;
    this.peers = peers;
    this.alive = alive;
    this.whenFormed = whenFormed;
    this.startedAt = environment.nowMs();
    this.firstStart = settings.bootstrap();
  }

  /** Whether the record is one of founding; the roster in use has its own. */
  public static boolean owns(LogRecord record) {
    return record.kind() == Kind.MEMBERSHIP
        && (record.key().equals(ACCEPTED) || record.key().equals(FIRST_START));
  }

  public void recover(LogRecord record) {
    firstStart = true;
    if (record.key().equals(ACCEPTED)) {
      accepted = Json.read(record.payload(), QuorumMembership.class);
      accepting = accepted;
      proposal = accepted;
    }
  }

  /** Notes on the disk that it was there at the first start. */
  public void start() {
    if (firstStart && settings.voter()) {
      environment.write(List.of(firstStartRecord()), () -> {});
    }
  }

  /** What a checkpoint keeps while no roster is known. */
  public List<LogRecord> records() {
    List<LogRecord> records = new ArrayList<>();
    if (firstStart) {
      records.add(firstStartRecord());
    }
    if (accepting != null) {
      records.add(acceptedRecord(accepting));
    }
    return records;
  }

  private static LogRecord firstStartRecord() {
    return new LogRecord(Kind.MEMBERSHIP, FIRST_START, Epoch.NONE, 0, true, new byte[0]);
  }

  private static LogRecord acceptedRecord(QuorumMembership membership) {
    return new LogRecord(
        Kind.MEMBERSHIP, ACCEPTED, Epoch.NONE, membership.number(), true, Json.bytes(membership));
  }

  /** Told to be part of the fleet's first start, now or when its disk was first used. */
  boolean mayBootstrap() {
    return firstStart;
  }

  /** Only this process ever proposes; it needs no disk for that. */
  public boolean isCoordinator() {
    return mayBootstrap()
        && !identity.seeds().isEmpty()
        && identity.seeds().get(0).equals(identity.peerAddress());
  }

  QuorumMembership proposal() {
    return proposal;
  }

  boolean hasAccepted() {
    return accepted != null;
  }

  public void tick() {
    if (proposal == null && isCoordinator()) {
      propose();
    }
    if (proposal == null) {
      for (QuorumPeer peer : peers.values()) {
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
        .filter(member -> !member.id().equals(identity.id()))
        .forEach(member -> peers.computeIfAbsent(member.peerAddress(), unseen -> new QuorumPeer()));
    accept();
    if (proposal.members().stream().allMatch(this::hasAccepted)) {
      environment.log(PART, "Roster 1 formed of " + proposal.members().size() + ".");
      whenFormed.accept(proposal);
    }
  }

  private boolean names(QuorumMembership membership) {
    return membership.members().contains(self);
  }

  private void accept() {
    if (accepting != null || !mayBootstrap() || !names(proposal) || !settings.voter()) {
      return;
    }
    accepting = proposal;
    environment.write(List.of(acceptedRecord(accepting)), () -> accepted = accepting);
  }

  private boolean hasAccepted(QuorumMember member) {
    if (member.id().equals(identity.id())) {
      return proposal.equals(accepted);
    }
    QuorumPeer peer = peers.get(member.peerAddress());
    return peer != null
        && alive.test(peer)
        && member.equals(peer.member)
        && peer.accepted
        && proposal.equals(peer.proposal);
  }

  private void propose() {
    for (QuorumPeer peer : peers.values()) {
      if (alive.test(peer) && peer.proposal != null) {
        proposal = peer.proposal;
        return;
      }
    }
    List<QuorumMember> blanks = new ArrayList<>();
    if (settings.voter()) {
      blanks.add(self);
    }
    peers.values().stream()
        .filter(peer -> alive.test(peer) && peer.uninitialized && peer.voter && peer.hearsThisNode)
        .forEach(peer -> blanks.add(peer.member));
    Set<String> ids =
        blanks.stream().map(QuorumMember::id).collect(Collectors.toCollection(TreeSet::new));
    long now = environment.nowMs();
    if (!ids.equals(heard)) {
      heard = ids;
      heardChangedAt = now;
    }
    boolean enough = blanks.size() >= settings.replicas();
    boolean fewForLong = now - startedAt >= MembershipConstants.BOOTSTRAP_REDUCED_QUORUM_DELAY_MS;
    if (blanks.isEmpty()
        || now - heardChangedAt < MembershipConstants.BOOTSTRAP_SETTLE_MS
        || !enough && !fewForLong) {
      return;
    }
    int most = Math.min(blanks.size(), settings.replicas());
    proposal = new QuorumMembership(1, spread(blanks, most % 2 == 0 ? most - 1 : most), List.of());
    environment.log(
        PART,
        "Roster 1 proposed: " + proposal.members().stream().map(QuorumMember::name).toList() + ".");
  }

  /**
   * As many zones as can be: one of each zone in turn, by name. This process comes first if it
   * votes: what it proposed is then on its own disk before it can be formed, and it proposes
   * nothing else after a start.
   */
  private List<QuorumMember> spread(List<QuorumMember> blanks, int count) {
    Map<String, List<QuorumMember>> byZone =
        new TreeMap<>(
            Comparator.comparing((String zone) -> !zone.equals(self.zone()))
                .thenComparing(Comparator.naturalOrder()));
    blanks.stream()
        .sorted(
            Comparator.comparing((QuorumMember member) -> !member.equals(self))
                .thenComparing(QuorumMember::name)
                .thenComparing(QuorumMember::id))
        .forEach(
            member ->
                byZone.computeIfAbsent(member.zone(), unseen -> new ArrayList<>()).add(member));
    List<QuorumMember> chosen = new ArrayList<>();
    while (chosen.size() < count) {
      for (List<QuorumMember> ofZone : byZone.values()) {
        if (!ofZone.isEmpty() && chosen.size() < count) {
          chosen.add(ofZone.remove(0));
        }
      }
    }
    return chosen;
  }
}
