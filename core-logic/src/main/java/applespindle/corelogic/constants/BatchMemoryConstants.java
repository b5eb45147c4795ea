package applespindle.corelogic.constants;

/**
 * The shares of an edge's heap that batches may take. Together with the shares of requests, answers
 * and frames ({@link ClientConnectionConstants}, {@link PeerConnectionConstants}) they leave room
 * for the process itself.
 */
public final class BatchMemoryConstants {
  /** One in this many parts of the heap holds events of the batches that the edge leads. */
  public static final long LED_EVENTS_ONE_IN = 8;

  /**
   * One in this many parts of the heap holds submissions that the edge accepts at a time. Each
   * takes a few times its size while it is parsed and replicated.
   */
  public static final long SUBMISSIONS_ONE_IN = 16;

  /** One in this many parts of the heap holds events that are not committed yet. */
  public static final long UNCOMMITTED_EVENTS_ONE_IN = 8;

  /**
   * One in this many parts of the heap holds the items of the ranges that are assigned to the edge.
   * An item that runs takes about twice its size, as the request to the worker is a copy.
   */
  public static final long ASSIGNED_ITEMS_ONE_IN = 8;

  /**
   * Leaderships that an edge takes over at a time, from an edge that stops or has failed. Each
   * needs the log of the batch, part by part.
   */
  public static final int MAX_CONCURRENT_TAKEOVERS = 8;

  private BatchMemoryConstants() {}
}
