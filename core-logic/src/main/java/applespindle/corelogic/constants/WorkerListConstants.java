package applespindle.corelogic.constants;

/** Polling of the external list of workers. Times are monotonic milliseconds. */
public final class WorkerListConstants {
  /**
   * Interval between polls while the list does not change: with a change of leader, commit and push
   * it stays well below drainMs; each call costs money.
   */
  public static final long POLL_INTERVAL_MS = 700;

  /** Interval between polls right after a change, at the start, and while a result is doubted. */
  public static final long FAST_POLL_INTERVAL_MS = 250;

  /** Number of unchanged results after which polls return to {@link #POLL_INTERVAL_MS}. */
  public static final int FAST_POLLS = 3;

  /** Delay after a failed poll. */
  public static final long RETRY_DELAY_MS = 200;

  /** Timeout of a poll, after which it counts as failed. */
  public static final long READ_TIMEOUT_MS = 1_000;

  /**
   * A leader whose polls have failed for this long hands leadership over: half of drainMs, as the
   * next leader polls at once.
   */
  public static final long LEADERSHIP_TRANSFER_DELAY_MS = 1_200;

  /**
   * Largest number of pages of one list: a list with more has a page token that leads back to an
   * earlier page.
   */
  public static final int MAX_PAGES = 1_000;

  private WorkerListConstants() {}
}
