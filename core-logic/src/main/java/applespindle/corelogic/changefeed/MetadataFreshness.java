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

  private final Environment surroundings;
  private final NodeIdentity place;
  private final QuorumView membership;
  private final LogReplicas replicas;

  MetadataFreshness(
      Environment surroundings, NodeIdentity place, QuorumView membership, LogReplicas replicas) {
    this.surroundings = surroundings;
    this.place = place;
    this.membership = membership;
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
    if (!membership.isMember()) {
      return UNKNOWN_AGE_MS;
    }
    long ofMembers = ageMs(membership.current().members());
    List<QuorumMember> next = membership.current().next();
    return next.isEmpty() ? ofMembers : Math.max(ofMembers, ageMs(next));
  }

  private long ageMs(List<QuorumMember> members) {
    long[] ages = members.stream().mapToLong(this::ageMs).sorted().toArray();
    return ages[ages.length / 2];
  }

  private long ageMs(QuorumMember member) {
    if (member.id().equals(place.id())) {
      return lacksDecision() ? UNKNOWN_AGE_MS : 0;
    }
    QuorumPeer peer = membership.peers().get(member.peerAddress());
    return peer == null
        ? UNKNOWN_AGE_MS
        : Math.min(surroundings.now() - peer.newsAt, UNKNOWN_AGE_MS);
  }

  /**
   * Whether a value that edges work by was on this disk at the start and is not yet known to be
   * committed or not: it may have been acknowledged.
   */
  boolean lacksDecision() {
    return replicas.anyUndecided(
        key ->
            !key.equals(MetadataKeys.BATCH_CAPACITY)
                && !key.startsWith(MetadataKeys.MEMBER_PREFIX));
  }
}
