package applespindle.corelogic.membership;

import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;

/**
 * What this node knows of another control plane node: the content of its last heartbeat, and the
 * position that was reached in its change feed.
 *
 * <p>A peer is created when its address becomes known, and has no {@link #member()} until its first
 * heartbeat. All times are monotonic milliseconds on this node's clock.
 *
 * <p>Invariant: {@link #lastConfirmedAt()} never falls.
 */
public final class QuorumPeer {
  /** Longer ago than any timeout, and far enough from the minimum that ages do not overflow. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private long lastHeartbeatAt = NEVER;
  private QuorumMember member;
  private boolean uninitialized;
  private boolean joinCandidate;
  private boolean voter;
  private QuorumMembership proposal;
  private boolean accepted;
  private long membershipVersion;
  private boolean receivesFromThisNode;

  private String feedId = "";
  private long feedIncarnation;
  private long feedPosition;
  private long lastConfirmedAt = NEVER;

  /**
   * Replaces what is known of the peer by the content of a heartbeat.
   *
   * @param nowMs when the heartbeat was received
   * @param thisNodeId id of the receiving node
   */
  void recordHeartbeat(HeartbeatBody body, long nowMs, String thisNodeId) {
    member = body.sender();
    lastHeartbeatAt = nowMs;
    uninitialized = body.uninitialized();
    joinCandidate = body.joinCandidate();
    voter = body.voter();
    proposal = body.proposal();
    accepted = Boolean.TRUE.equals(body.accepted());
    membershipVersion = body.membershipVersion();
    receivesFromThisNode = body.reachablePeers().contains(thisNodeId);
  }

  /** Moves on to the position that an update of the peer's change feed reaches. */
  public void recordFeedUpdate(ChangeFeedUpdate update) {
    if (update.echoedAt() != 0) {
      lastConfirmedAt = Math.max(lastConfirmedAt, update.echoedAt());
    }
    feedId = update.sourceId();
    feedIncarnation = update.incarnation();
    feedPosition = update.position();
  }

  /** When the last heartbeat was received; far in the past before the first. */
  long lastHeartbeatAt() {
    return lastHeartbeatAt;
  }

  /** The peer as it describes itself; null before its first heartbeat. */
  public QuorumMember member() {
    return member;
  }

  /** Whether the peer knows of no membership and may take part in forming one. */
  boolean isUninitialized() {
    return uninitialized;
  }

  /** Whether the peer knows the membership, is not in it, and could join it. */
  public boolean isJoinCandidate() {
    return joinCandidate;
  }

  /** Whether the peer's settings allow it to be a member. */
  boolean isVoter() {
    return voter;
  }

  /** The initial membership that the peer proposes or relays; null if there is none. */
  QuorumMembership proposal() {
    return proposal;
  }

  /** Whether the peer has durably accepted {@link #proposal()}. */
  boolean hasAccepted() {
    return accepted;
  }

  /** Version of the membership that the peer knows; 0 if none. */
  long membershipVersion() {
    return membershipVersion;
  }

  /** Whether the peer reported that it receives this node's heartbeats. */
  boolean receivesFromThisNode() {
    return receivesFromThisNode;
  }

  /** Id of the process whose change feed was followed last at this address; empty if none. */
  public String feedId() {
    return feedId;
  }

  /** Incarnation of the process {@link #feedId()}. */
  public long feedIncarnation() {
    return feedIncarnation;
  }

  /** The position reached in the feed of that process; 0 before its first update. */
  public long feedPosition() {
    return feedPosition;
  }

  /**
   * When this node sent the newest poll that the peer responded to with a complete view; far in the
   * past before the first.
   */
  public long lastConfirmedAt() {
    return lastConfirmedAt;
  }
}
