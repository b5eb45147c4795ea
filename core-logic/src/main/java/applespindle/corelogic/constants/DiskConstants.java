package applespindle.corelogic.constants;

/** Sizes and intervals of the log on disk. Times are monotonic milliseconds. */
public final class DiskConstants {
  /**
   * Free space, in bytes, below which a disk accepts no new data: enough for two log segments and a
   * checkpoint.
   */
  public static final long MIN_FREE_BYTES = 96L << 20;

  /** Slots of the ring buffer between two threads; a full ring rejects instead of blocking. */
  public static final int WRITE_RING_SLOTS = 16_384;

  /**
   * Bytes that may wait to be written; beyond them a replica takes nothing new, and whoever sends
   * it tries again later.
   */
  public static final long MAX_QUEUED_WRITE_BYTES = 16L << 20;

  /** Size, in bytes, at which a log segment is closed and a checkpoint is written. */
  public static final long SEGMENT_BYTES = 32L << 20;

  /**
   * Number of segments that fill a small disk: several segments of two processes and a checkpoint
   * fit side by side.
   */
  public static final long SEGMENTS_PER_DISK = 32;

  /**
   * One in this many parts of a small disk is kept free beyond the next checkpoint: four segments.
   */
  public static final long MIN_FREE_ONE_IN = 8;

  /**
   * Bytes written to a disk or a connection at once: few system calls, and little memory outside
   * the heap.
   */
  public static final int WRITE_BUFFER_BYTES = 64 << 10;

  /** Delay before a failed write is retried: the failure of a disk usually lasts for seconds. */
  public static final long STARTUP_RETRY_DELAY_MS = 100;

  /**
   * Attempts of the first write after a start: together they last longer than a disk usually fails
   * writes.
   */
  public static final int MAX_STARTUP_ATTEMPTS = 100;

  /**
   * Interval at which the free space of the disk is checked; while this process writes nothing, it
   * does not reduce that space.
   */
  public static final long FREE_SPACE_CHECK_INTERVAL_MS = 1_000;

  private DiskConstants() {}
}
