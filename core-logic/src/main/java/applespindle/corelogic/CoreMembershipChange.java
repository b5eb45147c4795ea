package applespindle.corelogic;

import applespindle.corelogic.Records.CoreMember;
import applespindle.corelogic.Records.Roster;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the leader of the membership's key does: replaces a member that has been silent for long by
 * a candidate, and grows a core that is too small. Invariants: one member changes at a time; while
 * it does, both sets are in force, and the new one alone only once the newcomer has copied; each
 * step is taken only when the one before is committed and in use here.
 */
final class CoreMembershipChange {
  private static final String PART = "core";

  private final Surroundings surroundings;
  private final Node.Place place;
  private final CoreMembership membership;
  private final CoreKeys keys;

  /** A core of fewer members than this is grown; 0 where the founders are listed. */
  private final int wantedMembers;

  /** By member id; only known to this process. */
  private final Map<String, Long> silentSince = new HashMap<>();

  CoreMembershipChange(
      Surroundings surroundings,
      Node.Place place,
      CoreMembership membership,
      CoreKeys keys,
      int wantedMembers) {
    this.surroundings = surroundings;
    this.place = place;
    this.membership = membership;
    this.keys = keys;
    this.wantedMembers = wantedMembers;
  }

  /** Takes the next step, if there is one to take and this node leads the key. */
  void advance() {
    CoreKeyState state = keys.get(MetadataKeys.MEMBERSHIP);
    if (state == null) {
      keys.claimIfVacant(MetadataKeys.MEMBERSHIP);
      return;
    }
    Roster present = state.value.isNull() ? membership.current() : state.as(Roster.class);
    if (present.number() != membership.current().number()) {
      return;
    }
    if (!present.next().isEmpty()) {
      settle(state, present);
    } else if (!replaceLost(state, present)) {
      grow(state, present);
    }
  }

  /** Ends a change once the newcomer has copied, or calls it off if the newcomer is silent. */
  private void settle(CoreKeyState state, Roster present) {
    CoreMember newcomer =
        present.next().stream()
            .filter(member -> !present.members().contains(member))
            .findFirst()
            .get();
    if (state.copied.getOrDefault(newcomer.id(), 0L) == present.number()) {
      surroundings.log(PART, "Core member taken in: " + newcomer.name() + ".");
      put(state, present, present.next(), List.of());
    } else if (!isThere(newcomer)) {
      put(state, present, present.members(), List.of());
    }
  }

  private boolean isThere(CoreMember member) {
    CorePeer peer = membership.peers().get(member.peerAddress());
    return peer != null && membership.alive(peer) && peer.member.id().equals(member.id());
  }

  /** True if a replacement was begun. */
  private boolean replaceLost(CoreKeyState state, Roster present) {
    for (CoreMember member : present.members()) {
      Optional<CoreMember> replacement = replacementOf(member);
      if (replacement.isPresent()) {
        List<CoreMember> next = new ArrayList<>(present.members());
        next.set(next.indexOf(member), replacement.get());
        String names = member.name() + " is being replaced by " + replacement.get().name();
        begin(state, present, next, "Core member " + names + ".");
        return true;
      }
    }
    return false;
  }

  /** Empty while the member is there, or may come back, or nobody can take its place. */
  private Optional<CoreMember> replacementOf(CoreMember member) {
    CorePeer peer = membership.peers().get(member.peerAddress());
    if (member.id().equals(place.id()) || isThere(member)) {
      silentSince.remove(member.id());
      return Optional.empty();
    }
    long now = surroundings.now();
    long silentMs = now - silentSince.computeIfAbsent(member.id(), unseen -> now);
    // Another process at the address says that the member's disk is gone: it never comes back, so
    // nothing is waited for.
    boolean sameProcess =
        peer != null && peer.member != null && peer.member.id().equals(member.id());
    if (peer != null && !sameProcess && membership.alive(peer) && peer.candidate) {
      return Optional.of(peer.member);
    }
    return silentMs >= Constants.CORE_REPLACE_MS ? candidateFor(member) : Optional.empty();
  }

  private void grow(CoreKeyState state, Roster present) {
    if (present.members().size() >= wantedMembers) {
      return;
    }
    candidateFor(null)
        .ifPresent(
            candidate -> {
              List<CoreMember> next = new ArrayList<>(present.members());
              next.add(candidate);
              begin(state, present, next, "The core takes " + candidate.name() + " in.");
            });
  }

  /**
   * One of the leaver's zone first, then one of a zone with the fewest members; the leaver is null
   * when the core grows.
   */
  private Optional<CoreMember> candidateFor(CoreMember leaver) {
    return membership.peers().values().stream()
        .filter(peer -> membership.alive(peer) && peer.candidate)
        .map(peer -> peer.member)
        .min(
            Comparator.comparing(
                    (CoreMember each) -> leaver != null && !each.zone().equals(leaver.zone()))
                .thenComparing(each -> membersIn(each.zone()))
                .thenComparing(CoreMember::id));
  }

  private long membersIn(String zone) {
    return membership.current().members().stream()
        .filter(member -> member.zone().equals(zone))
        .count();
  }

  private void begin(CoreKeyState state, Roster present, List<CoreMember> next, String sentence) {
    surroundings.log(PART, sentence);
    state.copied.clear();
    put(state, present, present.members(), next);
  }

  private void put(
      CoreKeyState state, Roster present, List<CoreMember> members, List<CoreMember> next) {
    keys.put(state, new Roster(present.number() + 1, members, next), fault -> {});
  }
}
