package applespindle.corelogic.storage;

import applespindle.corelogic.batch.BatchEvent;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Which of the batches replicated here are unfinished and which have ended, by the committed events
 * of their logs. Invariant: no batch is in both.
 */
final class StoredBatches {
  private static final Set<String> ENDING_EVENTS =
      Set.of(BatchEvent.FINISHED, BatchEvent.ENDED, BatchEvent.REFUSED);

  /** Keys of batches that were accepted and have neither finished, ended nor been rejected. */
  private final Set<String> unfinished = new TreeSet<>();

  /** By key of an ended batch: when this process learned of its end. */
  private final Map<String, Long> endedSince = new TreeMap<>();

  private long removed;

  /** Applies a committed event of a batch's log. */
  void apply(String key, String eventKind, long now) {
    if (eventKind.equals(BatchEvent.ACCEPTED)) {
      unfinished.add(key);
      endedSince.remove(key);
    } else if (ENDING_EVENTS.contains(eventKind)) {
      unfinished.remove(key);
      endedSince.put(key, now);
    } else if (eventKind.equals(BatchEvent.REMOVED)) {
      endedSince.remove(key);
      removed++;
    }
  }

  Set<String> unfinished() {
    return unfinished;
  }

  /** By key of an ended batch: when this process learned of its end, on this node's clock. */
  Map<String, Long> endedSince() {
    return endedSince;
  }

  /** How many batches have been removed since the start. */
  long removed() {
    return removed;
  }
}
