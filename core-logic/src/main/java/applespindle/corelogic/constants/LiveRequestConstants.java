package applespindle.corelogic.constants;

/** Live requests at an edge. Times are monotonic milliseconds. */
public final class LiveRequestConstants {
  /** Least silence that means anything: pauses of collectors and of the network are shorter. */
  public static final long MIN_SILENCE_TIMEOUT_MS = 250;

  /**
   * A pause between events this many times the longest allowed means silence, if the whole worker
   * is silent.
   */
  public static final int SILENCE_TIMEOUT_GAPS = 4;

  /** Runs are looked at for silence this often; only while there are any. */
  public static final long SILENCE_CHECK_INTERVAL_MS = 100;

  /**
   * Requests whose expiry passes within this are ended by one look: each goes through all that are
   * open.
   */
  public static final long MIN_EXPIRY_CHECK_INTERVAL_MS = 10;

  /**
   * Least and longest time a refused client is told to stay away: slots free up within one
   * request's time.
   */
  public static final long MIN_RETRY_AFTER_MS = 50;

  public static final long MAX_RETRY_AFTER_MS = 2_000;

  /** Longest wait a sender is told of: what is known of the pace now says little of later. */
  public static final int MAX_RETRY_AFTER_S = 30;

  /** Expiry of a live request whose rule names none. */
  public static final long DEFAULT_TIMEOUT_MS = 10_000;

  /**
   * A whole response that takes longer than this begins with blanks, one in each such time: the
   * HTTP library tells that a sender has gone only when something is written to it.
   */
  public static final long WHITESPACE_KEEPALIVE_MS = 500;

  /** Longest silence within a worker's stream before the run counts as cut. */
  public static final long STREAM_SILENCE_TIMEOUT_MS = 5_000;

  private LiveRequestConstants() {}
}
