package applespindle.corelogic.constants;

/** Batches: leaders, ranges, items and results. Times are monotonic milliseconds. */
public final class BatchConstants {
  /** Items in a range: 80 items over some nine feeders leave several ranges for each. */
  public static final int ITEMS_PER_RANGE = 3;

  /**
   * Grant of a range from its last report: bounds both re-runs after a crash and work after an end.
   */
  public static final long RANGE_LEASE_MS = 1_500;

  /** A feeder repeats its report this often: three fit into a range grant. */
  public static final long RANGE_REPORT_INTERVAL_MS = 400;

  /**
   * A result that was reported is reported again after this long without an answer: a slow round
   * trip and two syncs fit in.
   */
  public static final long RESULT_RESEND_MS = 1_200;

  /** How often a leader tells feeders that it has ranges left. */
  public static final long OFFER_INTERVAL_MS = 300;

  /** An offer unheard for this long is forgotten by a feeder. */
  public static final long OFFER_EXPIRY_MS = 1_000;

  /**
   * Bodies that one edge accepts at a time. Each takes a few times its size while it is read and
   * sent out; the heap of an edge is 128 MB.
   */
  public static final long MAX_SUBMISSION_BYTES_IN_PROGRESS = 8 << 20;

  /** Of which placement goes out: the bytes of some hundred items. */
  public static final int TYPICAL_BATCH_BYTES = 100_000;

  /**
   * Processor time to take such a batch, at full speed: measured on the small twin of a large
   * deployment, 125 ms of processor time from a batch's arrival to its acceptance in code that had
   * not run before, over half of which is gone since it is read once.
   */
  public static final double LEADER_PROCESSOR_MS_PER_BATCH = 50;

  /** An edge that takes a typical batch within this time is fit to lead, whatever others can do. */
  public static final double MAX_LEADER_ACCEPT_MS = 125;

  /** Batches whose due time an edge remembers: more than can be open under any ceiling in use. */
  public static final int MAX_REMEMBERED_BATCHES = 20_000;

  /**
   * Ranges a feeder holds for one worker beyond its room: none, as a handout takes far less than an
   * item (round 3).
   */
  public static final int PREFETCH_RANGES = 0;

  /**
   * Opaque items begun at once at a worker, at the least; and how many times what would just keep
   * its slots in use.
   */
  public static final int MIN_CONCURRENT_STARTS = 2;

  public static final double CONCURRENT_STARTS_FACTOR = 1.5;

  /** How long an opaque item takes to its first bytes and to its end, before any has been seen. */
  public static final double INITIAL_ITEM_FIRST_BYTE_MS = 100;

  public static final double INITIAL_ITEM_DURATION_MS = 2_000;

  /** Runs of one item before its failure is recorded as its result. */
  public static final int MAX_ITEM_ATTEMPTS = 5;

  /** How often a storage node looks for unfinished batches whose owner has gone silent. */
  public static final long LEADERLESS_SCAN_INTERVAL_MS = 400;

  /** How often a leader tells the ledger how many of its items are still unfinished. */
  public static final long CAPACITY_REPORT_INTERVAL_MS = 500;

  /**
   * The same while the group's ceiling is far: nobody can be refused meanwhile, and each report is
   * a commit.
   */
  public static final long CAPACITY_REPORT_SLOW_INTERVAL_MS = 2_000;

  /**
   * Part of a ceiling below which it is far: a crowd needs longer than the slow reports to take the
   * rest.
   */
  public static final double CAPACITY_SCARCE_SHARE = 0.5;

  /**
   * How long fresh news must show no route for a batch before its items expire: longer than a
   * bundle takes to be everywhere.
   */
  public static final long ROUTE_REMOVED_GRACE_MS = 2_000;

  /**
   * A page of results of opaque batches, as they are shown: a slow edge with a link of 21 Mbit/s
   * gets it from the leader and on to the client within a read's first try.
   */
  public static final int MAX_RESULTS_PAGE_BYTES = 256_000;

