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
 * One range of a batch's items that is assigned to this edge for one worker: what is unsent, what
 * runs, and which outcomes the batch's leader has not answered for. All times are of this node's
 * clock.
 */
final class AssignedRange {
  /** A time before any that the node's clock shows. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** How many sent reports are remembered; an answer to an older one does not renew the lease. */
  private static final int REPORTS_REMEMBERED = 16;

  /** Further doublings would overflow; the most the backoff can be is reached before. */
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

  /** When the batch is due, by the assignment. */
  final long dueAt;

  /** When the assignment came; its times until a deadline count from here. */
  final long assignedAt;

  NodeAddress leader;

  /**
   * Counted from the sending of the request or report that the leader answered, so that it is
   * always before the end of the lease at the leader.
   */
  long leaseEndsAt;

  final ArrayDeque<AssignedItem> unsent = new ArrayDeque<>();
  final Map<Integer, ItemRun> running = new LinkedHashMap<>();

  /**
   * By item: the stream that earlier runs of a proxied item brought, which the next one resumes.
   */
  final Map<Integer, StreamText> partialStreams = new HashMap<>();

  /** By item: how many runs ended without saying anything about the item. */
  private final Map<Integer, Integer> interruptions = new HashMap<>();

  /** By item: when it may run again. */
  private final Map<Integer, Long> retryAt = new HashMap<>();

  /** Items of the range without a finished run; the lowest is the range's offset. */
  private final TreeSet<Integer> unfinished = new TreeSet<>();

  private final int end;

  /** Outcomes the leader has not yet answered for. */
  final List<Outcome> unanswered = new ArrayList<>();

  /** By report number: when it was sent. */
  private final TreeMap<Long, Long> reportsSentAt = new TreeMap<>();

  private long lastReport;

  /** Nothing more of the range is started; it is returned once nothing of it runs. */
  boolean returning;

  /** A report has returned the range, with every outcome that the leader had not answered for. */
  boolean returnReported;

  /** The leader has reassigned the range, or its batch has ended. */
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

  /** One assignment of a range is held once; a later assignment has a higher epoch. */
  static String name(String batch, int number, long epoch) {
    return batch + " " + number + " " + epoch;
  }

  String name() {
    return name(batch, number, epoch);
  }

  /**
   * Starts nothing more of the range; what runs goes on and is reported, as its item may still lack
   * a result.
   */
  void drop() {
    dropped = true;
    unsent.clear();
  }

  boolean isDone() {
    return unsent.isEmpty() && running.isEmpty() && unanswered.isEmpty();
  }

  /** The item needs no further run. */
  void markFinished(int index) {
    unfinished.remove(index);
  }

  /** Delays the next run of an item whose run was cut, longer each time. */
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
      unsent.addFirst(run.item);
    }
  }

  /** Sends all outcomes again with the next report, as a new leader has none of the reports. */
  void changeLeader(NodeAddress next) {
    leader = next;
    unanswered.forEach(outcome -> outcome.sentAt = NEVER);
  }

  /**
   * Forgets the outcomes that the answered report carried, and renews the lease or drops the range.
   */
  void handleReportAnswered(long reportNumber, boolean keep) {
    unanswered.removeIf(outcome -> outcome.reportNumbers.contains(reportNumber));
    Long sentAt = reportsSentAt.get(reportNumber);
    reportsSentAt.headMap(reportNumber, true).clear();
    if (!keep) {
      drop();
    } else if (sentAt != null) {
      leaseEndsAt = Math.max(leaseEndsAt, sentAt + BatchConstants.RANGE_LEASE_MS);
    }
  }

  /** Gives the next number to a report that is sent now. */
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
   * The outcomes that are new or should have been answered by now, or all; they count as sent now.
   */
  List<ItemOutcome> takeOutcomesDue(long report, boolean all, long now) {
    List<ItemOutcome> due = new ArrayList<>();
    for (Outcome outcome : unanswered) {
      if (all || now - outcome.sentAt >= BatchConstants.RESULT_RESEND_MS) {
        outcome.sentAt = now;
        outcome.reportNumbers.add(report);
        due.add(outcome.item);
      }
    }
    return due;
  }

  /**
   * The first item that is not done, counting only outcomes that this report carries, as an earlier
   * one may be lost.
   */
  int offset(long report) {
    int offset = unfinished.isEmpty() ? end : unfinished.first();
    for (Outcome outcome : unanswered) {
      if (!outcome.reportNumbers.contains(report)) {
        offset = Math.min(offset, outcome.item.index());
      }
    }
    return offset;
  }
}
