package applespindle.corelogic.constants;

/** The log on disk. Times are monotonic milliseconds. */
public final class DiskConstants {
  /** A disk with less than this left takes nothing new: room for two segments and a checkpoint. */
  public static final long MIN_FREE_BYTES = 96L << 20;

  /** Slots of a ring between two threads; a full ring refuses instead of blocking. */
  public static final int WRITE_RING_SLOTS = 16_384;

  /** A log segment is closed and a checkpoint written at this size. */
  public static final long SEGMENT_BYTES = 32L << 20;

  /**
   * Segments that would fill a small disk: several of two processes and a checkpoint find room
   * beside each other.
   */
  public static final long SEGMENTS_PER_DISK = 32;

  /** Part of a small disk that is kept free beyond the next checkpoint: four segments. */
  public static final long MIN_FREE_ONE_IN = 8;

  /**
   * Bytes written to a disk or a connection at once: few calls, and little memory outside the heap.
   */
  public static final int WRITE_BUFFER_BYTES = 64 << 10;

  /** Pause before a refused write is tried again: a disk in trouble stays so for seconds. */
  public static final long STARTUP_RETRY_DELAY_MS = 100;

  /** Tries of the first write of a start: together longer than a disk usually refuses writes. */
  public static final int MAX_STARTUP_ATTEMPTS = 100;

  /**
   * How often the room on the disk is looked at: while nothing is written it does not change
   * through us.
   */
  public static final long FREE_SPACE_CHECK_INTERVAL_MS = 1_000;

  private DiskConstants() {}
}
