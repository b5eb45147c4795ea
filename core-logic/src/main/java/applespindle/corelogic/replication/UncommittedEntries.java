package applespindle.corelogic.replication;

import applespindle.corelogic.log.LogEntry;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * By key, the last event that this node's log held at the start beyond what it knew to be
 * committed. It may have been committed, and acknowledged to a client, before the former process
 * ended.
 *
 * <p>Invariant: a key is listed from the end of the recovery until that entry is known to be
 * committed or replaced; no key is added later.
 */
final class UncommittedEntries {
  private final Map<String, LogEntry> lastByKey = new TreeMap<>();

  /** To be called once all records of the log are replayed. */
  void recovered(Map<String, LogReplica> replicas) {
    replicas.forEach(
        (key, replica) ->
            replica.entries.stream()
                .filter(
                    entry -> entry.sequence() > replica.committedSequence && !entry.isEpochStart())
                .forEach(entry -> lastByKey.put(key, entry)));
  }

  /** Another replica knows a committed event at this sequence: entries up to it are decided. */
  void recordCommittedElsewhere(String key, long sequence) {
    LogEntry last = lastByKey.get(key);
    if (last != null && last.sequence() <= sequence) {
      lastByKey.remove(key);
    }
  }

  /** Whether the key's leader has yet to commit or replace the entry. */
  boolean contains(String key, Map<String, LogReplica> replicas) {
    LogEntry last = lastByKey.get(key);
    if (last == null) {
      return false;
    }
    LogReplica replica = replicas.get(key);
    LogEntry present = replica.entryAt(last.sequence());
    boolean undecided =
        replica.committedSequence < last.sequence()
            && present != null
            && present.epoch().equals(last.epoch());
    if (!undecided) {
      lastByKey.remove(key);
    }
    return undecided;
  }

  /** Whether {@link #contains} holds for any key that matches. */
  boolean containsAny(Predicate<String> keys, Map<String, LogReplica> replicas) {
    return !lastByKey.isEmpty()
        && List.copyOf(lastByKey.keySet()).stream()
            .filter(keys)
            .anyMatch(key -> contains(key, replicas));
  }
}
