package applespindle.corelogic.constants;

/** Connections from an edge to workers. Times are monotonic milliseconds. */
public final class WorkerConnectionConstants {
  /** A worker that does not take a connection within this is behind a cut or without power. */
  public static final long CONNECT_TIMEOUT_MS = 300;

  /**
   * Idle connections to a worker are closed this long before the worker would, and after this time
   * where it tells none.
   */
  public static final long IDLE_TIMEOUT_MARGIN_MS = 400;

  public static final long DEFAULT_IDLE_TIMEOUT_MS = 300;

  /**
   * Longest time a connection to a worker is kept idle whatever the worker says, and the most of
   * them: all edges share what connections a worker accepts, and its address may change hands.
   */
  public static final long MAX_IDLE_TIMEOUT_MS = 10_000;

  public static final int MAX_IDLE_CONNECTIONS = 8;

  /**
   * Idle connections are looked through this often: a second late does no harm, as each is looked
   * at before its use.
   */
  public static final long IDLE_SWEEP_INTERVAL_MS = 1_000;

  /** Bytes of a worker's head, and of one event or piece: more is no answer. */
  public static final int MAX_HEAD_BYTES = 64 << 10;

  public static final int MAX_EVENT_BYTES = 4 << 20;

  /** Interim heads (1xx) before one response: more is no answer. */
  public static final int MAX_INTERIM_HEADS = 8;

  private WorkerConnectionConstants() {}
}
