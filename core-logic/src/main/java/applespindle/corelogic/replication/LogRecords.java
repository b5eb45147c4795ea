package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;

/** The records that a replica writes to its node's log. */
final class LogRecords {
  private static final byte[] EMPTY = {};

  private LogRecords() {}

  static LogRecord vote(String key, Epoch promised) {
    return new LogRecord(Kind.VOTE, key, promised, 0, false, EMPTY);
  }

  static LogRecord entry(String key, LogEntry entry) {
    return new LogRecord(
        Kind.ENTRY, key, entry.epoch(), entry.sequence(), entry.snapshot(), entry.event());
  }

  static LogRecord committed(String key, long committed) {
    return new LogRecord(Kind.COMMITTED, key, Epoch.NONE, committed, false, EMPTY);
  }

  static LogRecord configurationVersion(String name, long number) {
    return new LogRecord(Kind.CONFIGURATION_VERSION, name, Epoch.NONE, number, true, EMPTY);
  }
}
