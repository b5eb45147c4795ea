package applespindle.adapters;

import applespindle.corelogic.memory.HolderAccount;

/**
 * The bytes that are queued for all receivers together, in the account of the process: whoever
 * queues them asks whether there is room and counts them. Written on one thread, read on any.
 */
public final class QueuedBytes {
  private final HolderAccount account;

  /** Counts in the account of a holder. */
  public QueuedBytes(HolderAccount account) {
    this.account = account;
  }

  /** Reserves so many bytes more, which are queued then, if there is room; the only ones always. */
  public boolean tryAdd(int more) {
    return account.tryReserve(more);
  }

  /** Counts bytes that are queued no more. */
  public void remove(long bytes) {
    account.release(bytes);
  }

  /** The bytes queued at present. */
  public long get() {
    return account.heldBytes();
  }

  /** The most bytes that are queued, unless a single receiver has more. */
  public long limit() {
    return account.limitBytes();
  }
}
