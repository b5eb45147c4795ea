package applespindle.adapters;

import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of large frames that are being read from all peers together or wait for the
 * logic. A connection reads the rest of a large frame only once its bytes are reserved; until then
 * TCP holds the sender back, and nothing is lost. On the peer thread.
 *
 * <p>Invariant: the reserved bytes are within the limit, unless a single frame is larger.
 */
final class InboundBudget {
  private record Waiting(int bytes, Runnable whenReserved) {}

  private final long limitBytes;
  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
  private final AtomicLong reservedBytes = new AtomicLong();
  private final AtomicLong waits = new AtomicLong();

  InboundBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Reserves bytes, now or when those before in line have theirs and others are released. */
  void reserve(int bytes, Runnable whenReserved) {
    if (waiting.isEmpty() && hasRoomFor(bytes)) {
      reservedBytes.addAndGet(bytes);
      whenReserved.run();
    } else {
      waits.incrementAndGet();
      waiting.add(new Waiting(bytes, whenReserved));
    }
  }

  private boolean hasRoomFor(int bytes) {
    long reserved = reservedBytes.get();
    return reserved == 0 || reserved + bytes <= limitBytes;
  }

  /** Releases bytes that were reserved. */
  void release(int bytes) {
    reservedBytes.addAndGet(-bytes);
    while (!waiting.isEmpty() && hasRoomFor(waiting.peek().bytes())) {
      Waiting next = waiting.remove();
      reservedBytes.addAndGet(next.bytes());
      next.whenReserved().run();
    }
  }

  /** The bytes reserved at present; from any thread. */
  long reservedBytes() {
    return reservedBytes.get();
  }

  /** The most bytes that are reserved, unless a single frame is larger. */
  long limitBytes() {
    return limitBytes;
  }

  /** How often a frame had to wait since the start; from any thread. */
  long waits() {
    return waits.get();
  }
}
