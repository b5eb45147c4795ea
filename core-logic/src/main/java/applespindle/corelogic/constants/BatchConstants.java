package applespindle.corelogic.constants;

/**
 * Bounds and intervals of batch processing: leaders, ranges of items, dispatchers and results. A
 * dispatcher is the role of an edge that runs the items of ranges that a leader assigned to it.
 * Times are monotonic milliseconds.
 */
public final class BatchConstants {
  /**
   * Items in a range, the unit of assignment: a batch of 80 items spread over some nine dispatchers
   * leaves several ranges for each.
   */
  public static final int ITEMS_PER_RANGE = 3;

  /**
   * Duration of the lease on a range, counted from its last progress report. It bounds how long the
   * items of a failed dispatcher wait for another run, and how long a dispatcher may run items of a
   * batch that has ended.
   */
  public static final long RANGE_LEASE_MS = 1_500;

  /** Interval between a dispatcher's progress reports: three fit into {@link #RANGE_LEASE_MS}. */
  public static final long RANGE_REPORT_INTERVAL_MS = 400;

  /**
   * Time after which a result that the leader has not acknowledged is sent again: longer than a
   * slow round trip and two disk syncs.
   */
  public static final long RESULT_RESEND_MS = 1_200;

  /** Interval at which a leader announces to dispatchers that it has unassigned ranges. */
  public static final long OFFER_INTERVAL_MS = 300;

  /**
   * Size, in bytes, of the items of a range from which it is announced to the dispatchers: they
   * keep room for it before they request one.
   */
  public static final long ANNOUNCED_RANGE_BYTES = 64 << 10;

  /** Time after which a dispatcher forgets a leader's offer that was not repeated. */
  public static final long OFFER_EXPIRY_MS = 1_000;

  /**
   * Size, in bytes, of the typical batch that the choice of leaders is based on: some hundred
   * items.
   */
  public static final int TYPICAL_BATCH_BYTES = 100_000;

  /**
   * Processor time, in milliseconds on an unthrottled processor, to accept a typical batch.
   * Measured on a scaled-down copy of a large deployment: 125 ms from a batch's arrival to its
   * acceptance in code that had not run before, over half of which is gone since the submission is
   * parsed only once.
   */
  public static final double LEADER_PROCESSOR_MS_PER_BATCH = 50;

  /**
   * An edge that is expected to accept a typical batch within this time is eligible as its leader,
   * however fast others are.
   */
  public static final double MAX_LEADER_ACCEPT_MS = 125;

  /**
   * Number of batches whose due time an edge remembers: more than can be open under any limit in
   * use.
   */
  public static final int MAX_REMEMBERED_BATCHES = 20_000;

  /**
   * Ranges that a dispatcher holds for one worker beyond the worker's capacity. None, as assigning
   * a range takes far less time than running an item (round 3 in docs/rounds.md).
   */
  public static final int PREFETCH_RANGES = 0;

  /**
   * Least number of proxied items in their start phase at one worker, that is before their first
   * response bytes.
   */
  public static final int MIN_CONCURRENT_STARTS = 2;

  /**
   * Number of proxied items in their start phase at one worker, as a multiple of the number that
   * would just keep its slots occupied.
   */
  public static final double CONCURRENT_STARTS_FACTOR = 1.5;

  /**
   * Assumed time until the first response bytes of a proxied item, before any has been measured.
   */
  public static final double INITIAL_ITEM_FIRST_BYTE_MS = 100;

  /** Assumed time until a proxied item has run to its end, before any has been measured. */
  public static final double INITIAL_ITEM_DURATION_MS = 2_000;

  /** Attempts to run one item before its failure is recorded as its result. */
  public static final int MAX_ITEM_ATTEMPTS = 5;

  /** Interval at which a storage node looks for unfinished batches whose leader has failed. */
  public static final long LEADERLESS_SCAN_INTERVAL_MS = 400;

  /**
   * Interval at which the leader of a batch reports the number of its unfinished items to the
   * capacity ledger.
   */
  public static final long CAPACITY_REPORT_INTERVAL_MS = 500;

  /**
   * The same interval while the group is far below its limit: no submission can be rejected
   * meanwhile, and each report is a replicated commit.
   */
  public static final long CAPACITY_REPORT_SLOW_INTERVAL_MS = 2_000;

  /**
   * Part of a limit that must be in use before reports are sent at the faster interval. A burst of
   * submissions needs longer than {@link #CAPACITY_REPORT_SLOW_INTERVAL_MS} to use up the rest.
   */
  public static final double CAPACITY_SCARCE_SHARE = 0.5;

  /**
   * How long current metadata must lack a route for a batch before its items expire: longer than a
   * configuration takes to reach all nodes.
   */
  public static final long ROUTE_REMOVED_GRACE_MS = 2_000;

