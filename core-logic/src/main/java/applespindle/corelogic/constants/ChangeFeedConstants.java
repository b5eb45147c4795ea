package applespindle.corelogic.constants;

/**
 * The change feed of metadata and the acknowledgement of updates. Times are monotonic milliseconds.
 */
public final class ChangeFeedConstants {
  /** How often a follower asks from its place on; changes are pushed at once in between. */
  public static final long POLL_INTERVAL_MS = 300;

  /**
   * The same before the first news, as nothing can be served without; a tenth of a second is no
   * load on a few core nodes.
   */
  public static final long INITIAL_POLL_INTERVAL_MS = 100;

  /**
   * Before the first news a follower changes its core node after this: much longer than one that is
   * up takes.
   */
  public static final long INITIAL_SOURCE_TIMEOUT_MS = 250;

  /** A follower changes its core node when it heard nothing for this long. */
  public static final long SOURCE_TIMEOUT_MS = 900;

  /**
   * How often a follower that was driven to another zone's core member asks for the nearest one.
   */
  public static final long NEAREST_SOURCE_CHECK_INTERVAL_MS = 5_000;

  /**
   * Oldest feed on which an edge begins new work: leaves half a second of the 3 s for leaving
   * workers.
   */
  public static final long STALE_AFTER_MS = 2_500;

  /**
   * A whole table is not sent to the same follower again before this many bytes a millisecond had
   * time to arrive: 2 Mbit/s.
   */
  public static final long SNAPSHOT_BYTES_PER_MS = 256;

  /** And at the latest after this. */
  public static final long MAX_SNAPSHOT_TRANSFER_MS = 1_000;

  /**
   * How long an acknowledgement waits for every edge before a majority of them is enough: the
   * brief's 2 s.
   */
  public static final long ALL_EDGES_WAIT_MS = 2_000;

  /**
   * The same wait where edges that are cut off do not count: those that hear the core have the news
   * in far less.
   */
  public static final long CONNECTED_EDGES_WAIT_MS = 400;

  /**
   * A fellow edge counts as reached for this long after it was asked: two lost polls, and less than
   * the brief's 2 s.
   */
  public static final long PEER_EDGE_TIMEOUT_MS = 900;

  /**
   * An edge asks its fellows once it has not heard the core for this long: early enough that their
   * answers are here before its news are stale, and late enough that a slow moment asks nobody.
   */
  public static final long PEER_EDGE_POLL_AFTER_MS = STALE_AFTER_MS - PEER_EDGE_TIMEOUT_MS;

  /** To how many fellows a poll an edge that does not hear the core says what it works by. */
  public static final int PEER_EDGES_NOTIFIED = 3;

  /** How many members a node that looks for the core asks at a time, in turn. */
  public static final int DISCOVERY_FANOUT = 5;

  private ChangeFeedConstants() {}
}
