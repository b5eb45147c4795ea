package applespindle.corelogic.changefeed;

import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.membership.QuorumPeer;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.replication.LogReplicas;
import java.util.List;

/**
 * How old this node's view of the replicated metadata may be. Owns no state: the age is computed
 * from the times in the {@link QuorumPeer}s.
 *
 * <p>For each member, the age is the time since this node sent the newest poll that the member
 * confirmed; for this node itself it is 0. The age of the view is the lowest that a majority of the
 * members reaches. A member whose log has undecided entries confirms no polls.
 *
 * <p>Invariant: the age is never understated, as it counts from the sending of a poll, not from the
 * arrival of its response.
 */
public final class MetadataFreshness {
  /** The age, in milliseconds, of a view that no update has confirmed. */
  private static final long UNKNOWN_AGE_MS = Long.MAX_VALUE / 4;

  private final Environment environment;
  private final NodeIdentity identity;
  private final QuorumView quorum;
  private final LogReplicas replicas;

  MetadataFreshness(
      Environment environment, NodeIdentity identity, QuorumView quorum, LogReplicas replicas) {
    this.environment = environment;
    this.identity = identity;
    this.quorum = quorum;
    this.replicas = replicas;
  }

  /** Whether the view is recent enough to make decisions and to acknowledge updates. */
  public boolean isFresh() {
    return ageMs() < MembershipConstants.QUORUM_PEER_TIMEOUT_MS;
  }

  /**
   * The age of the view in milliseconds; very large if this node is no member or nothing was
   * confirmed. While the membership changes, a majority of the next members must have confirmed
   * too, because the change may be complete without this node having learned of it.
   */
  public long ageMs() {
    if (!quorum.isMember()) {
      return UNKNOWN_AGE_MS;
    }
    long currentAgeMs = ageMs(quorum.current().members());
    List<QuorumMember> nextMembers = quorum.current().nextMembers();
    return nextMembers.isEmpty() ? currentAgeMs : Math.max(currentAgeMs, ageMs(nextMembers));
  }

  /** The lowest age that a majority of these members reaches. */
  private long ageMs(List<QuorumMember> members) {
    long[] ages = members.stream().mapToLong(this::ageMs).sorted().toArray();
    return ages[ages.length / 2];
  }

  private long ageMs(QuorumMember member) {
    if (member.id().equals(identity.id())) {
      return hasUndecidedEntries() ? UNKNOWN_AGE_MS : 0;
    }
    QuorumPeer peer = quorum.peers().get(member.peerAddress());
    return peer == null
        ? UNKNOWN_AGE_MS
        : Math.min(environment.nowMs() - peer.lastConfirmedAt(), UNKNOWN_AGE_MS);
  }

  /**
   * Whether this node's log holds an entry, of a key that edges apply, that is not known to be
   * committed: it may have been acknowledged before this process started.
   */
  boolean hasUndecidedEntries() {
    return replicas.anyUncommittedEntries(
        key ->
            !key.equals(MetadataKeys.BATCH_CAPACITY)
                && !key.startsWith(MetadataKeys.MEMBER_PREFIX)
                && !key.startsWith(MetadataKeys.DUTY_PREFIX));
  }
}