  /**
   * Size, in bytes, of a page of results of proxied batches, as it is sent to the client. A slow
   * edge with a link of 21 Mbit/s receives it from the leader and forwards it within the first
   * attempt of a read.
   */
  public static final int MAX_RESULTS_PAGE_BYTES = 256_000;

  /**
   * One in this many slots of a worker is reserved for live requests, beyond those that live
   * requests occupy at present: the next live requests start there without waiting for an item to
   * end, and without being swapped out.
   */
  public static final int LIVE_RESERVE_ONE_IN = 8;

  /**
   * Batch work that will miss its due time in any case yields to work that is due up to this much
   * later: a few rounds of items, and short compared with the time for which a batch may make no
   * progress.
   */
  public static final long LATE_ITEM_DEFERRAL_MS = 3_000;

  /**
   * Time over which a dispatcher ramps up to all slots of a worker that is new to it, as it does
   * not know yet what else runs there.
   */
  public static final long DISPATCH_SLOW_START_MS = 3_000;

  /**
   * Part of an item's tokens that is assumed to be its prompt: only the sum of prompt and maximum
   * output is known.
   */
  public static final double MAX_UNREAD_PROMPT_SHARE = 0.5;

  /**
   * An item waits while the worker needs longer to process the prompts that it has than this part
   * of the longest permitted pause between events.
   */
  public static final double MAX_STREAM_PAUSE_SHARE = 0.25;

  /**
   * Time after which a dispatcher checks again whether a worker with a backlog of prompts can start
   * an item: about the time of one or two prompts.
   */
  public static final long ITEM_CHECK_INTERVAL_MS = 20;

  /**
   * A worker counts as silent to batch items after this many of the route's permitted pauses
   * between events, but not before {@link #MIN_SILENCE_TIMEOUT_MS}.
   */
  public static final int SILENCE_TIMEOUT_GAPS = 8;

  /** Least time without data after which a worker counts as silent to batch items. */
  public static final long MIN_SILENCE_TIMEOUT_MS = 2_000;

  /**
   * Delay before an item whose worker fell silent or sent a malformed response is run again;
   * doubled with each such attempt up to {@link #MAX_ITEM_RETRY_BACKOFF_MS}.
   */
  public static final long ITEM_RETRY_BACKOFF_MS = 100;

  /** Upper limit of the delay before an item is run again. */
  public static final long MAX_ITEM_RETRY_BACKOFF_MS = 3_000;

  /**
   * Time, beyond the long-poll wait of a read, that one edge may take before the read is sent to
   * another.
   */
  public static final long READ_ATTEMPT_TIMEOUT_MS = 500;

  /**
   * Time, beyond its long-poll wait, that a read may take in total; clients wait a little longer.
   */
  public static final long READ_TIMEOUT_MS = 1_200;

  /**
   * Time for which a dispatcher retains outcomes that no leader has acknowledged: running the items
   * again is expensive, and a lost majority usually recovers.
   */
  public static final long OUTCOME_RETENTION_MS = 60_000;

  /**
   * A reservation in the capacity ledger that was not updated for this long is audited: the record
   * of its batch may never have been written.
   */
  public static final long CAPACITY_AUDIT_INTERVAL_MS = 10_000;

  /**
   * Longest time that one batch item may run at a worker unless the configuration states another.
   */
  public static final long DEFAULT_ITEM_TIMEOUT_MS = 30_000;

  /** Time after its last use at which a finished batch is dropped from the memory of its leader. */
  public static final long LEADER_IDLE_TIMEOUT_MS = 5_000;

  /**
   * Time for which a finished batch can be read unless the configuration states another: a working
   * day and a night.
   */
  public static final long DEFAULT_RETENTION_MS = 24 * 3_600_000L;

  /** Interval at which a storage node looks for batches past their retention. */
  public static final long RETENTION_SCAN_INTERVAL_MS = 5_000;

  /** Number of batches that a storage node removes in one retention scan. */
  public static final int MAX_REMOVALS_PER_SCAN = 20;

  /** Results on a page when the client requests no number. */
  public static final int DEFAULT_RESULTS_PAGE = 100;

  /** Largest number of results on a page: keeps a response within a few megabytes. */
  public static final int MAX_RESULTS_PAGE = 1_000;

  /**
   * Window over which the rate at which the capacity ledger releases items is measured: long enough
   * for several items to end, short enough to follow a burst.
   */
  public static final long CAPACITY_RELEASE_WINDOW_MS = 10_000;

  /**
   * Longest time that a read of results waits for the first one, whatever its client permits: each
   * waiting read takes memory.
   */
  public static final long MAX_LONG_POLL_MS = 30_000;

  private BatchConstants() {}
}
