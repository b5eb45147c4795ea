package applespindle.adapters;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Bounds the sum of bytes that are read from connections and held at a time. Whoever finds no room
 * waits in line and does not read its connection meanwhile, so that TCP holds the sender back. A
 * budget with a limit of time then refuses it, so that it can go elsewhere in time. On one thread,
 * but for the figures.
 *
 * <p>Small reservations don't wait behind large ones: a quarter of the limit beyond it is theirs.
 *
 * <p>Invariant: the reserved bytes are within the limit and that quarter, unless a single
 * reservation is larger.
 */
public final class ByteBudget {
  /** Largest size, in bytes, of a small reservation. */
  private static final long SMALL_BYTES = 64 << 10;

  /** Some reserved bytes; released once, by whoever holds them. */
  public final class Reservation {
    private long bytes;

    private Reservation(long bytes) {
      this.bytes = bytes;
    }

    /** Gives the bytes back; no effect after the first call. */
    public void release() {
      long released = bytes;
      bytes = 0;
      if (released > 0) {
        reservedBytes.addAndGet(-released);
        serveWaiting();
      }
    }

    /** Gives a part of the bytes back: fewer are needed than was thought. */
    public void shrinkTo(long needed) {
      long released = bytes - needed;
      if (released > 0) {
        bytes = needed;
        reservedBytes.addAndGet(-released);
        serveWaiting();
      }
    }

    /** Adds the bytes of another reservation of the same budget, which is over by that. */
    public void absorb(Reservation other) {
      bytes += other.bytes;
      other.bytes = 0;
    }
  }

  private static final class Waiting {
    final long bytes;
    final Consumer<Reservation> whenReserved;
    boolean over;

    Waiting(long bytes, Consumer<Reservation> whenReserved) {
      this.bytes = bytes;
      this.whenReserved = whenReserved;
    }
  }

  /** Null if reservations wait as long as they must. */
  private final NioReactor reactor;

  private final long limitBytes;
  private final long maxWaitMs;
  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
  private final AtomicLong reservedBytes = new AtomicLong();
  private final AtomicLong waits = new AtomicLong();
  private final AtomicLong refusals = new AtomicLong();

  /** A budget of which nothing is reserved, and whose reservations wait as long as they must. */
  public static ByteBudget ofPatientSenders(long limitBytes) {
    return new ByteBudget(null, limitBytes, 0);
  }

  /**
   * A budget of which nothing is reserved.
   *
   * @param maxWaitMs how long a reservation may wait before it is refused, in milliseconds
   */
  public ByteBudget(NioReactor reactor, long limitBytes, long maxWaitMs) {
    this.reactor = reactor;
    this.limitBytes = limitBytes;
    this.maxWaitMs = maxWaitMs;
  }

  /** Reserves bytes; one of the callbacks runs, once, perhaps at once. */
  public void reserve(long bytes, Consumer<Reservation> whenReserved, Runnable whenRefused) {
    boolean fits =
        bytes <= SMALL_BYTES ? hasRoomForSmall(bytes) : waiting.isEmpty() && hasRoomFor(bytes);
    if (fits) {
      take(bytes, whenReserved);
      return;
    }
    waits.incrementAndGet();
    Waiting entry = new Waiting(bytes, whenReserved);
    waiting.add(entry);
    if (reactor != null) {
      reactor.delayBackground(maxWaitMs, () -> refuse(entry, whenRefused));
    }
  }

  private void refuse(Waiting entry, Runnable whenRefused) {
    if (!entry.over) {
      entry.over = true;
      waiting.remove(entry);
      refusals.incrementAndGet();
      whenRefused.run();
      serveWaiting();
    }
  }

  private boolean hasRoomFor(long bytes) {
    long reserved = reservedBytes.get();
    return reserved == 0 || reserved + bytes <= limitBytes;
  }

  private boolean hasRoomForSmall(long bytes) {
    return bytes == 0 || reservedBytes.get() + bytes <= limitBytes + limitBytes / 4;
  }

  private void take(long bytes, Consumer<Reservation> whenReserved) {
    reservedBytes.addAndGet(bytes);
    whenReserved.accept(new Reservation(bytes));
  }

  private void serveWaiting() {
    while (!waiting.isEmpty() && hasRoomFor(waiting.peek().bytes)) {
      Waiting next = waiting.remove();
      next.over = true;
      take(next.bytes, next.whenReserved);
    }
  }

  /** The bytes reserved at present; from any thread. */
  public long reservedBytes() {
    return reservedBytes.get();
  }

  /** The most bytes that are reserved, unless a single reservation is larger. */
  public long limitBytes() {
    return limitBytes;
  }

  /** How many reservations had to wait since the start; from any thread. */
  public long waits() {
    return waits.get();
  }

  /** How many reservations were refused since the start; from any thread. */
  public long refusals() {
    return refusals.get();
  }

  /** The figures of the budget as metrics; from any thread. */
  public Map<String, Long> figures(String name) {
    return Map.of(
        name + ".bytes", reservedBytes(),
        name + ".limit.bytes", limitBytes(),
        name + ".waits", waits(),
        name + ".refusals", refusals());
  }
}
