package applespindle.corelogic.constants;

/** The largest inputs and frames. */
public final class SizeLimits {
  /** Largest request body, in bytes: 4 MiB hold some hundred long letters. */
  public static final int MAX_BODY_BYTES = 4 << 20;

  /**
   * Largest frame between two processes, in bytes: several request bodies, and the log of a
   * complete batch.
   */
  public static final int MAX_FRAME_BYTES = 64 << 20;

  /**
   * Largest configuration in its stored form, in bytes: a control plane node with a heap of 96 MB
   * holds and sends it several times over while it is accepted.
   */
  public static final int MAX_CONFIGURATION_BYTES = 3 << 20;

  /** Largest number of items in a batch. */
  public static final int MAX_BATCH_ITEMS = 10_000;

  /** Largest output, in tokens, that a batch item may ask for. */
  public static final int MAX_TOKENS = 1_000_000;

  /** Largest length of an item's id, in characters. */
  public static final int MAX_ITEM_ID_LENGTH = 200;

  private SizeLimits() {}
}