  /**
   * Slots of a worker that neither batch items nor the live requests of this moment take, one in
   * this many: the next live requests begin there without waiting behind an item, or without a
   * swap.
   */
  public static final int LIVE_RESERVE_ONE_IN = 8;

  /**
   * Batch work that is late whatever happens gives way to work that is due up to this much later:
   * some rounds of items, and short beside the time that a batch may stand still.
   */
  public static final long LATE_ITEM_DEFERRAL_MS = 3_000;

  /**
   * Time in which a feeder takes up the slots of a worker that is new to it: it can't know yet what
   * runs there.
   */
  public static final long DISPATCH_SLOW_START_MS = 3_000;

  /**
   * Part of an item's tokens taken for its prompt: only the sum with what it may put out is told.
   */
  public static final double MAX_UNREAD_PROMPT_SHARE = 0.5;

  /**
   * An item waits while a worker needs longer than this part of the longest pause between events to
   * read what it has.
   */
  public static final double MAX_STREAM_PAUSE_SHARE = 0.25;

  /** How soon a feeder looks again at a worker that had too much to read: a prompt or two later. */
  public static final long ITEM_CHECK_INTERVAL_MS = 20;

  /**
   * A worker is silent to batch items after this many of the route's pauses between events, and not
   * before the least.
   */
  public static final int SILENCE_TIMEOUT_GAPS = 8;

  public static final long MIN_SILENCE_TIMEOUT_MS = 2_000;

  /**
   * An item that fell to a worker's silence or garbage waits this long before it runs again,
   * doubled up to the most.
   */
  public static final long ITEM_RETRY_BACKOFF_MS = 100;

  public static final long MAX_ITEM_RETRY_BACKOFF_MS = 3_000;

  /** Beyond the hold of a read, how long one edge may take before the next is asked. */
  public static final long READ_ATTEMPT_TIMEOUT_MS = 500;

  /** Beyond the hold of a read, how long it may take in all; clients wait a little longer. */
  public static final long READ_TIMEOUT_MS = 1_200;

  /**
   * A feeder holds outcomes that no leader answers for this long: a run of them again is dear, a
   * lost majority is not for ever.
   */
  public static final long OUTCOME_RETENTION_MS = 60_000;

  /**
   * A ledger entry untouched for this long is looked into: its record may never have been written.
   */
  public static final long CAPACITY_AUDIT_INTERVAL_MS = 10_000;

  /** Longest time one batch item may run at a worker, unless the bundle says otherwise. */
  public static final long DEFAULT_ITEM_TIMEOUT_MS = 30_000;

  /** A finished batch stays at its leader's memory this long after its last use. */
  public static final long LEADER_IDLE_TIMEOUT_MS = 5_000;

  /**
   * How long a batch that is over stays readable unless the bundle says otherwise: a working day
   * and a night.
   */
  public static final long DEFAULT_RETENTION_MS = 24 * 3_600_000L;

  /**
   * How often a storage node looks for batches kept long enough, and how many it has removed at a
   * time.
   */
  public static final long RETENTION_SCAN_INTERVAL_MS = 5_000;

  public static final int MAX_REMOVALS_PER_SCAN = 20;

  /**
   * Page size of results when none is given, and the largest one: keeps a response within a few MB.
   */
  public static final int DEFAULT_RESULTS_PAGE = 100;

  public static final int MAX_RESULTS_PAGE = 1_000;

  /**
   * Over how long the ledger's pace is measured: several ends of items fit in, and it follows a
   * crowd.
   */
  public static final long CAPACITY_RELEASE_WINDOW_MS = 10_000;

  /**
   * A read of results waits no longer for a first one, whatever its reader allows: each that waits
   * takes memory.
   */
  public static final long MAX_LONG_POLL_MS = 30_000;

  private BatchConstants() {}
}
