package applespindle.corelogic.constants;

/** Connections between processes. Times are monotonic milliseconds, where not said otherwise. */
public final class PeerConnectionConstants {
  /**
   * A connection that does not come up in this time is given up: several ways there and back
   * between regions.
   */
  public static final long CONNECT_TIMEOUT_MS = 500;

  /**
   * Least time between two tries to connect: what is sent meanwhile is lost, and a restart is
   * noticed soon.
   */
  public static final long RECONNECT_DELAY_MS = 200;

  /**
   * Nothing heard for this long after something was written: a sign of life is asked for, and
   * awaited as long again.
   */
  public static final long SILENCE_TIMEOUT_MS = 1_000;

  /**
   * Frames of at least this size go by a connection of their own: half a millisecond at a gigabit,
   * 25 ms at 21 Mbit/s.
   */
  public static final int LARGE_FRAME_BYTES = 64 << 10;

  /**
   * Bytes handed to a connection at once; the JDK keeps a copy of that size outside the heap for
   * each thread.
   */
  public static final int MAX_WRITE_BYTES = 64 << 10;

  /** Frames between processes from this size on are deflated: below it little is won. */
  public static final int MIN_DEFLATE_BYTES = 1 << 10;

  /** No deflated byte stands for more than this many; deflate itself allows no more than 1032. */
  public static final int MAX_INFLATE_RATIO = 1_100;

  /**
   * Bytes that wait for one connection, unless a single frame is larger: a peer that takes less is
   * as good as silent.
   */
  public static final int MAX_QUEUED_BYTES = 4 << 20;

  /**
   * The kernel's probes of silent connections, in seconds and their number: a lost peer's are gone
   * after four seconds.
   */
  public static final int KEEPALIVE_IDLE_S = 2;

  public static final int KEEPALIVE_INTERVAL_S = 1;

  public static final int KEEPALIVE_PROBES = 2;

  private PeerConnectionConstants() {}
}
