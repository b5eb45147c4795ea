package applespindle.corelogic.constants;

/**
 * Intervals and timeouts of the change feed, which distributes metadata from the control plane to
 * all nodes, and of the acknowledgement of updates. Times are monotonic milliseconds.
 */
public final class ChangeFeedConstants {
  /**
   * Interval at which a follower polls for changes after its position; in between, changes are
   * pushed at once.
   */
  public static final long POLL_INTERVAL_MS = 300;

  /**
   * The polling interval before the first metadata has arrived, as a node serves nothing without
   * it; ten polls a second are no load on a few control plane nodes.
   */
  public static final long INITIAL_POLL_INTERVAL_MS = 100;

  /**
   * Before the first metadata, time without a response after which a follower switches to another
   * control plane node: much longer than a node that is up takes.
   */
  public static final long INITIAL_SOURCE_TIMEOUT_MS = 250;

  /** Time without a message after which a follower switches to another control plane node. */
  public static final long SOURCE_TIMEOUT_MS = 900;

  /**
   * Interval at which a follower that had to switch to a control plane node of another zone tries
   * to return to the nearest one.
   */
  public static final long NEAREST_SOURCE_CHECK_INTERVAL_MS = 5_000;

  /**
   * Greatest age of the feed at which an edge accepts new work: leaves half a second of the 3 s
   * within which workers that leave must get no more requests.
   */
  public static final long STALE_AFTER_MS = 2_500;

  /**
   * Assumed least transfer rate of a snapshot, in bytes a millisecond (2 Mbit/s): a snapshot is not
   * sent to the same follower again before the last one can have arrived at this rate.
   */
  public static final long SNAPSHOT_BYTES_PER_MS = 256;

  /** Longest time before a snapshot may be sent to the same follower again, whatever its size. */
  public static final long MAX_SNAPSHOT_TRANSFER_MS = 1_000;

  /**
   * How long the acknowledgement of an update waits for every edge before a majority of them is
   * sufficient: the 2 s of the requirements.
   */
  public static final long ALL_EDGES_WAIT_MS = 2_000;

  /**
   * The same wait where isolated edges are not counted: edges that are connected to the control
   * plane have the update in far less.
   */
  public static final long CONNECTED_EDGES_WAIT_MS = 400;

  /**
   * Time after a poll for which a peer edge counts as reachable: as long as two lost polls, and
   * less than {@link #ALL_EDGES_WAIT_MS}.
   */
  public static final long PEER_EDGE_TIMEOUT_MS = 900;

  /**
   * Time without a message from the control plane after which an edge polls its peer edges: early
   * enough that their responses arrive before its metadata is stale, and late enough that a brief
   * delay causes no polls.
   */
  public static final long PEER_EDGE_POLL_AFTER_MS = STALE_AFTER_MS - PEER_EDGE_TIMEOUT_MS;

  /**
   * Number of peer edges that an edge without contact to the control plane reports its metadata
   * version to in each poll.
   */
  public static final int PEER_EDGES_NOTIFIED = 3;

  /**
   * Number of control plane members that a node in search of the control plane asks at a time, in
   * turn.
   */
  public static final int DISCOVERY_FANOUT = 5;

  private ChangeFeedConstants() {}
}
