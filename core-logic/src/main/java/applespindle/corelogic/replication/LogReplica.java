package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntries;
import applespindle.corelogic.log.LogEntry;
import java.util.ArrayList;
import java.util.List;

/** One node's replica of one key's log. */
public final class LogReplica {
  /** Never falls. Every message with a lower epoch is refused. */
  Epoch promisedEpoch = Epoch.NONE;

  /**
   * Contiguous by sequence. Entries up to committed never change; only a whole entry may begin the
   * list above 1.
   */
  public final List<LogEntry> entries = new ArrayList<>();

  /** At most the last entry's sequence; never falls. */
  long committedSequence;

  /** The listener has heard of every committed entry up to here. */
  long announcedSequence;

  public String leaderId = "";
  public String leaderAddress = "";
  long leaderHeardAt = Long.MIN_VALUE / 2;

  /** Who claims the key or has just claimed it, and when it was heard last. */
  String candidateId = "";

  String candidateAddress = "";
  long candidateHeardAt = Long.MIN_VALUE / 2;
  long unsyncedWrites;

  long lastSequence() {
    return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).sequence();
  }

  LogEntry entryAt(long sequence) {
    if (entries.isEmpty() || sequence < entries.get(0).sequence() || sequence > lastSequence()) {
      return null;
    }
    return entries.get((int) (sequence - entries.get(0).sequence()));
  }

  /**
   * Whether this log has the entry, or is committed beyond it. What is committed here is never
   * replaced: an append that was overtaken on its way may begin with entries that a whole one
   * stands for by now, and taking them would drop what follows.
   */
  boolean contains(LogEntry entry) {
    if (entry.sequence() <= committedSequence) {
      return true;
    }
    LogEntry present = entryAt(entry.sequence());
    return present != null && present.epoch().equals(entry.epoch());
  }

  /** Adds an entry; it replaces what stands at its place and after, or all if it is apart. */
  void put(LogEntry entry) {
    if (entryAt(entry.sequence()) != null) {
      int index = (int) (entry.sequence() - entries.get(0).sequence());
      entries.subList(index, entries.size()).clear();
    } else if (entry.sequence() != lastSequence() + 1) {
      entries.clear();
    }
    entries.add(entry);
  }

  void trim() {
    LogEntries.trim(entries, committedSequence);
  }
}
