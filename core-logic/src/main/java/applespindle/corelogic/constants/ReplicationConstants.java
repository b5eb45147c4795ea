package applespindle.corelogic.constants;

/** Replicated logs: leaders, elections and catch-up. Times are monotonic milliseconds. */
public final class ReplicationConstants {
  /** How often an owner repeats itself to its replicas; also resends what a replica lacks. */
  public static final long HEARTBEAT_INTERVAL_MS = 250;

  /**
   * An append that carries this much is not sent again to a replica so soon: it may still be on its
   * way there, together with those to the other replicas.
   */
  public static final int LARGE_APPEND_BYTES = 16 << 10;

  public static final long LARGE_APPEND_MIN_MS = 600;

  /** What a slow machine's link surely carries: somewhat over half of 21 Mbit/s. */
  public static final long SLOW_LINK_BYTES_PER_MS = 1_500;

  /**
   * A core key's replica that lacks nothing gets each so-manieth beat: greetings tell that the
   * owner lives.
   */
  public static final int IDLE_HEARTBEAT_ONE_IN = 16;

  /**
   * A replica turns a claimant away while it heard another owner this recently. Only liveness rests
   * on it.
   */
  public static final long LEADER_TIMEOUT_MS = 1_000;

  /**
   * An owner that no majority answered for this long tells its replicas so, and they let others
   * claim the key. As long as a replica bears silence of an owner: the two ways of a cut end alike.
   */
  public static final long QUORUM_CONTACT_TIMEOUT_MS = LEADER_TIMEOUT_MS;

  /**
   * An owner that no majority answered for this long steps down. Longer than its commands wait:
   * disks that stall for a moment, or one large append, cost no ownership.
   */
  public static final long LEADER_STEP_DOWN_MS = 3_000;

  /** How long a claimant waits for promises before it tries again under a higher epoch. */
  public static final long ELECTION_ROUND_TIMEOUT_MS = 600;

  /**
   * Of a log longer than this a promise brings only the last entries: every replica promises, and
   * the claimant needs one log.
   */
  public static final int MAX_VOTE_TAIL_BYTES = 16 << 10;

  /** Entries of a log that a claimant gets at once, unless a single one is larger. */
  public static final int MAX_LOG_FETCH_BYTES = 256 << 10;

  /**
   * A part of a log that has not come after this is asked for elsewhere too, later ones after twice
   * as long each: one entry may have a megabyte, which takes 400 ms on an idle link of 21 Mbit/s.
   */
  public static final long LOG_FETCH_TIMEOUT_MS = 1_000;

  /** A claimant that got no part of the log for this long gives its claim up. */
  public static final long LOG_TRANSFER_TIMEOUT_MS = 6_000;

  /** Random wait after a refused claim, at most: keeps two claimants from meeting again at once. */
  public static final long MAX_ELECTION_BACKOFF_MS = 200;

  /**
   * How long a command may wait for its majority before its sender hears that the outcome is
   * unknown.
   */
  public static final long COMMIT_TIMEOUT_MS = 2_500;

  /**
   * An owner of a log with deltas writes a whole-state entry this often, so that logs stay short.
   */
  public static final int SNAPSHOT_INTERVAL_ENTRIES = 64;

  /**
   * A claim that has not got its majority in this time is given up; the caller hears of no
   * majority.
   */
  public static final long ELECTION_TIMEOUT_MS = 2_500;

  /**
   * Size of a page of copied keys, and the pause between two: at most some 12 MB a second for each
   * shard that is copied.
   */
  public static final int MAX_CATCH_UP_PAGE_BYTES = 256 << 10;

  public static final long CATCH_UP_PAGE_DELAY_MS = 20;

  /** How often a newcomer says again that it has copied, until the core has taken it in. */
  public static final long CATCH_UP_REPORT_INTERVAL_MS = 1_000;

  /**
   * A newcomer goes on to the next source after this long at the latest; most sets are copied in
   * less.
   */
  public static final long CATCH_UP_NEXT_SOURCE_DELAY_MS = 300;

  private ReplicationConstants() {}
}
