package applespindle.corelogic.replication;

import applespindle.corelogic.log.LogEntry;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * By key, the last event that this node's log held at the start beyond what it knew to be
 * committed. It may have been committed, and answered, before the former process ended. Invariant:
 * a key is listed until that entry is known to be committed or replaced.
 */
final class UncommittedEntries {
  private final Map<String, LogEntry> lastByKey = new TreeMap<>();

  /** To be called once all records of the log are replayed. */
  void recovered(Map<String, LogReplica> copies) {
    copies.forEach(
        (key, replica) ->
            replica.entries.stream()
                .filter(
                    entry -> entry.sequence() > replica.committedSequence && !entry.isEpochStart())
                .forEach(entry -> lastByKey.put(key, entry)));
  }

  /** Another replica knows a committed event at this place: what stands up to there is decided. */
  void committedElsewhere(String key, long sequence) {
    LogEntry last = lastByKey.get(key);
    if (last != null && last.sequence() <= sequence) {
      lastByKey.remove(key);
    }
  }

  /** Whether the key's leader has yet to decide. */
  boolean contains(String key, Map<String, LogReplica> copies) {
    LogEntry last = lastByKey.get(key);
    if (last == null) {
      return false;
    }
    LogReplica replica = copies.get(key);
    LogEntry present = replica.entryAt(last.sequence());
    boolean open =
        replica.committedSequence < last.sequence()
            && present != null
            && present.epoch().equals(last.epoch());
    if (!open) {
      lastByKey.remove(key);
    }
    return open;
  }

  boolean containsAny(Predicate<String> keys, Map<String, LogReplica> copies) {
    return !lastByKey.isEmpty()
        && List.copyOf(lastByKey.keySet()).stream()
            .filter(keys)
            .anyMatch(key -> contains(key, copies));
  }
}
