package applespindle.corelogic.batch;

import applespindle.corelogic.batch.BatchEvent.Result;
import applespindle.corelogic.protocol.Message.ItemOutcome;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Outcomes of items that are not in the batch's state: results whose entry is not committed yet,
 * and partial streams, which are never recorded. All of it is in memory only; a new leader runs
 * such items anew.
 */
final class UnrecordedOutcomes {
  private final Set<Integer> beingRecorded = new HashSet<>();

  /** The longest partial stream of each item that a dispatcher returned. */
  private final Map<Integer, ItemOutcome> partialStreams = new HashMap<>();

  boolean isBeingRecorded(int index) {
    return beingRecorded.contains(index);
  }

  /** False if a result of the item is being recorded already. */
  boolean startRecording(int index) {
    return beingRecorded.add(index);
  }

  void startRecording(List<Result> results) {
    results.forEach(result -> beingRecorded.add(result.index()));
  }

  void endRecording(List<Result> results) {
    results.forEach(result -> beingRecorded.remove(result.index()));
  }

  /** The longest partial stream of the item, or null. */
  ItemOutcome partialStream(int index) {
    return partialStreams.get(index);
  }

  /** Keeps the longer of this partial stream and the one that is held. */
  void addPartialStream(ItemOutcome outcome) {
    partialStreams.merge(
        outcome.index(),
        outcome,
        (held, added) -> held.output().length > added.output().length ? held : added);
  }

  void removePartialStream(int index) {
    partialStreams.remove(index);
  }
}
