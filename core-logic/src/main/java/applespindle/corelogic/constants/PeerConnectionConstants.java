package applespindle.corelogic.constants;

/**
 * Connections between the processes of a fleet. Times are monotonic milliseconds unless a name ends
 * otherwise.
 */
public final class PeerConnectionConstants {
  /** Timeout of establishing a connection: several round trips between regions. */
  public static final long CONNECT_TIMEOUT_MS = 500;

  /**
   * Least time between two attempts to connect: messages in between are lost, but the restart of a
   * peer is noticed soon.
   */
  public static final long RECONNECT_DELAY_MS = 200;

  /**
   * Time without data after a write at which a probe is sent to the peer; the connection is closed
   * after as long again without a response.
   */
  public static final long SILENCE_TIMEOUT_MS = 1_000;

  /**
   * Size, in bytes, from which frames use a connection of their own, so that they don't delay
   * others: sending one takes half a millisecond at a gigabit a second, 25 ms at 21 Mbit/s.
   */
  public static final int LARGE_FRAME_BYTES = 64 << 10;

  /**
   * Bytes written to a connection at once; the JDK retains a buffer of that size outside the heap
   * for each thread.
   */
  public static final int MAX_WRITE_BYTES = 64 << 10;

  /** Size, in bytes, from which frames are compressed: compressing smaller ones saves little. */
  public static final int MIN_DEFLATE_BYTES = 1 << 10;

  /**
   * Largest ratio of decompressed to compressed bytes that is accepted; the deflate format permits
   * no more than 1032.
   */
  public static final int MAX_INFLATE_RATIO = 1_100;

  /**
   * Bytes that may be queued for one connection, unless a single frame is larger: several of the
   * largest records. A peer that receives more slowly counts as failed.
   */
  public static final int MAX_QUEUED_BYTES = 12 << 20;

  /**
   * Idle time, in seconds, after which the kernel probes a connection. With the interval and number
   * of probes, the connections of a lost peer are closed after four seconds.
   */
  public static final int KEEPALIVE_IDLE_S = 2;

  /** Interval between the kernel's probes, in seconds. */
  public static final int KEEPALIVE_INTERVAL_S = 1;

  /** Number of the kernel's probes without a response after which a connection is closed. */
  public static final int KEEPALIVE_PROBES = 2;

  private PeerConnectionConstants() {}
}
