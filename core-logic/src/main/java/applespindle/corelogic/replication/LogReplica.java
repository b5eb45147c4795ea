package applespindle.corelogic.replication;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntries;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.NodeAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * One node's replica of one key's log, with what the node knows of the key's leader. The promised
 * epoch, the entries and the commit position last over a restart; the rest doesn't.
 *
 * <p>Invariants: entries are contiguous by sequence, and only a snapshot begins the log above 1;
 * {@code announcedSequence <= committedSequence <= lastSequence()}; none of the three falls, but
 * for the last sequence, when a newer leader replaces uncommitted entries.
 */
public final class LogReplica {
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Never falls. Every message with a lower epoch is refused. */
  Epoch promisedEpoch = Epoch.NONE;

  /** Contiguous by sequence. Entries up to the committed one never change. */
  public final List<LogEntry> entries = new ArrayList<>();

  /** At most the last entry's sequence; never falls. */
  long committedSequence;

  /** The commit listener has got every committed entry up to here. */
  long announcedSequence;

  /** The leader last in contact; empty if there was none since the start. */
  public String leaderId = "";

  public String leaderAddress = "";
  long leaderContactAtMs = NEVER;

  /** The candidate that this replica voted for last. */
  private String candidateId = "";

  private String candidateAddress = "";
  private long candidateContactAtMs = NEVER;

  /** How many writes for this replica aren't synced yet. */
  long unsyncedWrites;

  long lastSequence() {
    return LogEntries.lastSequence(entries);
  }

  /** The entry at this sequence, or null if it isn't held. */
  LogEntry entryAt(long sequence) {
    if (entries.isEmpty() || sequence < entries.get(0).sequence() || sequence > lastSequence()) {
      return null;
    }
    return entries.get((int) (sequence - entries.get(0).sequence()));
  }

  /**
   * Whether this log has the entry, or is committed beyond it. What is committed here is never
   * replaced: an append that was overtaken on its way may begin with entries that a snapshot has
   * replaced by now, and taking them would drop what follows.
   */
  boolean contains(LogEntry entry) {
    if (entry.sequence() <= committedSequence) {
      return true;
    }
    LogEntry present = entryAt(entry.sequence());
    return present != null && present.epoch().equals(entry.epoch());
  }

  /**
   * Adds an entry. It replaces the entry at its sequence and all after, or the whole log if it
   * doesn't adjoin.
   */
  void put(LogEntry entry) {
    if (entryAt(entry.sequence()) != null) {
      int index = (int) (entry.sequence() - entries.get(0).sequence());
      entries.subList(index, entries.size()).clear();
    } else if (entry.sequence() != lastSequence() + 1) {
      entries.clear();
    }
    entries.add(entry);
  }

  /** Drops the entries before the last committed snapshot. */
  void trim() {
    LogEntries.trim(entries, committedSequence);
  }

  /** Records contact with the candidate that this replica voted for. */
  void recordCandidateContact(String id, String address, long nowMs) {
    candidateId = id;
    candidateAddress = address;
    candidateContactAtMs = nowMs;
  }

  /** Whether there was no leader contact for {@link ReplicationConstants#LEADER_TIMEOUT_MS}. */
  boolean isLeaderTimedOut(long nowMs) {
    return nowMs - leaderContactAtMs >= ReplicationConstants.LEADER_TIMEOUT_MS;
  }

  /**
   * The candidate or leader last in contact, or {@link NodeAddress#NONE}. A candidate counts while
   * it may still be fetching the log, a leader until it has timed out.
   */
  NodeAddress knownLeader(long nowMs) {
    boolean candidateCounts =
        nowMs - candidateContactAtMs < ReplicationConstants.LOG_FETCH_TIMEOUT_MS;
    if (candidateCounts && candidateContactAtMs > leaderContactAtMs) {
      return new NodeAddress(candidateId, candidateAddress);
    }
    return isLeaderTimedOut(nowMs) ? NodeAddress.NONE : new NodeAddress(leaderId, leaderAddress);
  }
}
