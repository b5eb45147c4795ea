package applespindle.corelogic.constants;

/**
 * Leases of nodes, the control plane's quorum, and the list of edges. Times are monotonic
 * milliseconds.
 */
public final class MembershipConstants {
  /**
   * How often a node renews its grant: four tries fit in one grant, so one lost message costs
   * nothing.
   */
  public static final long LEASE_RENEWAL_INTERVAL_MS = 500;

  /**
   * Length of a member's grant: bounds how long a dead edge keeps its duties in the others' view.
   */
  public static final long LEASE_DURATION_MS = 2_000;

  /** How often core nodes greet each other: several fit into {@link #QUORUM_PEER_TIMEOUT_MS}. */
  public static final long QUORUM_HEARTBEAT_INTERVAL_MS = 200;

  /**
   * A core node that looks at its members' grants this long after it last did has stood still:
   * three looks.
   */
  public static final long SUSPENSION_THRESHOLD_MS = 600;

  /** A core node unheard for this long is left out of the agreed order: five lost greetings. */
  public static final long QUORUM_PEER_TIMEOUT_MS = 1_000;

  /**
   * A core member that is out of the agreed order for this long is replaced if a candidate is
   * there: together longer than a quick restart, and short enough that with the copying a lost
   * member is made good before the next may be lost.
   */
  public static final long QUORUM_MEMBER_REPLACEMENT_DELAY_MS = 1_500;

  /**
   * The first seed proposes members once no new blank voter came for this long: machines of all
   * zones shall be among them.
   */
  public static final long BOOTSTRAP_SETTLE_MS = 1_000;

  /**
   * With fewer voters than wanted for this long, the most there are found the core: longer than
   * slow machines start apart.
   */
  public static final long BOOTSTRAP_REDUCED_QUORUM_DELAY_MS = 8_000;

  /**
   * How often a process asks for the core while it hears nothing of it: short beside a start, and
   * no load on seeds.
   */
  public static final long QUORUM_DISCOVERY_INTERVAL_MS = 500;

  /** At how many of these a member tells seeds that are no members where the core is. */
  public static final int SEED_NOTIFICATION_ONE_IN = 4;

  /**
   * The first list of edges is made once no new one has joined for this long: machines start within
   * a second or so.
   */
  public static final long EDGE_LIST_SETTLE_MS = 1_000;

  /**
   * Least time between two changes of the list of edges: longer than a core node may lag before it
   * calls itself stale.
   */
  public static final long EDGE_LIST_CHANGE_INTERVAL_MS = 2_000;

  /** An edge without a grant for this long is struck from the list: longer than a restart takes. */
  public static final long EDGE_REMOVAL_DELAY_MS = 10_000;

  private MembershipConstants() {}
}
