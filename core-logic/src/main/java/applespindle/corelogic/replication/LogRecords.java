package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;

/** Makes the records that replicas write to their node's disk. */
final class LogRecords {
  private static final byte[] EMPTY = {};

  private LogRecords() {}

  /** The replica of the key refuses epochs below this one. */
  static LogRecord vote(String key, Epoch promisedEpoch) {
    return new LogRecord(Kind.VOTE, key, promisedEpoch, 0, false, EMPTY);
  }

  /** The replica of the key holds the entry. */
  static LogRecord entry(String key, LogEntry entry) {
    return new LogRecord(
        Kind.ENTRY, key, entry.epoch(), entry.sequence(), entry.snapshot(), entry.payload());
  }

  /** The entries of the key up to the sequence are committed. */
  static LogRecord committed(String key, long sequence) {
    return new LogRecord(Kind.COMMITTED, key, Epoch.NONE, sequence, false, EMPTY);
  }

  /** The configuration has at least this version; messages of lower ones are refused. */
  static LogRecord configurationVersion(String name, long version) {
    return new LogRecord(Kind.CONFIGURATION_VERSION, name, Epoch.NONE, version, true, EMPTY);
  }
}
