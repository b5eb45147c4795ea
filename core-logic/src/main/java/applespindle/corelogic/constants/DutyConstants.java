package applespindle.corelogic.constants;

/** The duties at the platform. Times are monotonic milliseconds. */
public final class DutyConstants {
  /**
   * Time after which a call without an answer counts as one with an unknown outcome: longer than
   * the adapter's own limit, which usually ends the call.
   */
  public static final long CALL_TIMEOUT_MS = 3_000;

  /** Delay after the first failed call; doubled for each further one. */
  public static final long MIN_BACKOFF_MS = 250;

  /**
   * Longest delay after a failed call: a report is late some seconds after its window was closed.
   */
  public static final long MAX_BACKOFF_MS = 4_000;

  /** Delay after the log did not commit or confirm, before the next attempt. */
  public static final long LOG_RETRY_DELAY_MS = 500;

  /**
   * A holder whose calls all went unanswered for this long hands the duty over: only this node may
   * be cut off from the platform, and the next holder still reports in time.
   */
  public static final long TRANSFER_DELAY_MS = 5_000;

  /**
   * Time after which finished intents are marked in the log, unless the next intents bring the mark
   * along: longer than a window of usage, so that windows need one append each.
   */
  public static final long MARK_DELAY_MS = 8_000;

  /**
   * Largest number of windows written down and not yet taken by the platform. More wait at their
   * source: each append holds all of them.
   */
  public static final int MAX_OPEN_WINDOWS = 64;

  /** Numbers of failed calls in a row at which, and at whose multiples, a line is logged. */
  public static final int LOGGED_FAILURES = 3;

  /**
   * Part of the permitted rate of calls that one duty uses: each of the two duties has its own
   * holder.
   */
  public static final double RATE_SHARE = 0.5;

  private DutyConstants() {}
}
