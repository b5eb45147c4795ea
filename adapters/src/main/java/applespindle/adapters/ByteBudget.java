package applespindle.adapters;

import applespindle.corelogic.memory.HolderAccount;
import applespindle.corelogic.memory.MemoryHolder;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Reserves the bytes that are read from connections in the account of the process. Whoever finds no
 * room waits in line and does not read its connection meanwhile, so that TCP holds the sender back.
 * A budget with a limit of time then refuses it, so that it can go elsewhere in time. On one
 * thread, but for the figures.
 *
 * <p>Small reservations don't wait behind large ones: they may have an account of their own.
 */
public final class ByteBudget {
  /** Largest size, in bytes, of a small reservation. */
  private static final long SMALL_BYTES = 64 << 10;

  /** Some reserved bytes; released once, by whoever holds them. */
  public final class Reservation {
    private long bytes;

    /** The part of the bytes that is in the account of small reservations. */
    private long smallBytes;

    private Reservation(long bytes, long smallBytes) {
      this.bytes = bytes;
      this.smallBytes = smallBytes;
    }

    /** Gives the bytes back; no effect after the first call. */
    public void release() {
      shrinkTo(0);
    }

    /** Gives a part of the bytes back: fewer are needed than was thought. */
    public void shrinkTo(long needed) {
      long released = bytes - needed;
      if (released <= 0) {
        return;
      }
      long releasedSmall = Math.max(0, smallBytes - needed);
      bytes -= released;
      smallBytes -= releasedSmall;
      if (releasedSmall > 0) {
        small.release(releasedSmall);
      }
      if (released > releasedSmall) {
        account.release(released - releasedSmall);
      }
      serveWaiting();
    }

    /** Counts bytes that turned out to be held beside those that were reserved. */
    public void growTo(long needed) {
      if (needed > bytes) {
        account.hold(needed - bytes);
        bytes = needed;
      }
    }

    /** Adds the bytes of another reservation of the same budget, which is over by that. */
    public void absorb(Reservation other) {
      bytes += other.bytes;
      smallBytes += other.smallBytes;
      other.bytes = 0;
      other.smallBytes = 0;
    }

    /** Whether anybody waits for memory, so that whoever holds this one should be quick. */
    public boolean isWanted() {
      return account.process().isWanted();
    }
  }

  private static final class Waiting {
    final long bytes;
    final Consumer<Reservation> whenReserved;
    boolean over;

    /** Cancelled at the end of the wait, so that it keeps nothing; null if there is no limit. */
    ScheduledRunnable timeout;

    Waiting(long bytes, Consumer<Reservation> whenReserved) {
      this.bytes = bytes;
      this.whenReserved = whenReserved;
    }
  }

  /** Null if what waits is served by releases of the same budget only. */
  private final NioReactor reactor;

  private final HolderAccount account;

  /** The account of small reservations; the same one if they have none of their own. */
  private final HolderAccount small;

  /** Zero if reservations wait as long as they must. */
  private final long maxWaitMs;

  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();

  /** Whether somebody waits; read by the threads that release bytes of other holders. */
  private volatile boolean hasWaiting;

  private final AtomicBoolean serveScheduled = new AtomicBoolean();

  /** A budget whose reservations wait as long as they must, with a limit of its own. */
  static ByteBudget ofPatientSenders(long limitBytes) {
    HolderAccount account = HolderAccount.unshared(MemoryHolder.PEER_INBOUND, limitBytes);
    return new ByteBudget(null, account, account, 0);
  }

  /** A budget of an account whose reservations wait as long as they must. */
  static ByteBudget ofPatientSenders(NioReactor reactor, HolderAccount account) {
    return new ByteBudget(reactor, account, account, 0);
  }

  /**
   * A budget that refuses what finds no room in time.
   *
   * @param maxWaitMs how long a reservation may wait before it is refused, in milliseconds
   */
  public ByteBudget(NioReactor reactor, HolderAccount account, long maxWaitMs) {
    this(reactor, account, account, maxWaitMs);
  }

