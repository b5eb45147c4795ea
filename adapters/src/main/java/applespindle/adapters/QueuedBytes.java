package applespindle.adapters;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The bytes that are queued for all receivers together, and their limit: whoever queues them asks
 * whether there is room and counts them. Written on one thread, read on any.
 */
public final class QueuedBytes {
  private final long limit;
  private final AtomicLong bytes = new AtomicLong();

  /** Nothing is queued yet. */
  public QueuedBytes(long limit) {
    this.limit = limit;
  }

  /** Whether so many bytes more may be queued now; the only ones always may. */
  public boolean hasRoomFor(int more) {
    long queued = bytes.get();
    return queued == 0 || queued + more <= limit;
  }

  /** Counts bytes that were queued, or with a negative number that are queued no more. */
  public void add(long more) {
    bytes.addAndGet(more);
  }

  /** The bytes queued at present. */
  public long get() {
    return bytes.get();
  }

  /** The most bytes that are queued, unless a single receiver has more. */
  public long limit() {
    return limit;
  }
}
