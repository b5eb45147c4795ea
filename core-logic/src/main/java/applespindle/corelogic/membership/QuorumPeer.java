package applespindle.corelogic.membership;

import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;

/** Another process of the core as its pings and its change feed last showed it. */
public final class QuorumPeer {
  /** When its last ping came, on this node's clock. */
  long lastHeardAt = Long.MIN_VALUE / 2;

  /** Null until its first ping, as only its address is known by then. */
  public QuorumMember member;

  /** Knows of no membership at all. */
  boolean uninitialized;

  /** Knows the membership, is not in it, and could be. */
  public boolean joinCandidate;

  boolean voter;

  /** The membership it proposes or passes on while none is formed; null if there is none. */
  QuorumMembership proposal;

  /** Whether it has accepted that proposal. */
  boolean accepted;

  long membershipVersion;

  /** Whether it said that it hears this process. */
  boolean hearsThisNode;

  /** The feed that was followed last, and the position reached in it. */
  public String feedId = "";

  public long feedIncarnation;
  public long feedPosition;

  /** When the poll was sent, on this node's clock, that its newest updates responded to. */
  public long updatedAt = Long.MIN_VALUE / 2;
}
