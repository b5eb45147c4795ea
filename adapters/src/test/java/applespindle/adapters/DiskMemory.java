package applespindle.adapters;

import applespindle.corelogic.memory.HolderAccount;
import applespindle.corelogic.memory.MemoryHolder;

/** Accounts for the payloads that a log under test keeps in the heap. */
final class DiskMemory {
  private DiskMemory() {}

  /** More than any test writes. */
  static HolderAccount ample() {
    return ofBytes(Long.MAX_VALUE / 2);
  }

  static HolderAccount ofBytes(long limitBytes) {
    return HolderAccount.unsharedCache(MemoryHolder.DISK_CACHE, limitBytes);
  }
}
