package applespindle.corelogic.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.replication.InvariantViolation.Invariant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What was sent and seen in a run so far, and the invariants that are checked as it happens. */
final class ModelHistory {
  /** By sequence, the entry that some process called committed. */
  private final TreeMap<Long, LogEntry> committed = new TreeMap<>();

  private final TreeMap<Long, LogEntry> acknowledged = new TreeMap<>();

  /** By replica, the highest epoch that it has voted for or acknowledged to others. */
  private final Map<String, Epoch> promisedToOthers = new TreeMap<>();

  /** The last sequence that was acknowledged or in the view of a confirmed read. */
  private long lastSeen;

  long lastSeen() {
    return lastSeen;
  }

  TreeMap<Long, LogEntry> acknowledged() {
    return acknowledged;
  }

  Epoch promisedToOthers(String replica) {
    return promisedToOthers.getOrDefault(replica, Epoch.NONE);
  }

  static boolean same(LogEntry one, LogEntry other) {
    return one.epoch().equals(other.epoch()) && Arrays.equals(one.event(), other.event());
  }

  void committed(String by, LogEntry entry) {
    LogEntry present = committed.putIfAbsent(entry.sequence(), entry);
    if (present != null && !same(present, entry)) {
      throw new InvariantViolation(
          Invariant.ONE_VALUE,
          by + " has " + describe(entry) + " where " + describe(present) + " was committed");
    }
  }

  void acknowledged(LogEntry entry) {
    committed("a client", entry);
    acknowledged.put(entry.sequence(), entry);
    lastSeen = Math.max(lastSeen, entry.sequence());
  }

  void sent(Envelope envelope) {
    if (envelope.message() instanceof VoteResponse vote && vote.verdict() == Verdict.OK) {
      promisedToOthers.merge(envelope.fromId(), vote.requestedEpoch(), ModelHistory::higher);
    } else if (envelope.message() instanceof AppendResponse appended
        && appended.verdict() == Verdict.OK) {
      promisedToOthers.merge(envelope.fromId(), appended.epoch(), ModelHistory::higher);
    }
  }

  private static Epoch higher(Epoch one, Epoch other) {
    return one.isBelow(other) ? other : one;
  }

  /** A leader is about to add an entry to its view. */
  void applied(String leader, List<LogEntry> log, List<LogEntry> view, LogEntry entry) {
    committed(leader + "'s view", entry);
    long last = lastOf(view);
    if (entry.sequence() <= last) {
      throw new InvariantViolation(
          Invariant.VIEW_IS_LOG,
          leader + " applies " + describe(entry) + " after sequence " + last);
    }
    if (entry.snapshot()) {
      return;
    }
    for (LogEntry each : log) {
      if (!each.isEpochStart() && each.sequence() > last && each.sequence() < entry.sequence()) {
        throw new InvariantViolation(
            Invariant.VIEW_IS_LOG,
            leader + " applies " + describe(entry) + " and has never applied " + describe(each));
      }
    }
  }

  /**
   * A read was confirmed. before: what had been seen when it began; last: the last value in the
   * leader's log then.
   */
  void read(String leader, List<LogEntry> view, long before, long last) {
    long seen = lastOf(view);
    if (seen < before) {
      throw new InvariantViolation(
          Invariant.READ_CURRENT,
          leader + " reads up to " + seen + " where " + before + " was seen");
    }
    if (seen < last) {
      throw new InvariantViolation(
          Invariant.VIEW_IS_LOG, leader + " reads up to " + seen + " of a log up to " + last);
    }
    lastSeen = Math.max(lastSeen, seen);
  }

  private static long lastOf(List<LogEntry> entries) {
    return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).sequence();
  }

  static String describe(LogEntry entry) {
    return entry.sequence()
        + "="
        + (entry.isEpochStart() ? "start" : new String(entry.event(), UTF_8))
        + " of epoch "
        + entry.epoch().counter()
        + entry.epoch().node();
  }
}
