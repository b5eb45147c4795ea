package applespindle.corelogic.batch;

import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.live.StreamText;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AssignedItem;
import applespindle.corelogic.protocol.Message.ItemOutcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One range of a batch's items that is assigned to this edge for one worker: the unsent items, the
 * runs, and the outcomes that the batch's leader has not acknowledged. All times are on this node's
 * clock.
 */
final class AssignedRange {
  /** A time before any that the node's clock shows. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** How many sent reports are remembered; an answer to an older one does not renew the lease. */
  private static final int REPORTS_REMEMBERED = 16;

  /** Bounds the doublings so that they cannot overflow; the longest backoff is reached before. */
  private static final int MAX_BACKOFF_DOUBLINGS = 10;

  /** The outcome of one run, kept until the leader has answered a report that carried it. */
  static final class Outcome {
    final ItemOutcome item;

    /**
     * Numbers of the reports that carried it: only an answer to one of these is an answer for it.
     */
    private final Set<Long> reportNumbers = new HashSet<>();

    private long sentAt = NEVER;

    Outcome(ItemOutcome item) {
      this.item = item;
    }
  }

  final String batch;
  final int number;
  final long epoch;
  final String worker;

  /** When the batch is due, as the assignment states. */
  final long dueAt;

  /** When the assignment arrived; the remaining times that it states count from then. */
  final long assignedAt;

  NodeAddress leader;

  /**
   * When the range lease ends. It counts from the sending of the request or report that the leader
   * answered, and so always ends before the lease does at the leader.
   */
  long leaseEndsAt;

  final ArrayDeque<AssignedItem> unsent = new ArrayDeque<>();
  final Map<Integer, ItemRun> running = new LinkedHashMap<>();

  /** By item: the partial stream of earlier runs of a proxied item, which the next run resumes. */
  final Map<Integer, StreamText> partialStreams = new HashMap<>();

  /**
   * By item: how many runs ended inconclusively, neither with a result nor with a failed attempt.
   */
  private final Map<Integer, Integer> interruptions = new HashMap<>();

  /** By item: when its backoff ends, so that it may run again. */
  private final Map<Integer, Long> retryAt = new HashMap<>();

  /** Items of the range without a finished run; the lowest is the range's offset. */
  private final TreeSet<Integer> unfinished = new TreeSet<>();

  private final int end;

  /** Outcomes the leader has not acknowledged. */
  final List<Outcome> unacknowledged = new ArrayList<>();

  /** By report number: when it was sent. */
  private final TreeMap<Long, Long> reportsSentAt = new TreeMap<>();

  private long lastReport;

  /** Whether the range is being returned: no item is started, and it is returned once none runs. */
  boolean returning;

  /** Whether a report has returned the range, with all outcomes not acknowledged by the leader. */
  boolean returnReported;

  /** Whether the leader has reassigned the range, or its batch has ended. */
  boolean dropped;

  AssignedRange(Message.RangeAssignment assignment, NodeAddress leader, long now) {
    this.batch = assignment.batch();
    this.number = assignment.range();
    this.epoch = assignment.rangeEpoch();
    this.worker = assignment.worker();
    this.leader = leader;
    this.dueAt = now + assignment.dueInMs();
    this.assignedAt = now;
    this.leaseEndsAt = assignment.requestedAt() + BatchConstants.RANGE_LEASE_MS;
    unsent.addAll(assignment.items());
    assignment.items().forEach(item -> unfinished.add(item.index()));
    this.end = unfinished.isEmpty() ? 0 : unfinished.last() + 1;
  }

  /** Identifies this assignment: a later one of the same range has a higher epoch. */
  static String name(String batch, int number, long epoch) {
    return batch + " " + number + " " + epoch;
  }

  String name() {
    return name(batch, number, epoch);
  }

  /**
   * Drops the range: no item is started any more. Runs continue and are reported, because their
   * items may still lack a result.
   */
  void drop() {
    dropped = true;
    unsent.clear();
  }

