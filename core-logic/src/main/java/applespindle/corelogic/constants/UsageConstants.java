package applespindle.corelogic.constants;

/** Times and bounds of usage reports and of the estimate of true time. */
public final class UsageConstants {
  /**
   * Length of the slots in which an edge counts. Bounds the error at each end of a window; two
   * percent of a window of five seconds.
   */
  public static final long SLOT_MS = 100;

  /**
   * How long an edge keeps the counts of a window that is not closed. Long enough for the loss and
   * the return of a majority of the control plane.
   */
  public static final long MAX_RETENTION_MS = 120_000;

  /**
   * Reports in each window. What an edge began since its last one is missing if it dies: with four,
   * a tenth of a window on average and a quarter at most, of that edge's part. They also find a new
   * holder of the duty, and bring it all that is open, well before the window is due.
   */
  public static final int REPORTS_PER_WINDOW = 4;

  /** The reports of all edges are spread over this time, and at most over their interval. */
  public static final long SPREAD_MS = 1_000;

  /** How long an edge tries to bring one report to the holder. */
  public static final long REPORT_TIMEOUT_MS = 2_000;

  /** Pause after a report that was not answered, or answered without the true time. */
  public static final long RETRY_DELAY_MS = 500;

  /** How long a stopping edge waits until its last report is answered. */
  public static final long FLUSH_TIMEOUT_MS = 300;

  /** How far a new sample of true time may differ beyond what the round trips explain. */
  public static final long OFFSET_TOLERANCE_MS = 50;

  /** An answer that took longer says too little about the clocks at both ends. */
  public static final long MAX_CLOCK_ROUND_TRIP_MS = 400;

  /** A node whose last sample is older than this has no part in the estimate of true time. */
  public static final long CLOCK_SAMPLE_EXPIRY_MS = 30_000;

  /** Wall clocks that are right differ by less; a step is longer. */
  public static final long CLOCK_AGREEMENT_MS = 250;

  /** How long a new holder waits for the wall clocks of a majority before it goes by a few. */
  public static final long CLOCK_WAIT_MS = 4_000;

  /** So many clocks tell which one of them is off. */
  public static final int MIN_CLOCKS = 3;

  /** How long a new holder waits before it goes by any clock, its own if need be. */
  public static final long MAX_CLOCK_WAIT_MS = 15_000;

  /**
   * How long a new holder closes nothing: edges that lost their leases with the former leader have
   * them again by then, and count as live.
   */
  public static final long SETTLE_MS = 2_000;

  /** Shortest time from the end of a window to its closing: reports are on their way. */
  public static final long MIN_GRACE_MS = 1_500;

  /**
   * Part of the time until a window is due after which it is closed without the edges that have not
   * reported it.
   */
  public static final double MAX_GRACE_PART = 0.7;

  /** A process that has not reported for this many windows is forgotten by the holder. */
  public static final long KEPT_WINDOWS = 20;

  private UsageConstants() {}
}
