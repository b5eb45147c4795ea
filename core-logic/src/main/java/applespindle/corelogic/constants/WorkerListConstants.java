package applespindle.corelogic.constants;

/** Reading the external list of workers. Times are monotonic milliseconds. */
public final class WorkerListConstants {
  /**
   * Pause between two reads in calm: with takeover, commit and push it stays well below drainMs;
   * each call has a price.
   */
  public static final long POLL_INTERVAL_MS = 700;

  /**
   * Pause right after a change, at the start, and while a read is doubted; and how many unchanged
   * reads end that.
   */
  public static final long FAST_POLL_INTERVAL_MS = 250;

  public static final int FAST_POLLS = 3;

  /** Pause after a fault; a read without an end for longer than the second counts as one. */
  public static final long RETRY_DELAY_MS = 200;

  public static final long READ_TIMEOUT_MS = 1_000;

  /**
   * An owner that could not read for this long hands the duty on: half of drainMs, as the next one
   * reads at once.
   */
  public static final long LEADERSHIP_TRANSFER_DELAY_MS = 1_200;

  /** More pages than this are no list: a token that leads in a circle. */
  public static final int MAX_PAGES = 1_000;

  private WorkerListConstants() {}
}
