package applespindle.corelogic.membership;

import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Makes the proposal for the initial membership on the first seed. Owns the set of candidates that
 * was seen last, and when that set changed.
 *
 * <p>Invariants: the proposed members are an odd number, at most as many as the settings want. They
 * include this node if it votes: the proposal is then on its own disk before it can be formed, so
 * this node proposes nothing else after a restart.
 */
final class BootstrapProposer {
  private static final String LOG_PART = "core";
  private static final long INITIAL_VERSION = 1;

  private final Environment environment;
  private final NodeSettings settings;
  private final QuorumMember self;
  private final Map<String, QuorumPeer> peers;
  private final Predicate<QuorumPeer> alive;
  private final long startedAt;

  private Set<String> candidateIds = Set.of();
  private long candidatesChangedAt;

  BootstrapProposer(
      Environment environment,
      NodeSettings settings,
      QuorumMember self,
      Map<String, QuorumPeer> peers,
      Predicate<QuorumPeer> alive) {
    this.environment = environment;
    this.settings = settings;
    this.self = self;
    this.peers = peers;
    this.alive = alive;
    this.startedAt = environment.nowMs();
  }

  /** A new proposal, once enough candidates are known and none was added or lost for a while. */
  Optional<QuorumMembership> propose() {
    List<QuorumMember> candidates = candidates();
    noteChanges(candidates);
    if (!isStable() || !areEnough(candidates)) {
      return Optional.empty();
    }
    List<QuorumMember> members =
        ZoneSpread.choose(candidates, memberCount(candidates.size()), self);
    environment.log(
        LOG_PART,
        "Membership 1 proposed: " + members.stream().map(QuorumMember::name).toList() + ".");
    return Optional.of(new QuorumMembership(INITIAL_VERSION, members, List.of()));
  }

  /** The voters without a membership that messages pass to and from, this node included. */
  private List<QuorumMember> candidates() {
    List<QuorumMember> candidates = new ArrayList<>();
    if (settings.voter()) {
      candidates.add(self);
    }
    peers.values().stream()
        .filter(this::isCandidate)
        .forEach(peer -> candidates.add(peer.member()));
    return candidates;
  }

  private boolean isCandidate(QuorumPeer peer) {
    return alive.test(peer)
        && peer.isUninitialized()
        && peer.isVoter()
        && peer.receivesFromThisNode();
  }

  private void noteChanges(List<QuorumMember> candidates) {
    Set<String> ids =
        candidates.stream().map(QuorumMember::id).collect(Collectors.toCollection(TreeSet::new));
    if (!ids.equals(candidateIds)) {
      candidateIds = ids;
      candidatesChangedAt = environment.nowMs();
    }
  }

  private boolean isStable() {
    return environment.nowMs() - candidatesChangedAt >= MembershipConstants.BOOTSTRAP_STABLE_MS;
  }

  /** After a long wait fewer candidates than wanted are enough, but never none. */
  private boolean areEnough(List<QuorumMember> candidates) {
    if (candidates.isEmpty()) {
      return false;
    }
    long waitedMs = environment.nowMs() - startedAt;
    return candidates.size() >= settings.replicas()
        || waitedMs >= MembershipConstants.BOOTSTRAP_REDUCED_QUORUM_DELAY_MS;
  }

  /** The largest odd number of members that is available and wanted. */
  private int memberCount(int available) {
    int most = Math.min(available, settings.replicas());
    return most % 2 == 0 ? most - 1 : most;
  }
}