  /**
   * A budget that refuses what finds no room in time, and has an account of its own for small
   * reservations.
   *
   * @param maxWaitMs how long a reservation may wait before it is refused, in milliseconds
   */
  public ByteBudget(
      NioReactor reactor, HolderAccount account, HolderAccount small, long maxWaitMs) {
    this.reactor = reactor;
    this.account = account;
    this.small = small;
    this.maxWaitMs = maxWaitMs;
    if (reactor != null) {
      account.process().onRoom(this::roomFreed);
    }
  }

  /** From any thread: others have released bytes. */
  private void roomFreed() {
    if (hasWaiting && serveScheduled.compareAndSet(false, true)) {
      reactor.execute(
          () -> {
            serveScheduled.set(false);
            serveWaiting();
          });
    }
  }

  /** Reserves bytes; one of the callbacks runs, once, perhaps at once. */
  public void reserve(long bytes, Consumer<Reservation> whenReserved, Runnable whenRefused) {
    if (bytes <= SMALL_BYTES && small != account && reserveSmall(bytes, whenReserved)) {
      return;
    }
    if (waiting.isEmpty() && account.tryReserve(bytes)) {
      whenReserved.accept(new Reservation(bytes, 0));
      return;
    }
    account.countWait();
    Waiting entry = new Waiting(bytes, whenReserved);
    waiting.add(entry);
    account.process().addWaiting(1);
    hasWaiting = true;
    if (maxWaitMs > 0) {
      entry.timeout = reactor.delayBackground(maxWaitMs, () -> refuse(entry, whenRefused));
    }
    // Room that was freed before the entry was seen.
    if (waiting.size() == 1) {
      serveWaiting();
    }
  }

  /** Reserves bytes at once, or refuses with null: for what is in the heap already. */
  public Reservation reserveNow(long bytes) {
    if (waiting.isEmpty() && account.tryReserve(bytes)) {
      return new Reservation(bytes, 0);
    }
    account.countRefusal();
    return null;
  }

  private boolean reserveSmall(long bytes, Consumer<Reservation> whenReserved) {
    if (bytes > 0 && !small.tryReserve(bytes)) {
      return false;
    }
    whenReserved.accept(new Reservation(bytes, bytes));
    return true;
  }

  private void refuse(Waiting entry, Runnable whenRefused) {
    if (!entry.over) {
      entry.over = true;
      waiting.remove(entry);
      account.process().addWaiting(-1);
      hasWaiting = !waiting.isEmpty();
      account.countRefusal();
      whenRefused.run();
      serveWaiting();
    }
  }

  private void serveWaiting() {
    while (!waiting.isEmpty() && account.tryReserve(waiting.peek().bytes)) {
      Waiting next = waiting.remove();
      account.process().addWaiting(-1);
      hasWaiting = !waiting.isEmpty();
      next.over = true;
      if (next.timeout != null) {
        next.timeout.cancel();
      }
      next.whenReserved.accept(new Reservation(next.bytes, 0));
    }
  }

  /** The bytes reserved at present; from any thread. */
  public long reservedBytes() {
    return small == account ? account.heldBytes() : account.heldBytes() + small.heldBytes();
  }

  /** The most bytes that are reserved, unless a single reservation is larger. */
  public long limitBytes() {
    return account.limitBytes();
  }

  /** How many reservations had to wait since the start; from any thread. */
  public long waits() {
    return account.waits();
  }

  /** How many reservations were refused since the start; from any thread. */
  public long refusals() {
    return account.refusals();
  }

  /** The figures of the budget as metrics, under another name than the holder's own. */
  public Map<String, Long> figures(String name) {
    return Map.of(
        name + ".bytes", reservedBytes(),
        name + ".limit.bytes", limitBytes(),
        name + ".waits", waits(),
        name + ".refusals", refusals());
  }
}
