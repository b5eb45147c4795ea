package applespindle.corelogic.batch;

import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.batch.BatchEvent.Attempt;
import applespindle.corelogic.batch.BatchEvent.Result;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;

/**
 * A batch as folded from the committed entries of its log; leaders that fold the same log have the
 * same state. It holds neither the contents of items nor outputs but where they are in the log, so
 * that its size follows the number of items and not their bytes.
 *
 * <p>A batch is accepted once, then either finished or ended, and may be removed after that. It is
 * refused only while it is not accepted. Invariants: an item has at most one result, which never
 * changes; results are only appended, and none after the end; the epochs of ranges never fall.
 */
public final class BatchState {
  /** The acceptance without its items; null before it. */
  public Accepted accepted;

  private EventParts itemParts = EventParts.NONE;
  private String[] itemIds = new String[0];

  /** By item: the size of its contents in bytes, or of its batch's if that is small. */
  private int[] itemBytes = new int[0];

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
  public final List<RecordedResult> results = new ArrayList<>();

  /** By item: whether it has a result; later ones are dropped. */
  private boolean[] hasResult = new boolean[0];

  private int[] attempts = new int[0];

  /** What each item counts as waiting work: its tokens if it is proxied, else one. */
  private long[] capacityByItem = new long[0];

  private long remainingCapacity;

  /** Ids of failed runs: each counts once as an attempt, however often it is reported. */
  private final Set<String> failedRuns = new HashSet<>();

  long highestRangeEpoch;

  /**
   * Folds an entry of the log.
   *
   * @param sequence of the entry
   * @param eventBytes the size of the stored event
   * @param event which of a framed event may be the header only
   */
  void apply(long sequence, int eventBytes, BatchEvent event) {
    ageMs = Math.max(ageMs, event.ageMs() == null ? 0 : event.ageMs());
    switch (event.kind()) {
      case BatchEvent.ACCEPTED -> accept(sequence, eventBytes, event.accepted());
      case BatchEvent.ORDERED -> order(event);
      case BatchEvent.ASSIGNED -> {
        BatchRange range = ranges.get(event.assigned().range());
        range.state = BatchRange.State.ASSIGNED;
        range.epoch = event.assigned().rangeEpoch();
        range.dispatcher = event.assigned().dispatcher();
        highestRangeEpoch = Math.max(highestRangeEpoch, range.epoch);
      }
      case BatchEvent.RECORDED -> record(sequence, eventBytes, event.recorded());
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

  private void accept(long sequence, int eventBytes, Accepted event) {
    acceptedTwice |= accepted != null;
    if (accepted == null) {
      ended = false;
      finished = false;
      accepted = event.withItems(List.of(), null);
      refused = false;
      itemParts = new EventParts(sequence, eventBytes, event.frames());
      acceptItems(eventBytes, event);
    }
  }

  private void acceptItems(int eventBytes, Accepted event) {
    int items = event.items().size();
    hasResult = new boolean[items];
    attempts = new int[items];
    itemIds = new String[items];
    itemBytes = new int[items];
    capacityByItem = new long[items];
    for (int index = 0; index < items; index++) {
      JsonNode item = event.items().get(index);
      itemIds[index] = item.path("id").asText();
      itemBytes[index] = event.frames() == null ? eventBytes : BatchEventCodec.itemBytes(item);
      capacityByItem[index] =
          event.proxiedRoute() == null ? 1 : Math.max(1, item.path("tokens").asLong());
    }
    remainingCapacity = LongStream.of(capacityByItem).sum();
  }

  private void order(BatchEvent event) {
    if (!ranges.isEmpty()) {
      return;
    }
    order = event.order();
    int items = items();
    for (int first = 0; first < items; first += event.rangeItems()) {
      ranges.add(new BatchRange(first, Math.min(event.rangeItems(), items - first)));
    }
  }

  private void record(long sequence, int eventBytes, BatchEvent.Recorded event) {
    if (ended) {
      return;
    }
    EventParts outputParts = new EventParts(sequence, eventBytes, event.frames());
    for (int position = 0; position < event.results().size(); position++) {
      Result result = event.results().get(position);
      if (!hasResult[result.index()]) {
        hasResult[result.index()] = true;
        remainingCapacity -= capacityByItem[result.index()];
        results.add(RecordedResult.of(result, outputParts, position));
      }
    }
    for (Attempt attempt : event.attempts()) {
      if (failedRuns.add(attempt.run())) {
        attempts[attempt.index()]++;
      }
    }
    for (BatchRange range : ranges) {
      while (range.offset < range.length && hasResult[range.first + range.offset]) {
        range.offset++;
      }
      if (range.offset == range.length) {
        range.state = BatchRange.State.DONE;
      }
    }
  }

  boolean hasResult(int item) {
    return hasResult[item];
  }

  /** The client's id for an item. */
  String itemId(int item) {
    return itemIds[item];
  }

  /** The index of the item with the client's id; negative if there is none. */
  int itemOfId(String id) {
    return Arrays.asList(itemIds).indexOf(id);
  }

  /** The size of an item's contents; that of all items if its event has no frames. */
  int itemBytes(int item) {
    return itemBytes[item];
  }

  /** Where the contents of an item are in the log. */
  EventPart itemPart(int item) {
    return itemParts.part(item);
  }

  /** About how many bytes the contents of the largest range have; 0 before there are ranges. */
  long largestRangeBytes() {
    long largest = 0;
    for (BatchRange range : ranges) {
      long bytes = 0;
      for (int item = range.first; item < range.first + range.length; item++) {
        bytes += itemBytes[item];
      }
      largest = Math.max(largest, bytes);
    }
    return largest;
  }

  boolean hasFailed(String run) {
    return failedRuns.contains(run);
  }

  int attempts(int item) {
    return attempts[item];
  }

  /** Number of items; 0 before the acceptance. */
  public int items() {
    return itemIds.length;
  }

  int unfinishedItems() {
    return accepted == null || ended ? 0 : items() - results.size();
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
