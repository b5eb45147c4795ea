package applespindle.adapters;

import applespindle.corelogic.log.Payload;
import java.util.ArrayDeque;

/**
 * The stored payloads that are kept in the heap as well: the newest ones, up to a limit in bytes.
 * Beyond it the oldest are released from the heap and from then on read from the disk.
 *
 * <p>On the thread that writes the log, but for {@link #heldBytes}.
 */
final class PayloadCache {
  /** Below this size, in bytes, a payload takes hardly more than what stands for it. */
  private static final int MIN_BYTES = 512;

  private final long limitBytes;
  private final ArrayDeque<Payload> payloads = new ArrayDeque<>();
  private volatile long heldBytes;

  PayloadCache(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Adds a payload that is stored. */
  void add(Payload payload) {
    if (payload.length() < MIN_BYTES) {
      return;
    }
    payloads.add(payload);
    long held = heldBytes + payload.length();
    while (held > limitBytes) {
      Payload oldest = payloads.remove();
      oldest.releaseFromHeap();
      held -= oldest.length();
    }
    heldBytes = held;
  }

  /** The bytes in the heap; from any thread. */
  long heldBytes() {
    return heldBytes;
  }

  /** The most bytes that are kept in the heap. */
  long limitBytes() {
    return limitBytes;
  }
}
