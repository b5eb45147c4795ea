package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;

/** The records that a replica writes to its node's log. */
final class LogRecords {
  private static final byte[] EMPTY = {};

  private LogRecords() {}

  static LogRecord promise(String key, Epoch promised) {
    return new LogRecord(Kind.PROMISE, key, promised, 0, false, EMPTY);
  }

  static LogRecord entry(String key, LogEntry entry) {
    return new LogRecord(
        Kind.ENTRY, key, entry.epoch(), entry.sequence(), entry.whole(), entry.event());
  }

  static LogRecord committed(String key, long committed) {
    return new LogRecord(Kind.COMMITTED, key, Epoch.NONE, committed, false, EMPTY);
  }

  static LogRecord setNumber(String name, long number) {
    return new LogRecord(Kind.SET, name, Epoch.NONE, number, true, EMPTY);
  }
}
