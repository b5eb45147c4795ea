package applespindle.corelogic.constants;

/** Connections from an edge to workers. Times are monotonic milliseconds. */
public final class WorkerConnectionConstants {
  /**
   * Timeout of establishing a connection: a worker that takes longer is partitioned from the edge
   * or down.
   */
  public static final long CONNECT_TIMEOUT_MS = 300;

  /** Idle connections to a worker are closed this long before the worker would close them. */
  public static final long IDLE_TIMEOUT_MARGIN_MS = 400;

  /** Time after which idle connections to a worker that announces no timeout are closed. */
  public static final long DEFAULT_IDLE_TIMEOUT_MS = 300;

  /**
   * Longest time that a connection to a worker stays idle, whatever the worker announces: all edges
   * share the number of connections that a worker accepts, and its address may be reassigned.
   */
  public static final long MAX_IDLE_TIMEOUT_MS = 10_000;

  /** Largest number of idle connections to one worker, for the same reason. */
  public static final int MAX_IDLE_CONNECTIONS = 8;

  /**
   * Interval at which idle connections are checked; a delay of a second does no harm, as each
   * connection is checked again before its use.
   */
  public static final long IDLE_SWEEP_INTERVAL_MS = 1_000;

  /** Largest head of a worker's response, in bytes; a larger one is malformed. */
  public static final int MAX_HEAD_BYTES = 64 << 10;

  /** Largest event or chunk of a worker's response, in bytes; a larger one is malformed. */
  public static final int MAX_EVENT_BYTES = 4 << 20;

  /** Largest number of interim responses (1xx) before the final one; more are malformed. */
  public static final int MAX_INTERIM_HEADS = 8;

  private WorkerConnectionConstants() {}
}
