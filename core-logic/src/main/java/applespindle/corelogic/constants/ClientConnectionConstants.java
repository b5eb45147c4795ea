package applespindle.corelogic.constants;

/** Clients' connections to an edge. Times are monotonic milliseconds. */
public final class ClientConnectionConstants {
  /**
   * A client's head must come within this unless the bundle says otherwise: several lost packets
   * long.
   */
  public static final long HEAD_TIMEOUT_MS = 10_000;

  /**
   * A client may be silent in the middle of a body, or on a connection of no use so far, for this
   * long.
   */
  public static final long IDLE_TIMEOUT_MS = 60_000;

  /**
   * A connection of a client whose time is up is looked at once more after this: what came while
   * the process stood still lies unread until then.
   */
  public static final long FINAL_READ_DELAY_MS = 50;

  private ClientConnectionConstants() {}
}
