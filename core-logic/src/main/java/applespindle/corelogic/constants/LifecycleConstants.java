package applespindle.corelogic.constants;

/** Durations of start, shutdown and timers of a process. Times are monotonic milliseconds. */
public final class LifecycleConstants {
  /**
   * How long a stopping edge reports itself as not ready on /ready but still accepts work, so that
   * the platform stops sending requests first: the platform probes each second and acts on two
   * equal results.
   */
  public static final long SHUTDOWN_NOTICE_MS = 2_300;

  /**
   * Time into {@link #SHUTDOWN_NOTICE_MS} from which a stopping edge starts no more batch items, so
   * that most of those that it runs have ended with the notice.
   */
  public static final long SHUTDOWN_DISPATCH_END_MS = 800;

  /**
   * How long a stopping edge waits for its batch items beyond the notice. Another edge runs the
   * rest again; waiting longer would lengthen each restart.
   */
  public static final long SHUTDOWN_ITEM_GRACE_MS = 400;

  /**
   * Interval at which a stopping node checks whether all running work has ended: a small part of a
   * restart.
   */
  public static final long DRAIN_CHECK_INTERVAL_MS = 50;

  /**
   * Time into a start after which requests are no longer held but rejected at once: a start that
   * takes longer is unlikely to end within a moment.
   */
  public static final long MAX_STARTUP_MS = 2_000;

  /**
   * Longest time that a request to a starting node is held before it is rejected: a rejection uses
   * up one of a client's few attempts.
   */
  public static final long STARTUP_HOLD_MS = 500;

  /** Number of requests that a starting node holds at a time. */
  public static final int MAX_STARTUP_HELD_REQUESTS = 500;

  /**
   * Retry delay that is returned to clients of a starting node that has no metadata yet: most
   * starts end sooner.
   */
  public static final long STARTUP_RETRY_AFTER_MS = 250;

  /** How long a graceful shutdown waits for running live responses. */
  public static final long DRAIN_TIMEOUT_MS = 8_000;

  /** A stopping process ends this long before the platform would kill it. */
  public static final long SHUTDOWN_MARGIN_MS = 500;

  /** Number of events that the in-memory trace log holds. */
  public static final int MAX_TRACE_EVENTS = 8_192;

  /**
   * Timers of at least this duration are rounded up to a multiple of {@link #TIMER_GRANULARITY_MS},
   * so that periodic tasks share wake-ups.
   */
  public static final long MIN_COALESCED_TIMER_MS = 200;

  /** The multiple to which longer timers are rounded up. */
  public static final long TIMER_GRANULARITY_MS = 50;

  private LifecycleConstants() {}
}
