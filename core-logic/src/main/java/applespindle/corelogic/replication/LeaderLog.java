package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntries;
import applespindle.corelogic.log.LogEntry;
import java.util.ArrayList;
import java.util.List;

/**
 * A leader's copy of its log with the commit position. Empty until the election is won.
 *
 * <p>Invariants: entries are contiguous by sequence; those before the first one of the leader's own
 * epoch never change; the commit position never falls, and is either 0 or at an entry of the
 * leader's own epoch.
 */
final class LeaderLog {
  private final List<LogEntry> entries = new ArrayList<>();
  private Epoch epoch = Epoch.NONE;
  private long firstOwnSequence;
  private long committedSequence;

  /** Takes the log that the voters hold and appends the empty entry that begins the epoch. */
  void adopt(ElectionVictory victory) {
    epoch = victory.epoch();
    entries.addAll(victory.log());
    firstOwnSequence = lastSequence() + 1;
    entries.add(new LogEntry(firstOwnSequence, epoch, false, new byte[0]));
  }

  /** Appends an event and returns its sequence. */
  long append(boolean snapshot, byte[] event) {
    long sequence = lastSequence() + 1;
    entries.add(new LogEntry(sequence, epoch, snapshot, event));
    return sequence;
  }

  /**
   * Commits up to a sequence that a quorum has synced, and drops what a committed snapshot
   * replaces. An entry of an earlier epoch is committed only along with one of the leader's own.
   *
   * @return whether the commit position has risen
   */
  boolean commit(long syncedByQuorum) {
    if (syncedByQuorum < firstOwnSequence || syncedByQuorum <= committedSequence) {
      return false;
    }
    committedSequence = syncedByQuorum;
    LogEntries.trim(entries, committedSequence);
    return true;
  }

  /** The leader's epoch; {@link Epoch#NONE} until the election is won. */
  Epoch epoch() {
    return epoch;
  }

  /** The entries themselves, not a copy. */
  List<LogEntry> entries() {
    return entries;
  }

  /** The sequence of the first entry that is still held. There has to be one. */
  long firstSequence() {
    return entries.get(0).sequence();
  }

  /** The sequence of the last entry, committed or not; 0 while there is none. */
  long lastSequence() {
    return LogEntries.lastSequence(entries);
  }

  /** The sequence of the empty entry that begins the leader's epoch. */
  long firstOwnSequence() {
    return firstOwnSequence;
  }

  long committedSequence() {
    return committedSequence;
  }

  boolean isFullyCommitted() {
    return lastSequence() <= committedSequence;
  }

  /** A copy of the entries from this sequence on, which is at least the first one. */
  List<LogEntry> entriesFrom(long sequence) {
    return sequence > lastSequence()
        ? List.of()
        : List.copyOf(entries.subList((int) (sequence - firstSequence()), entries.size()));
  }

  /** The entry of this sequence; null if it is not part of the log any more. */
  LogEntry entryAt(long sequence) {
    return entries.isEmpty() || sequence < firstSequence() || sequence > lastSequence()
        ? null
        : entries.get((int) (sequence - firstSequence()));
  }

  /** The epoch of an entry that is held. */
  Epoch epochAt(long sequence) {
    return entries.get((int) (sequence - firstSequence())).epoch();
  }
}
