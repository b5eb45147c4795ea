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
 * A batch as folded from the committed entries of its log; every leader that folds the same log
 * sees the same.
 */
public final class BatchState {
  public Accepted accepted;

  /** The log accepted the batch once more while it stood accepted: a defect. */
  boolean acceptedTwice;

  boolean refused;
  boolean ended;
  boolean finished;

  /**
   * Highest age any leader knew of; carried on by the next, so that no wall clock is needed for the
   * expiry.
   */
  long ageMs;

  /** In the order of handing out: a random permutation of range numbers, fixed at acceptance. */
  List<Integer> order = List.of();

  final List<BatchRange> ranges = new ArrayList<>();

  /** In order of recording. Only ever grows, and an entry never changes once it is in. */
  public final List<Result> results = new ArrayList<>();

  /** By item: the first committed result, later ones are dropped. */
  private Result[] resultByItem = new Result[0];

  private int[] attempts = new int[0];

  /** What each item takes of the room for waiting work: its tokens if it is opaque, else one. */
  private long[] capacityByItem = new long[0];

  private long remainingCapacity;

  /** Each failed run counts once, however often it is reported. */
  private final Set<String> failedRuns = new HashSet<>();

  long highestRangeEpoch;

  void apply(byte[] bytes) {
    apply(BatchEventCodec.decode(bytes));
  }

  /** The same for an event that need not be read again, as it was written here. */
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

  public int items() {
    return resultByItem.length;
  }

  int unfinishedItems() {
    return accepted == null || ended ? 0 : resultByItem.length - results.size();
  }

  /** Of the room for waiting work, what this batch still takes. */
  long remainingCapacity() {
    return accepted == null || ended ? 0 : remainingCapacity;
  }

  public boolean isOpen() {
    return accepted != null && !ended && !finished;
  }

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
