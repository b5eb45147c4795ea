package applespindle.adapters;

import applespindle.corelogic.log.Payload;
import applespindle.corelogic.memory.HolderAccount;
import java.util.ArrayDeque;

/**
 * The stored payloads that are kept in the heap as well: the newest ones, as far as the account of
 * the cache has room. Beyond it the oldest are released from the heap and from then on read from
 * the disk. Safe for use by several threads.
 */
final class PayloadCache {
  /** Below this size, in bytes, a payload takes hardly more than what stands for it. */
  private static final int MIN_BYTES = 512;

  private final HolderAccount account;
  private final ArrayDeque<Payload> payloads = new ArrayDeque<>();

  PayloadCache(HolderAccount account) {
    this.account = account;
    account.process().onEviction(this::evict);
  }

  /** Adds a payload that is stored. */
  synchronized void add(Payload payload) {
    if (payload.length() < MIN_BYTES) {
      return;
    }
    while (!account.tryCache(payload.length())) {
      if (payloads.isEmpty()) {
        payload.releaseFromHeap();
        return;
      }
      releaseOldest();
    }
    payloads.add(payload);
  }

  /** Releases what others need. */
  private synchronized void evict() {
    while (!payloads.isEmpty() && account.process().excessBytes() > 0) {
      releaseOldest();
    }
  }

  private void releaseOldest() {
    Payload oldest = payloads.remove();
    oldest.releaseFromHeap();
    account.evicted(oldest.length());
  }

  /** The bytes in the heap. */
  long heldBytes() {
    return account.heldBytes();
  }
}
