package applespindle.corelogic.constants;

/** How much of the memory of an edge the takeover of batches may need at a time. */
public final class BatchMemoryConstants {
  /**
   * Leaderships that an edge takes over at a time, from an edge that stops or has failed. Each
   * needs the log of the batch, part by part.
   */
  public static final int MAX_CONCURRENT_TAKEOVERS = 8;

  private BatchMemoryConstants() {}
}
