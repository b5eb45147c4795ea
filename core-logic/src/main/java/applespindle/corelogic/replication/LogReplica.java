package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntries;
import applespindle.corelogic.log.LogEntry;
import java.util.ArrayList;
import java.util.List;

/** One node's replica of one key's log. */
public final class LogReplica {
  /** Never falls. Every message with a lower epoch is refused. */
  Epoch promised = Epoch.NONE;

  /**
   * Contiguous by sequence. Entries up to committed never change; only a whole entry may begin the
   * list above 1.
   */
  public final List<LogEntry> entries = new ArrayList<>();

  /** At most the last entry's sequence; never falls. */
  long committed;

  /** The listener has heard of every committed entry up to here. */
  long announced;

  public String owner = "";
  public String ownerAddress = "";
  long heardOwnerAt = Long.MIN_VALUE / 2;

  /** Who claims the key or has just claimed it, and when it was heard last. */
  String claimant = "";

  String claimantAddress = "";
  long heardClaimantAt = Long.MIN_VALUE / 2;
  long unsynced;

  long lastSequence() {
    return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).sequence();
  }

  LogEntry at(long sequence) {
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
  boolean holdsAlready(LogEntry entry) {
    if (entry.sequence() <= committed) {
      return true;
    }
    LogEntry present = at(entry.sequence());
    return present != null && present.epoch().equals(entry.epoch());
  }

  /** Adds an entry; it replaces what stands at its place and after, or all if it is apart. */
  void place(LogEntry entry) {
    if (at(entry.sequence()) != null) {
      int index = (int) (entry.sequence() - entries.get(0).sequence());
      entries.subList(index, entries.size()).clear();
    } else if (entry.sequence() != lastSequence() + 1) {
      entries.clear();
    }
    entries.add(entry);
  }

  void trim() {
    LogEntries.trim(entries, committed);
  }
}
