package applespindle.corelogic.constants;

/** Timeouts and retry delays of live requests at an edge. Times are monotonic milliseconds. */
public final class LiveRequestConstants {
  /**
   * Shortest time without data that is taken as a sign of failure: pauses of garbage collectors and
   * of the network are shorter.
   */
  public static final long MIN_SILENCE_TIMEOUT_MS = 250;

  /**
   * A worker from which no run receives data counts as silent after this multiple of the longest
   * permitted pause between events.
   */
  public static final int SILENCE_TIMEOUT_GAPS = 4;

  /** Interval at which runs are checked for silence, while there are any. */
  public static final long SILENCE_CHECK_INTERVAL_MS = 100;

  /**
   * Requests that expire within this time of each other are ended by one check, as each check goes
   * through all open requests.
   */
  public static final long MIN_EXPIRY_CHECK_INTERVAL_MS = 10;

  /**
   * Shortest retry delay that a rejected client is given: a slot becomes free within the duration
   * of one request.
   */
  public static final long MIN_RETRY_AFTER_MS = 50;

  /** Longest retry delay that a rejected client is given. */
  public static final long MAX_RETRY_AFTER_MS = 2_000;

  /**
   * Longest retry delay, in seconds, that is derived from the present rate: it says little about a
   * later time.
   */
  public static final int MAX_RETRY_AFTER_S = 30;

  /** Timeout of a live request whose rule states none. */
  public static final long DEFAULT_TIMEOUT_MS = 10_000;

  /**
   * Interval at which a blank is written ahead of a JSON response that is not ready yet: the HTTP
   * library notices that a client has disconnected only when it writes to it.
   */
  public static final long WHITESPACE_KEEPALIVE_MS = 500;

  /** Longest time without data within a worker's stream before the run counts as truncated. */
  public static final long STREAM_SILENCE_TIMEOUT_MS = 5_000;

  private LiveRequestConstants() {}
}
