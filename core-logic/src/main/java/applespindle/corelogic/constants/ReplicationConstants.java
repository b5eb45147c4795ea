package applespindle.corelogic.constants;

/** Replicated logs: leaders, elections and catch-up. Times are monotonic milliseconds. */
public final class ReplicationConstants {
  /**
   * Interval between a leader's heartbeats to its replicas; a heartbeat also resends the entries
   * that a replica lacks.
   */
  public static final long HEARTBEAT_INTERVAL_MS = 250;

  /**
   * Size, in bytes, from which an append is large: it is not resent to a replica before {@link
   * #LARGE_APPEND_MIN_MS}, as it may still be in transit together with those to the other replicas.
   */
  public static final int LARGE_APPEND_BYTES = 16 << 10;

  /** Least time before a large append is resent. */
  public static final long LARGE_APPEND_MIN_MS = 600;

  /**
   * Transfer rate, in bytes a millisecond, that the link of a slow machine sustains: somewhat over
   * half of 21 Mbit/s.
   */
  public static final long SLOW_LINK_BYTES_PER_MS = 1_500;

  /**
   * A replica of a control plane log that lacks nothing is sent only one in this many heartbeats:
   * the quorum heartbeats already show that the leader is alive.
   */
  public static final int IDLE_HEARTBEAT_ONE_IN = 16;

  /**
   * A replica refuses its vote while it has heard from another leader this recently. Only liveness
   * depends on it, not safety.
   */
  public static final long LEADER_TIMEOUT_MS = 1_000;

  /**
   * A leader without contact to a majority for this long tells its replicas so, and they vote for
   * other candidates. The same time as {@link #LEADER_TIMEOUT_MS}, so that both sides of a
   * partition react alike.
   */
  public static final long QUORUM_CONTACT_TIMEOUT_MS = LEADER_TIMEOUT_MS;

  /**
   * A leader without contact to a majority for this long steps down. Longer than its commands wait:
   * disks that stall for a moment, or one large append, cause no change of leader.
   */
  public static final long LEADER_STEP_DOWN_MS = 3_000;

  /** How long a candidate waits for votes before it starts another round under a higher epoch. */
  public static final long ELECTION_ROUND_TIMEOUT_MS = 600;

  /**
   * Of a log longer than this, in bytes, a vote carries only the last entries: every replica votes,
   * but the candidate needs one complete log.
   */
  public static final int MAX_VOTE_TAIL_BYTES = 16 << 10;

  /**
   * Size, in bytes, of the part of a log that a candidate fetches at once, unless a single entry is
   * larger.
   */
  public static final int MAX_LOG_FETCH_BYTES = 256 << 10;

  /**
   * Timeout after which a part of a log is requested from another replica as well, doubled for each
   * later request: one entry may have a megabyte, which takes 400 ms on an idle link of 21 Mbit/s.
   */
  public static final long LOG_FETCH_TIMEOUT_MS = 1_000;

  /** A candidate that has received no part of the log for this long gives its candidacy up. */
  public static final long LOG_TRANSFER_TIMEOUT_MS = 6_000;

  /**
   * Upper limit of the random delay after a lost election: keeps two candidates from colliding
   * again at once.
   */
  public static final long MAX_ELECTION_BACKOFF_MS = 200;

  /**
   * How long a command may wait for its majority before its caller is told that the outcome is
   * unknown.
   */
  public static final long COMMIT_TIMEOUT_MS = 2_500;

  /**
   * Number of entries after which the leader of a log of deltas writes a snapshot, so that logs
   * stay short.
   */
  public static final int SNAPSHOT_INTERVAL_ENTRIES = 64;

  /**
   * Timeout after which an election without a majority is given up and the caller gets a no-quorum
   * error.
   */
  public static final long ELECTION_TIMEOUT_MS = 2_500;

  /**
   * Size, in bytes, of a page of keys that a new replica copies. With {@link
   * #CATCH_UP_PAGE_DELAY_MS} this limits catch-up to some 12 MB a second for each shard.
   */
  public static final int MAX_CATCH_UP_PAGE_BYTES = 256 << 10;

  /** Page requests of catch-up that a joining replica has under way at one source. */
  public static final int MAX_CONCURRENT_PAGE_REQUESTS = 4;

  /**
   * Size, in bytes, from which an event is left out of a page of catch-up and fetched in chunks.
   */
  public static final int MIN_DETACHED_ENTRY_BYTES = 64 << 10;

  /** Size, in bytes, of a chunk of a large entry. */
  public static final int ENTRY_CHUNK_BYTES = 128 << 10;

  /** Chunks of one entry that may be on their way at a time. */
  public static final int ENTRY_CHUNK_WINDOW = 4;

  /**
   * Large entries that a joining replica fetches at a time. With {@link #ENTRY_CHUNK_WINDOW} this
   * bounds the bytes on their way to it to 1 MB, well below what a connection may queue.
   */
  public static final int MAX_CONCURRENT_ENTRY_TRANSFERS = 2;

  /**
   * Sections of entries that a leader without a disk reads from replicas at a time. With {@link
   * #ENTRY_CHUNK_WINDOW} this bounds the bytes on their way to it to 4 MB.
   */
  public static final int MAX_CONCURRENT_SECTION_READS = 8;

  /**
   * Size, in bytes, from which a leader without a disk releases an applied event: smaller ones take
   * little more than what stays of them.
   */
  public static final int MIN_RELEASED_EVENT_BYTES = 512;

  /** Delay between two pages of catch-up. */
  public static final long CATCH_UP_PAGE_DELAY_MS = 20;

  /**
   * Interval at which a new replica repeats that it has caught up, until the control plane has
   * added it.
   */
  public static final long CATCH_UP_REPORT_INTERVAL_MS = 1_000;

  /**
   * Longest time before a new replica goes on to copy from the next source; most copies take less.
   */
  public static final long CATCH_UP_NEXT_SOURCE_DELAY_MS = 300;

  private ReplicationConstants() {}
}
