package applespindle.corelogic.constants;

/**
 * What an edge knows about workers and how it selects one for a request. Times are monotonic
 * milliseconds.
 */
public final class WorkerConstants {
  /** Interval at which a worker's load is polled, with a jitter of a tenth in both directions. */
  public static final long LOAD_POLL_INTERVAL_MS = 200;

  /** Age of a load report from which its worker is not selected. */
  public static final long LOAD_STALE_AFTER_MS = 1_500;

  /**
   * Half-life of the remembered peak of a worker's live runs, so that slots are not reserved for
   * long after a burst.
   */
  public static final long LIVE_PEAK_HALF_LIFE_MS = 1_000;

  /**
   * Time for which a worker is ejected from selection after a failure, doubled with each further
   * failure up to {@link #MAX_EJECTION_MS}.
   */
  public static final long BASE_EJECTION_MS = 500;

  /** Longest time for which a worker is ejected from selection. */
  public static final long MAX_EJECTION_MS = 4_000;

  /**
   * Time in which the weight of the load that a response reported of other callers' runs decays to
   * a third: about the duration of a few requests.
   */
  public static final long LOAD_REPORT_DECAY_MS = 1_000;

  /**
   * Time in which the weight of a worker's past failures decays to a third: as long as a faulty
   * machine usually needs to recover.
   */
  public static final long FAILURE_DECAY_MS = 5_000;

  /**
   * Weight of the latest outcome or duration in the moving average of a worker: it follows the last
   * ten or so runs.
   */
  public static final double MOVING_AVERAGE_WEIGHT = 0.1;

  /** Assumed duration of a run at a worker of which nothing has been measured yet. */
  public static final double INITIAL_SERVICE_TIME_MS = 300;

  /**
   * Time over which a worker that is new, or was ejected, ramps up to its full share of requests.
   */
  public static final long SLOW_START_MS = 2_000;

  /** Share of its requests that such a worker starts with. */
  public static final double MIN_SLOW_START_WEIGHT = 0.2;

  /**
   * Prompt tokens that a worker processes in a millisecond, for weighing uncached prompt parts
   * against load: the order of one accelerator.
   */
  public static final double PREFILL_TOKENS_PER_MS = 10;

  /** Least size, in tokens, of the prompts on which the prefill rate is measured. */
  public static final double INITIAL_PREFILL_SAMPLE_TOKENS = 400;

  /** Weight that the earlier measurements of the prefill rate retain at each new one. */
  public static final double PREFILL_RATE_RETENTION = 0.95;

  /**
   * Assumed prefill rate before the first measurement, in tokens a millisecond: rather too high, as
   * a worker that is thought slow would not be selected and measured.
   */
  public static final double INITIAL_PREFILL_TOKENS_PER_MS = 50;

  /**
   * Part of the longest permitted pause between events that the prompts queued at a worker may
   * take; beyond it {@link #STREAM_PAUSE_WEIGHT} applies.
   */
  public static final double MAX_STREAM_PAUSE_SHARE = 0.5;

  /** Weight of the part of a pause beyond {@link #MAX_STREAM_PAUSE_SHARE} in a worker's cost. */
  public static final double STREAM_PAUSE_WEIGHT = 4;

  /**
   * Delay, for each other edge of the zone, before an edge reports to them what it has sent to
   * workers: 200 messages a second.
   */
  public static final long PEER_LOAD_REPORT_DELAY_MS = 10;

  /** Age at which a peer edge's load report is discarded. */
  public static final long PEER_LOAD_EXPIRY_MS = 3_000;

  /**
   * Weight, in the route's target time, of a worker in another zone: traffic between zones costs
   * money.
   */
  public static final double REMOTE_ZONE_WEIGHT = 0.15;

  /** Weight, in the route's target time, of a worker that is suspected to be failing. */
  public static final double OUTLIER_WEIGHT = 4;

  /**
   * Random part of a worker's cost, so that edges without knowledge of each other do not all select
   * the same worker.
   */
  public static final double JITTER_WEIGHT = 0.05;

  /** Target time that is assumed for a route that states none. */
  public static final long DEFAULT_LATENCY_TARGET_MS = 500;

  /**
   * Prompt parts that are remembered for each worker: more than the some hundreds of parts that a
   * worker itself caches.
   */
  public static final int MAX_PREFIX_CACHE_PARTS = 2_000;

  /**
   * Time within which the rest of a worker's rejection must arrive: no request waits for it, but
   * its connection cannot be reused until then.
   */
  public static final long REJECTION_BACKOFF_MS = 1_000;

  private WorkerConstants() {}
}
