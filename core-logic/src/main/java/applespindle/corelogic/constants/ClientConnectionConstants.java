package applespindle.corelogic.constants;

/** Timeouts of clients' connections to an edge. Times are monotonic milliseconds. */
public final class ClientConnectionConstants {
  /**
   * Time within which a client must have sent the head of a request, unless the configuration
   * states another: long enough for several lost packets.
   */
  public static final long HEAD_TIMEOUT_MS = 10_000;

  /**
   * Time for which a client may send nothing in the middle of a body, or on a connection that has
   * not been used yet.
   */
  public static final long IDLE_TIMEOUT_MS = 60_000;

  /**
   * Delay after which a connection that has timed out is read once more before it is closed: data
   * that arrived while the process was suspended is still unread at the timeout.
   */
  public static final long FINAL_READ_DELAY_MS = 50;

  private ClientConnectionConstants() {}
}
