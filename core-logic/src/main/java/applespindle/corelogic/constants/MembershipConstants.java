package applespindle.corelogic.constants;

/**
 * Leases of nodes, the quorum of the control plane, and the list of edges. Times are monotonic
 * milliseconds.
 */
public final class MembershipConstants {
  /**
   * Interval at which a node renews its lease: four attempts fit into {@link #LEASE_DURATION_MS},
   * so one lost message has no effect.
   */
  public static final long LEASE_RENEWAL_INTERVAL_MS = 500;

  /**
   * Duration of a member's lease: bounds how long a failed edge counts as responsible for its work
   * to the other nodes.
   */
  public static final long LEASE_DURATION_MS = 2_000;

  /**
   * Interval between heartbeats of control plane nodes: five fit into {@link
   * #QUORUM_PEER_TIMEOUT_MS}.
   */
  public static final long QUORUM_HEARTBEAT_INTERVAL_MS = 200;

  /**
   * A control plane node whose last check of its members' leases is longer ago than this assumes
   * that it was suspended itself: three checks.
   */
  public static final long SUSPENSION_THRESHOLD_MS = 600;

  /**
   * Time without a heartbeat after which a control plane node is left out of the order in which
   * nodes become leader: five lost heartbeats.
   */
  public static final long QUORUM_PEER_TIMEOUT_MS = 1_000;

  /**
   * Time for which a control plane node must be left out of that order before it is replaced by a
   * candidate. Together with the timeout this is longer than a quick restart; with the catch-up of
   * the replacement it is short enough that a lost member is replaced before the next is likely to
   * fail.
   */
  public static final long QUORUM_MEMBER_REPLACEMENT_DELAY_MS = 1_500;

  /**
   * Time without a new voter after which the first seed proposes the initial quorum, so that nodes
   * of all zones can be members.
   */
  public static final long BOOTSTRAP_STABLE_MS = 1_000;

  /**
   * Time after which the initial quorum is formed by fewer voters than configured: longer than the
   * start times of slow machines differ.
   */
  public static final long BOOTSTRAP_REDUCED_QUORUM_DELAY_MS = 8_000;

  /**
   * Interval at which a process without contact to the control plane tries to find it: short
   * compared with a start, and no load on the seeds.
   */
  public static final long QUORUM_DISCOVERY_INTERVAL_MS = 500;

  /**
   * In one in this many discovery intervals, a member tells the seeds that are no members where the
   * control plane is.
   */
  public static final int SEED_NOTIFICATION_ONE_IN = 4;

  /**
   * Time without a new edge after which the first list of edges is made: machines of a deployment
   * start within about a second of each other.
   */
  public static final long EDGE_LIST_STABLE_MS = 1_000;

  /**
   * Least time between two changes of the list of edges: longer than a control plane node may lag
   * behind before it considers itself stale.
   */
  public static final long EDGE_LIST_CHANGE_INTERVAL_MS = 2_000;

  /**
   * Time without a lease after which an edge is removed from the list: longer than a restart takes.
   */
  public static final long EDGE_REMOVAL_DELAY_MS = 10_000;

  private MembershipConstants() {}
}
