package applespindle.corelogic;

import applespindle.corelogic.DiskRecord.Kind;

/** The records that a replica writes to its node's log. */
final class ReplicaRecords {
  private static final byte[] EMPTY = {};

  private ReplicaRecords() {}

  static DiskRecord promise(String key, Epoch promised) {
    return new DiskRecord(Kind.PROMISE, key, promised, 0, false, EMPTY);
  }

  static DiskRecord entry(String key, Entry entry) {
    return new DiskRecord(
        Kind.ENTRY, key, entry.epoch(), entry.sequence(), entry.whole(), entry.event());
  }

  static DiskRecord committed(String key, long committed) {
    return new DiskRecord(Kind.COMMITTED, key, Epoch.NONE, committed, false, EMPTY);
  }

  static DiskRecord setNumber(String name, long number) {
    return new DiskRecord(Kind.SET, name, Epoch.NONE, number, true, EMPTY);
  }
}
