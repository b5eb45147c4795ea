package applespindle.corelogic;

import applespindle.corelogic.Records.CoreMember;
import applespindle.corelogic.Records.Roster;

/** Another process of the core as its pings and its change feed last showed it. */
final class CorePeer {
  /** When its last ping came, on this node's clock. */
  long heardAt = Long.MIN_VALUE / 2;

  /** Null until its first ping, as only its address is known by then. */
  CoreMember member;

  /** Knows of no membership at all. */
  boolean blank;

  /** Knows the membership, is not in it, and could be. */
  boolean candidate;

  boolean voter;

  /** The membership it proposes or passes on while none is formed; null if there is none. */
  Roster proposal;

  /** Whether it has accepted that proposal. */
  boolean accepted;

  long rosterNumber;

  /** Whether it said that it hears this process. */
  boolean hearsUs;

  /** The feed that was followed last, and the position reached in it. */
  String feedId = "";

  long feedIncarnation;
  long feedNumber;

  /** When the poll was sent, on this node's clock, that its newest updates responded to. */
  long newsAt = Long.MIN_VALUE / 2;
}
