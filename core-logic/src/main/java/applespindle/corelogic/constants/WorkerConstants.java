package applespindle.corelogic.constants;

/** What an edge knows of workers and how it chooses one. Times are monotonic milliseconds. */
public final class WorkerConstants {
  /** How often a worker's load is read, with a tenth of jitter either way. */
  public static final long LOAD_POLL_INTERVAL_MS = 200;

  /** A load report older than this leaves the worker out of selection. */
  public static final long LOAD_STALE_AFTER_MS = 1_500;

  /**
   * A worker's remembered peak of live runs falls by half in this time, so that a crowd is not
   * waited for long.
   */
  public static final long LIVE_PEAK_HALF_LIFE_MS = 1_000;

  /**
   * A worker that faulted rests this long, doubled with each further fault up to the limit below.
   */
  public static final long BASE_EJECTION_MS = 500;

  public static final long MAX_EJECTION_MS = 4_000;

  /**
   * What a response told of others' runs counts for a third after this: about the length of a few
   * requests.
   */
  public static final long LOAD_REPORT_DECAY_MS = 1_000;

  /**
   * A worker's past faults count for a third after this: as long as a machine in trouble usually
   * needs.
   */
  public static final long FAILURE_DECAY_MS = 5_000;

  /**
   * Weight of the latest outcome or time among a worker's earlier ones: some ten runs make the
   * picture.
   */
  public static final double MOVING_AVERAGE_WEIGHT = 0.1;

  /** How long a run takes at a worker of which nothing is known yet. */
  public static final double INITIAL_SERVICE_TIME_MS = 300;

  /**
   * A worker that is new or was at rest gets its full part only after this long, and this part of
   * it at first.
   */
  public static final long SLOW_START_MS = 2_000;

  public static final double MIN_SLOW_START_WEIGHT = 0.2;

  /**
   * Prompt tokens a worker reads in a millisecond, for weighing unread parts against load: the
   * order of one accelerator.
   */
  public static final double PREFILL_TOKENS_PER_MS = 10;

  /**
   * Reading pace is measured on prompts of at least this size, and this much of the earlier measure
   * stays with each.
   */
  public static final double INITIAL_PREFILL_SAMPLE_TOKENS = 400;

  public static final double PREFILL_RATE_RETENTION = 0.95;

  /**
   * What is taken for it before: rather too fast, as a worker that is thought slow would not be
   * tried and measured.
   */
  public static final double INITIAL_PREFILL_TOKENS_PER_MS = 50;

  /**
   * Prompts to read at a worker may make a pause of this part of the longest between events; beyond
   * it weighs this much.
   */
  public static final double MAX_STREAM_PAUSE_SHARE = 0.5;

  public static final double STREAM_PAUSE_WEIGHT = 4;

  /**
   * What was sent to workers is told to the zone's other edges after this time for each of them:
   * 200 messages a second.
   */
  public static final long PEER_LOAD_REPORT_DELAY_MS = 10;

  /** What a fellow told is forgotten after this. */
  public static final long PEER_LOAD_EXPIRY_MS = 3_000;

  /**
   * Weight, in the route's target time, of another zone (bytes between zones cost money) and of a
   * worker in doubt.
   */
  public static final double REMOTE_ZONE_WEIGHT = 0.15;

  public static final double OUTLIER_WEIGHT = 4;

  /**
   * Random part of a worker's cost, so that edges that know nothing of each other do not all take
   * the same worker.
   */
  public static final double JITTER_WEIGHT = 0.05;

  /** A route that names no target is weighed as if it had this one. */
  public static final long DEFAULT_LATENCY_TARGET_MS = 500;

  /**
   * Prompt parts remembered for each worker: what a worker itself keeps is some hundreds of parts.
   */
  public static final int MAX_PREFIX_CACHE_PARTS = 2_000;

  /**
   * The rest of a refusal must come within this: nobody waits for it, and until then its connection
   * can not be used.
   */
  public static final long REJECTION_BACKOFF_MS = 1_000;

  private WorkerConstants() {}
}
