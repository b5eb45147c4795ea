package applespindle.corelogic.log;

import applespindle.corelogic.constants.ReplicationConstants;
import java.util.ArrayList;
import java.util.List;

/**
 * Functions of a log as a list of entries, contiguous by sequence and oldest first. Only {@link
 * #trim} changes the list; nothing changes an entry.
 */
public final class LogEntries {
  private LogEntries() {}

  /** Drops the entries before the last snapshot that is committed. */
  public static void trim(List<LogEntry> entries, long committed) {
    for (int index = entries.size() - 1; index > 0; index--) {
      if (entries.get(index).snapshot() && entries.get(index).sequence() <= committed) {
        entries.subList(0, index).clear();
        return;
      }
    }
  }

  /**
   * The last entries, as many as have at most this many bytes and at least one; all of them if the
   * limit is 0 or less.
   */
  public static List<LogEntry> tail(List<LogEntry> entries, int maxBytes) {
    if (maxBytes <= 0 || entries.isEmpty()) {
      return List.copyOf(entries);
    }
    int from = entries.size() - 1;
    long bytes = entries.get(from).eventBytes();
    while (from > 0 && bytes + entries.get(from - 1).eventBytes() <= maxBytes) {
      from--;
      bytes += entries.get(from).eventBytes();
    }
    return List.copyOf(entries.subList(from, entries.size()));
  }

  /**
   * The first entries from one sequence to another, both included: as many as have at most {@link
   * ReplicationConstants#MAX_LOG_FETCH_BYTES} and at least one, if there is one.
   */
  public static List<LogEntry> slice(List<LogEntry> entries, long from, long to) {
    List<LogEntry> part = new ArrayList<>();
    long bytes = 0;
    for (LogEntry entry : entries) {
      if (entry.sequence() < from || entry.sequence() > to) {
        continue;
      }
      bytes += entry.eventBytes();
      if (!part.isEmpty() && bytes > ReplicationConstants.MAX_LOG_FETCH_BYTES) {
        break;
      }
      part.add(entry);
    }
    return part;
  }

  /** The sequence of the last entry; 0 if there is none. */
  public static long lastSequence(List<LogEntry> entries) {
    return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).sequence();
  }

  /**
   * Whether the first log is more recent than the second: its last entry has the higher epoch, or
   * the same epoch and the higher sequence. An empty log is never more recent.
   */
  public static boolean isMoreUpToDate(List<LogEntry> log, List<LogEntry> other) {
    if (log.isEmpty() || other.isEmpty()) {
      return !log.isEmpty();
    }
    LogEntry last = log.get(log.size() - 1);
    LogEntry lastOfOther = other.get(other.size() - 1);
    int byEpoch = last.epoch().compareTo(lastOfOther.epoch());
    return byEpoch != 0 ? byEpoch > 0 : last.sequence() > lastOfOther.sequence();
  }
}