  /** The size of the items that have not run to an end yet, in bytes. */
  long heldItemBytes() {
    long bytes = 0;
    for (AssignedItem item : unsent) {
      bytes += item.body().length;
    }
    for (ItemRun run : running.values()) {
      bytes += run.heldBytes();
    }
    return bytes;
  }

  boolean isDone() {
    return unsent.isEmpty() && running.isEmpty() && unacknowledged.isEmpty();
  }

  /** Records that the item needs no further run. */
  void markFinished(int index) {
    unfinished.remove(index);
  }

  /** Delays the next run of an item whose run was inconclusive, with exponential backoff. */
  void backOff(int index, long now) {
    int times = interruptions.merge(index, 1, Integer::sum);
    long backoffMs =
        Math.min(
            BatchConstants.MAX_ITEM_RETRY_BACKOFF_MS,
            BatchConstants.ITEM_RETRY_BACKOFF_MS << Math.min(times - 1, MAX_BACKOFF_DOUBLINGS));
    retryAt.put(index, now + backoffMs);
  }

  boolean isBackingOff(int index, long now) {
    return retryAt.getOrDefault(index, Long.MIN_VALUE) > now;
  }

  /** Puts the item back to the front of its range, unless the range is dropped or returning. */
  void requeue(ItemRun run) {
    if (run.stream != null) {
      partialStreams.put(run.item.index(), run.stream);
    }
    if (!dropped && !returning) {
      unsent.addFirst(run.itemToRepeat());
    }
  }

  /** Makes the next report carry all outcomes, because a new leader has received none. */
  void changeLeader(NodeAddress next) {
    leader = next;
    unacknowledged.forEach(outcome -> outcome.sentAt = NEVER);
  }

  /**
   * Forgets the outcomes that the answered report carried, and renews the lease or drops the range.
   */
  void handleReportResponse(long reportNumber, boolean keep) {
    unacknowledged.removeIf(outcome -> outcome.reportNumbers.contains(reportNumber));
    Long sentAt = reportsSentAt.get(reportNumber);
    reportsSentAt.headMap(reportNumber, true).clear();
    if (!keep) {
      drop();
    } else if (sentAt != null) {
      leaseEndsAt = Math.max(leaseEndsAt, sentAt + BatchConstants.RANGE_LEASE_MS);
    }
  }

  /** Returns the number of a report that is sent now. */
  long nextReportNumber(long now) {
    long report = ++lastReport;
    reportsSentAt.put(report, now);
    if (reportsSentAt.size() > REPORTS_REMEMBERED) {
      reportsSentAt.pollFirstEntry();
    }
    return report;
  }

  boolean isReportDue(long now) {
    return reportsSentAt.isEmpty()
        || now - reportsSentAt.lastEntry().getValue() >= BatchConstants.RANGE_REPORT_INTERVAL_MS;
  }

  /**
   * Returns the outcomes that are new or whose last report is overdue for an answer, or all of
   * them, and records that they are sent now.
   */
  List<ItemOutcome> takeOutcomesDue(long report, boolean all, long now) {
    List<ItemOutcome> due = new ArrayList<>();
    for (Outcome outcome : unacknowledged) {
      if (all || now - outcome.sentAt >= BatchConstants.RESULT_RESEND_MS) {
        outcome.sentAt = now;
        outcome.reportNumbers.add(report);
        due.add(outcome.item);
      }
    }
    return due;
  }

  /**
   * The offset for a report: the first item without an outcome, counting only acknowledged outcomes
   * and those in this report, because an earlier report may be lost.
   */
  int offset(long report) {
    int offset = unfinished.isEmpty() ? end : unfinished.first();
    for (Outcome outcome : unacknowledged) {
      if (!outcome.reportNumbers.contains(report)) {
        offset = Math.min(offset, outcome.item.index());
      }
    }
    return offset;
  }
}
