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
 * Changes the membership of the quorum: replaces a member that has been unreachable for long by a
 * candidate, and grows a quorum that is too small.
 *
 * <p>State owned: the membership's key while this node leads it, and since when each member has
 * been unreachable. The membership is either stable (next is empty) or changing: then next holds
 * the new set of members, and both sets are in force. A change is completed once the new member has
 * caught up, and cancelled if the new member becomes unreachable.
 *
 * <p>Invariants: one member changes at a time; the new set alone is in force only once the new
 * member reported that it caught up under the number of this very change; each step is taken only
 * once the one before is committed and in use here.
 */
final class QuorumMembershipManager implements KeyManager {
  private static final String PART = "core";

  private final Environment environment;
  private final NodeIdentity identity;
  private final QuorumView quorum;
  private final LedKeys keys;

  /** A quorum of fewer members than this is grown; 0 if the first members are configured. */
  private final int targetMemberCount;

  /**
   * Since when each member has been unreachable, by member id, in milliseconds of this node's
   * clock; known to this process only.
   */
  private final Map<String, Long> unreachableSinceMs = new HashMap<>();

  QuorumMembershipManager(ControlPlaneContext context, int targetMemberCount) {
    this.environment = context.environment();
    this.identity = context.identity();
    this.quorum = context.quorum();
    this.keys = context.keys();
    this.targetMemberCount = targetMemberCount;
  }

  @Override
  public void tick() {
    advance();
  }

  /**
   * Takes the next step if one is due and this node leads the key; starts an election if nobody
   * leads the key and this node is preferred.
   */
  void advance() {
    LedKey ledKey = keys.get(MetadataKeys.MEMBERSHIP);
    if (ledKey == null) {
      keys.electIfVacant(MetadataKeys.MEMBERSHIP);
      return;
    }
    QuorumMembership present =
        ledKey.hasValue() ? ledKey.as(QuorumMembership.class) : quorum.current();
    boolean presentIsInUse = present.version() == quorum.current().version();
    if (!presentIsInUse) {
      return;
    }
    if (!present.nextMembers().isEmpty()) {
      completeOrCancelChange(ledKey, present);
    } else if (!replaceLostMember(ledKey, present)) {
      grow(ledKey, present);
    }
  }

  private void completeOrCancelChange(LedKey ledKey, QuorumMembership present) {
    QuorumMember added = addedMember(present);
    if (ledKey.hasCaughtUp(added.id(), present.version())) {
      environment.log(PART, "Quorum member added: " + added.name() + ".");
      put(ledKey, present, present.nextMembers(), List.of());
    } else if (!isReachable(added)) {
      put(ledKey, present, present.members(), List.of());
    }
  }

  private static QuorumMember addedMember(QuorumMembership changing) {
    return changing.nextMembers().stream()
        .filter(member -> !changing.members().contains(member))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalStateException(
                    "membership " + changing.version() + " is changing but adds no member"));
  }

  private boolean isReachable(QuorumMember member) {
    QuorumPeer peer = quorum.peers().get(member.peerAddress());
    return peer != null && quorum.isAlive(peer) && peer.member().id().equals(member.id());
  }

  /** Begins the replacement of the first lost member, if any; true if it did. */
  private boolean replaceLostMember(LedKey ledKey, QuorumMembership present) {
    for (QuorumMember member : present.members()) {
      Optional<QuorumMember> replacement = replacementOf(member);
      if (replacement.isPresent()) {
        List<QuorumMember> next = new ArrayList<>(present.members());
        next.set(next.indexOf(member), replacement.get());
        environment.log(
            PART,
            "Quorum member %s is being replaced by %s."
                .formatted(member.name(), replacement.get().name()));
        beginChange(ledKey, present, next);
        return true;
      }
    }
    return false;
  }

  /**
   * The candidate that replaces the member; empty while the member is reachable or may come back,
   * or if there is no candidate.
   */
  private Optional<QuorumMember> replacementOf(QuorumMember member) {
    QuorumPeer peer = quorum.peers().get(member.peerAddress());
    if (member.id().equals(identity.id()) || isReachable(member)) {
      unreachableSinceMs.remove(member.id());
      return Optional.empty();
    }
    long now = environment.nowMs();
    long unreachableMs = now - unreachableSinceMs.computeIfAbsent(member.id(), unknown -> now);
    if (hasNewProcessAtAddress(member, peer)) {
      return Optional.of(peer.member());
    }
    return unreachableMs >= MembershipConstants.QUORUM_MEMBER_REPLACEMENT_DELAY_MS
        ? candidateFor(member)
        : Optional.empty();
  }

  /**
   * True if another process at the member's address wants to join. That proves that the member's
   * disk is lost and that the member never comes back, so it is replaced without delay.
   */
  private boolean hasNewProcessAtAddress(QuorumMember member, QuorumPeer peer) {
    boolean sameProcess =
        peer != null && peer.member() != null && peer.member().id().equals(member.id());
    return peer != null && !sameProcess && quorum.isAlive(peer) && peer.isJoinCandidate();
  }

  private void grow(LedKey ledKey, QuorumMembership present) {
    if (present.members().size() >= targetMemberCount) {
      return;
    }
    candidateFor(null)
        .ifPresent(
            candidate -> {
              List<QuorumMember> next = new ArrayList<>(present.members());
              next.add(candidate);
              environment.log(PART, "Quorum member " + candidate.name() + " is being added.");
              beginChange(ledKey, present, next);
            });
  }

  /**
   * A candidate of the lost member's zone if there is one, else one of a zone with the fewest
   * members. The lost member is null when the quorum grows.
   */
  private Optional<QuorumMember> candidateFor(QuorumMember lost) {
    return quorum.peers().values().stream()
        .filter(peer -> quorum.isAlive(peer) && peer.isJoinCandidate())
        .map(peer -> peer.member())
        .min(
            Comparator.comparing(
                    (QuorumMember each) -> lost != null && !each.zone().equals(lost.zone()))
                .thenComparing(each -> membersIn(each.zone()))
                .thenComparing(QuorumMember::id));
  }

  private long membersIn(String zone) {
    return quorum.current().members().stream().filter(member -> member.zone().equals(zone)).count();
  }

  private void beginChange(LedKey ledKey, QuorumMembership present, List<QuorumMember> next) {
    ledKey.forgetCaughtUpReports();
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
