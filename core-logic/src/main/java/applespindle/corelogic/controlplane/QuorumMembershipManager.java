package applespindle.corelogic.controlplane;

import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.membership.QuorumPeer;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.node.NodeIdentity;
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
final class QuorumMembershipManager {
  private static final String PART = "core";

  private final Environment environment;
  private final NodeIdentity identity;
  private final QuorumView quorum;
  private final LedKeys keys;

  /** A core of fewer members than this is grown; 0 where the founders are listed. */
  private final int wantedMembers;

  /** By member id; only known to this process. */
  private final Map<String, Long> silentSince = new HashMap<>();

  QuorumMembershipManager(
      Environment environment,
      NodeIdentity identity,
      QuorumView quorum,
      LedKeys keys,
      int wantedMembers) {
    this.environment = environment;
    this.identity = identity;
    this.quorum = quorum;
    this.keys = keys;
    this.wantedMembers = wantedMembers;
  }

  /** Takes the next step, if there is one to take and this node leads the key. */
  void advance() {
    LedKey ledKey = keys.get(MetadataKeys.MEMBERSHIP);
    if (ledKey == null) {
      keys.electIfVacant(MetadataKeys.MEMBERSHIP);
      return;
    }
    QuorumMembership present =
        ledKey.value.isNull() ? quorum.current() : ledKey.as(QuorumMembership.class);
    if (present.version() != quorum.current().version()) {
      return;
    }
    if (!present.nextMembers().isEmpty()) {
      settle(ledKey, present);
    } else if (!replaceLost(ledKey, present)) {
      grow(ledKey, present);
    }
  }

  /** Ends a change once the newcomer has copied, or calls it off if the newcomer is silent. */
  private void settle(LedKey ledKey, QuorumMembership present) {
    QuorumMember newcomer =
        present.nextMembers().stream()
            .filter(member -> !present.members().contains(member))
            .findFirst()
            .get();
    if (ledKey.caughtUpVersions.getOrDefault(newcomer.id(), 0L) == present.version()) {
      environment.log(PART, "Core member taken in: " + newcomer.name() + ".");
      put(ledKey, present, present.nextMembers(), List.of());
    } else if (!isThere(newcomer)) {
      put(ledKey, present, present.members(), List.of());
    }
  }

  private boolean isThere(QuorumMember member) {
    QuorumPeer peer = quorum.peers().get(member.peerAddress());
    return peer != null && quorum.isAlive(peer) && peer.member().id().equals(member.id());
  }

  /** True if a replacement was begun. */
  private boolean replaceLost(LedKey ledKey, QuorumMembership present) {
    for (QuorumMember member : present.members()) {
      Optional<QuorumMember> replacement = replacementOf(member);
      if (replacement.isPresent()) {
        List<QuorumMember> next = new ArrayList<>(present.members());
        next.set(next.indexOf(member), replacement.get());
        String names = member.name() + " is being replaced by " + replacement.get().name();
        begin(ledKey, present, next, "Core member " + names + ".");
        return true;
      }
    }
    return false;
  }

  /** Empty while the member is there, or may come back, or nobody can take its place. */
  private Optional<QuorumMember> replacementOf(QuorumMember member) {
    QuorumPeer peer = quorum.peers().get(member.peerAddress());
    if (member.id().equals(identity.id()) || isThere(member)) {
      silentSince.remove(member.id());
      return Optional.empty();
    }
    long now = environment.nowMs();
    long silentMs = now - silentSince.computeIfAbsent(member.id(), unseen -> now);
    // Another process at the address says that the member's disk is gone: it never comes back, so
    // nothing is waited for.
    boolean sameProcess =
        peer != null && peer.member() != null && peer.member().id().equals(member.id());
    if (peer != null && !sameProcess && quorum.isAlive(peer) && peer.isJoinCandidate()) {
      return Optional.of(peer.member());
    }
    return silentMs >= MembershipConstants.QUORUM_MEMBER_REPLACEMENT_DELAY_MS
        ? candidateFor(member)
        : Optional.empty();
  }

  private void grow(LedKey ledKey, QuorumMembership present) {
    if (present.members().size() >= wantedMembers) {
      return;
    }
    candidateFor(null)
        .ifPresent(
            candidate -> {
              List<QuorumMember> next = new ArrayList<>(present.members());
              next.add(candidate);
              begin(ledKey, present, next, "The core takes " + candidate.name() + " in.");
            });
  }

  /**
   * One of the leaver's zone first, then one of a zone with the fewest members; the leaver is null
   * when the core grows.
   */
  private Optional<QuorumMember> candidateFor(QuorumMember leaver) {
    return quorum.peers().values().stream()
        .filter(peer -> quorum.isAlive(peer) && peer.isJoinCandidate())
        .map(QuorumPeer::member)
        .min(
            Comparator.comparing(
                    (QuorumMember each) -> leaver != null && !each.zone().equals(leaver.zone()))
                .thenComparing(each -> membersIn(each.zone()))
                .thenComparing(QuorumMember::id));
  }

  private long membersIn(String zone) {
    return quorum.current().members().stream().filter(member -> member.zone().equals(zone)).count();
  }

  private void begin(
      LedKey ledKey, QuorumMembership present, List<QuorumMember> next, String sentence) {
    environment.log(PART, sentence);
    ledKey.caughtUpVersions.clear();
    put(ledKey, present, present.members(), next);
  }

  private void put(
      LedKey ledKey,
      QuorumMembership present,
      List<QuorumMember> members,
      List<QuorumMember> next) {
    keys.put(ledKey, new QuorumMembership(present.version() + 1, members, next), error -> {});
  }
}
