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

  /**
   * How long a request waits for room for its body before it is refused: long enough for the
   * requests before it to end, short enough to be served by another edge.
   */
  public static final long MAX_BODY_WAIT_MS = 500;

  /** How long a client that found no room should wait before it tries again. */
  public static final long BODY_RETRY_MS = 500;

  /**
   * Size, in bytes, up to which a body of unknown length is read before room for more is needed.
   */
  public static final int FIRST_BODY_BYTES = 64 << 10;

  /** Size, in bytes, up to which a body of known length is reserved whole before it is read. */
  public static final int WHOLE_BODY_BYTES = 1 << 20;

  /**
   * Bytes of a larger body that must have come before the rest is reserved: a slow sender holds no
   * more for long.
   */
  public static final int FIRST_LARGE_BODY_BYTES = 256 << 10;

  /** How long a submission waits for those before it. */
  public static final long MAX_SUBMISSION_WAIT_MS = 1_500;

  /**
   * Bytes of heap for which an item is asked of its leader: a small body is in the response, of a
   * large one the response says where it is.
   */
  public static final int SMALL_ITEM_BYTES = 128 << 10;

  /**
   * Interval in which the pace of large bodies is checked while others wait for the memory that
   * they hold, in milliseconds.
   */
  public static final long PACE_INTERVAL_MS = 1_000;

  /** Least bytes of a large body, in an interval, of a client whose memory others wait for. */
  public static final int MIN_PACE_BYTES = 128 << 10;

  /** Size, in bytes, from which responses are counted while they are written. */
  public static final int COUNTED_RESPONSE_BYTES = 64 << 10;

  /** Size, in bytes, of the parts in which a body of an item is written to its client. */
  public static final int ITEM_BODY_PART_BYTES = 128 << 10;

  /** Largest part of a request's body, in bytes, that is written to a worker at once. */
  public static final int MAX_BODY_WRITE_BYTES = 128 << 10;

  private ClientConnectionConstants() {}
}
