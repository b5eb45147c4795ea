package applespindle.corelogic.constants;

/** Start, shutdown and timers of a process. Times are monotonic milliseconds. */
public final class LifecycleConstants {
  /**
   * A stopping edge says so on /ready and goes on taking work this long, so that the platform can
   * notice first: it asks each second and believes two answers.
   */
  public static final long SHUTDOWN_NOTICE_MS = 2_300;

  /**
   * From here on such an edge begins no batch items, so that those it runs have mostly ended with
   * the notice.
   */
  public static final long SHUTDOWN_DISPATCH_END_MS = 800;

  /**
   * How long it waits for these beyond the notice; another edge runs the rest again, a restart is
   * longer with each moment.
   */
  public static final long SHUTDOWN_ITEM_GRACE_MS = 400;

  /** How often a stopping node looks whether all that ran has ended: a small part of a restart. */
  public static final long DRAIN_CHECK_INTERVAL_MS = 50;

  /**
   * A start that takes longer than this is no matter of a moment, and whoever comes is refused at
   * once.
   */
  public static final long MAX_STARTUP_MS = 2_000;

  /**
   * A request that comes to a starting node waits this long at the most, and so many do: a refusal
   * uses up one of few tries.
   */
  public static final long STARTUP_HOLD_MS = 500;

  public static final int MAX_STARTUP_HELD_REQUESTS = 500;

  /**
   * A client that came before a starting node had the core's news is told to come back after this:
   * most starts end sooner.
   */
  public static final long STARTUP_RETRY_AFTER_MS = 250;

  /** Time a polite stop leaves to running live responses. */
  public static final long DRAIN_TIMEOUT_MS = 8_000;

  /** A stopping process is done this long before it would be killed. */
  public static final long SHUTDOWN_MARGIN_MS = 500;

  /** Entries of the in-memory journal. */
  public static final int MAX_TRACE_EVENTS = 8_192;

  /**
   * Timers of at least this length end at the next multiple of the grain, so that beats share their
   * wake-ups.
   */
  public static final long MIN_COALESCED_TIMER_MS = 200;

  public static final long TIMER_GRANULARITY_MS = 50;

  private LifecycleConstants() {}
}
