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
 * How old this node's view of the core keys may be. Invariant: the age is never understated. It
 * counts from the oldest of the newest polls that a majority of the members responded to, this node
 * included; members that lack a decision do not count.
 */
public final class MetadataFreshness {
  /** The age of a view that no update has confirmed. */
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

  public boolean isFresh() {
    return ageMs() < MembershipConstants.QUORUM_PEER_TIMEOUT_MS;
  }

  /**
   * The time since the last updates from a majority of the core. While its members change, from a
   * majority of the next ones too: the change may be done without this node having heard so.
   */
  public long ageMs() {
    if (!quorum.isMember()) {
      return UNKNOWN_AGE_MS;
    }
    long ofMembers = ageMs(quorum.current().members());
    List<QuorumMember> next = quorum.current().next();
    return next.isEmpty() ? ofMembers : Math.max(ofMembers, ageMs(next));
  }

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
   * Whether a value that edges work by was on this disk at the start and is not yet known to be
   * committed or not: it may have been acknowledged.
   */
  boolean hasUndecidedEntries() {
    return replicas.anyUncommittedEntries(
        key ->
            !key.equals(MetadataKeys.BATCH_CAPACITY)
                && !key.startsWith(MetadataKeys.MEMBER_PREFIX));
  }
}
