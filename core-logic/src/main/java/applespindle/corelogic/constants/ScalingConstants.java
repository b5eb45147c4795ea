package applespindle.corelogic.constants;

/** Times and bounds of reports of demand and of orders of workers. */
public final class ScalingConstants {
  /** Interval at which an edge reports its demand; scale-out follows a rise by about this time. */
  public static final long REPORT_INTERVAL_MS = 2_500;

  /** How long an edge tries to bring one report to the holder; the next one replaces it. */
  public static final long REPORT_TIMEOUT_MS = 2_000;

  /** Demand that an edge has not reported again for this long counts no more. */
  public static final long REPORT_EXPIRY_MS = 3 * REPORT_INTERVAL_MS;

  /** Part of the live edges that must have reported before workers are taken away. */
  public static final double COMPLETE_PART = 0.9;

  /**
   * Part of the slots that demand may take. Means hide the peaks within a period, and a request
   * that waits for a slot misses its target.
   */
  public static final double TARGET_UTILIZATION = 0.4;

  /** Part of the slots that demand may take after one zone's workers were lost. */
  public static final double MAX_UTILIZATION_AFTER_ZONE_LOSS = 0.7;

  /** The demand of a batch item, as a part of that of a live call. */
  public static final double BATCH_ITEM_WEIGHT = 0.2;

  /** Workers above what the demand needs: one may fail or be replaced. */
  public static final int SPARE_WORKERS = 1;

  /** Workers are taken away only if the highest demand of this time needs fewer. */
  public static final long CALM_MS = 10_000;

  /** The same where no demand was seen at all: the first requests may be about to come. */
  public static final long IDLE_CALM_MS = 60_000;

  /** Shortest time between two steps that take workers away. */
  public static final long SCALE_IN_INTERVAL_MS = 5_000;

  /** Part of the workers that one step takes away, and at least one worker. */
  public static final double SCALE_IN_PART = 0.1;

  /** Reasons of orders that are kept for operators. */
  public static final int KEPT_DECISIONS = 50;

  private ScalingConstants() {}
}
