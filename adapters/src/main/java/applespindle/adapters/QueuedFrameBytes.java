package applespindle.adapters;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The bytes of the large frames that are queued for all peers together, and their limit. Small
 * frames are not counted: heartbeats and votes must not be held up by large records. Written on the
 * peer thread, read on any.
 */
final class QueuedFrameBytes {
  private final long limit;
  private final AtomicLong bytes = new AtomicLong();

  QueuedFrameBytes(long limit) {
    this.limit = limit;
  }

  /** Whether a frame of this size may be queued now; the only one always may. */
  boolean hasRoomFor(int frameBytes) {
    long queued = bytes.get();
    return queued == 0 || queued + frameBytes <= limit;
  }

  /** Counts frames that were queued, or with a negative number that are queued no more. */
  void add(long frameBytes) {
    bytes.addAndGet(frameBytes);
  }

  /** The bytes queued at present. */
  long get() {
    return bytes.get();
  }

  /** The most bytes that are queued, unless a single frame is larger. */
  long limit() {
    return limit;
  }
}
