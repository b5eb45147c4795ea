package applespindle.corelogic.batch;

import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.batch.BatchEvent.Attempt;
import applespindle.corelogic.batch.BatchEvent.Result;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;

/**
 * A batch as folded from the committed entries of its log; leaders that fold the same log have the
 * same state.
 *
 * <p>A batch is accepted once, then either finished or ended, and may be removed after that. It is
 * refused only while it is not accepted. Invariants: an item has at most one result, which never
 * changes; results are only appended, and none after the end; the epochs of ranges never fall.
 */
public final class BatchState {
  public Accepted accepted;

  /** Whether the log accepted an accepted batch again, which breaks an invariant. */
  boolean acceptedTwice;

  boolean refused;
  boolean ended;
  boolean finished;

  /**
   * Highest age in the events, in milliseconds. The next leader counts on from it, so that the
   * expiry needs no wall clock.
   */
  long ageMs;

  /** Range numbers in the order of assignment: a random permutation, fixed at the acceptance. */
  List<Integer> order = List.of();

  final List<BatchRange> ranges = new ArrayList<>();

  /** Results in the order of recording; they are only appended, and never change. */
  public final List<Result> results = new ArrayList<>();

  /** By item: the first committed result, later ones are dropped. */
  private Result[] resultByItem = new Result[0];

  private int[] attempts = new int[0];

  /** What each item counts as waiting work: its tokens if it is proxied, else one. */
  private long[] capacityByItem = new long[0];

  private long remainingCapacity;

  /** Ids of failed runs: each counts once as an attempt, however often it is reported. */
  private final Set<String> failedRuns = new HashSet<>();

  long highestRangeEpoch;

  void apply(byte[] bytes) {
    apply(BatchEventCodec.decode(bytes));
  }

  /** Folds an event that was written here and need not be decoded. */
  void apply(BatchEvent event) {
    ageMs = Math.max(ageMs, event.ageMs() == null ? 0 : event.ageMs());
    switch (event.kind()) {
      case BatchEvent.ACCEPTED -> accept(event.accepted());
      case BatchEvent.ORDERED -> order(event);
      case BatchEvent.ASSIGNED -> {
        BatchRange range = ranges.get(event.assigned().range());
        range.state = BatchRange.State.ASSIGNED;
        range.epoch = event.assigned().rangeEpoch();
        range.dispatcher = event.assigned().dispatcher();
        highestRangeEpoch = Math.max(highestRangeEpoch, range.epoch);
      }
      case BatchEvent.RECORDED -> record(event.recorded());
      case BatchEvent.RETURNED -> {
        BatchRange range = ranges.get(event.returned().range());
        if (range.isAssigned(event.returned().rangeEpoch())) {
          range.state = BatchRange.State.UNASSIGNED;
        }
      }
      case BatchEvent.ENDED -> ended = true;
      case BatchEvent.FINISHED -> finished = true;
      case BatchEvent.REMOVED -> {
        accepted = null;
        results.clear();
        ranges.clear();
      }
      case BatchEvent.REFUSED -> refused = accepted == null;
      default -> {}
    }
  }

  private void accept(Accepted event) {
    acceptedTwice |= accepted != null;
    if (accepted == null) {
      ended = false;
      finished = false;
      accepted = event;
      refused = false;
      resultByItem = new Result[event.items().size()];
      attempts = new int[event.items().size()];
      capacityByItem =
          event.items().stream()
              .mapToLong(
                  item ->
                      event.proxiedRoute() == null ? 1 : Math.max(1, item.path("tokens").asLong()))
              .toArray();
      remainingCapacity = LongStream.of(capacityByItem).sum();
    }
  }

  private void order(BatchEvent event) {
    if (!ranges.isEmpty()) {
      return;
    }
    order = event.order();
    int items = accepted.items().size();
    for (int first = 0; first < items; first += event.rangeItems()) {
      ranges.add(new BatchRange(first, Math.min(event.rangeItems(), items - first)));
    }
  }

  private void record(BatchEvent.Recorded event) {
    if (ended) {
      return;
    }
    for (Result result : event.results()) {
      if (resultByItem[result.index()] == null) {
        resultByItem[result.index()] = result;
        remainingCapacity -= capacityByItem[result.index()];
        results.add(result);
      }
    }
    for (Attempt attempt : event.attempts()) {
      if (failedRuns.add(attempt.run())) {
        attempts[attempt.index()]++;
      }
    }
    for (BatchRange range : ranges) {
      while (range.offset < range.length && resultByItem[range.first + range.offset] != null) {
        range.offset++;
      }
      if (range.offset == range.length) {
        range.state = BatchRange.State.DONE;
      }
    }
  }

  boolean hasResult(int item) {
    return resultByItem[item] != null;
  }

  boolean hasFailed(String run) {
    return failedRuns.contains(run);
  }

  int attempts(int item) {
    return attempts[item];
  }

  /** Number of items; 0 before the acceptance. */
  public int items() {
    return resultByItem.length;
  }

  int unfinishedItems() {
    return accepted == null || ended ? 0 : resultByItem.length - results.size();
  }

  /** The waiting work of this batch: tokens of a proxied batch, items of a batch of prompts. */
  long remainingCapacity() {
    return accepted == null || ended ? 0 : remainingCapacity;
  }

  /** Whether the batch is accepted and neither ended nor finished. */
  public boolean isOpen() {
    return accepted != null && !ended && !finished;
  }

  /** The state as clients read it. */
  public String state() {
    if (accepted == null) {
      return refused ? "refused" : "unknown";
    }
    if (ended) {
      return "ended";
    }
    if (unfinishedItems() == 0) {
      return "finished";
    }
    return results.isEmpty() && highestRangeEpoch == 0 ? "accepted" : "running";
  }
}
