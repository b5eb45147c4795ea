package applespindle.corelogic.constants;

/** The largest inputs and frames. */
public final class SizeLimits {
  /** Largest request body taken: 4 MiB holds some hundred long letters. */
  public static final int MAX_BODY_BYTES = 4 << 20;

  /** Largest frame between two processes: several bodies, and a whole batch's log. */
  public static final int MAX_FRAME_BYTES = 64 << 20;

  public static final int MAX_BATCH_ITEMS = 10_000;

  public static final int MAX_TOKENS = 1_000_000;

  public static final int MAX_ITEM_ID_LENGTH = 200;

  private SizeLimits() {}
}
