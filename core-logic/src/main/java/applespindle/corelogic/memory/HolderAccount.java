package applespindle.corelogic.memory;

import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What one holder has of a {@link MemoryAccount}, with its own limit. Safe for use by several
 * threads.
 */
public final class HolderAccount {
  private final MemoryAccount parent;
  private final MemoryHolder holder;
  private final long limitBytes;
  private final long floorBytes;
  private final boolean cache;

  /** Written with the lock of the parent. */
  private final AtomicLong heldBytes = new AtomicLong();

  private final AtomicLong waits = new AtomicLong();
  private final AtomicLong refusals = new AtomicLong();
  private final AtomicLong evictedBytes = new AtomicLong();

  HolderAccount(MemoryAccount parent, MemoryHolder holder, long limitBytes, long floorBytes) {
    this(parent, holder, limitBytes, floorBytes, false);
  }

  private HolderAccount(
      MemoryAccount parent, MemoryHolder holder, long limitBytes, long floorBytes, boolean cache) {
    this.parent = parent;
    this.holder = holder;
    this.limitBytes = limitBytes;
    this.floorBytes = floorBytes;
    this.cache = cache;
  }

  static HolderAccount ofCache(MemoryAccount parent, MemoryHolder holder, long limitBytes) {
    return new HolderAccount(parent, holder, limitBytes, 0, true);
  }

  /** An account of a holder with a limit of its own, which shares no memory with others. */
  public static HolderAccount unshared(MemoryHolder holder, long limitBytes) {
    MemoryAccount parent = new MemoryAccount(Long.MAX_VALUE / MemoryHolder.PARTS, Runnable::run);
    return new HolderAccount(parent, holder, limitBytes, Long.MAX_VALUE / 2);
  }

  /** An account of a cache with a limit of its own, which shares no memory with others. */
  public static HolderAccount unsharedCache(MemoryHolder holder, long limitBytes) {
    MemoryAccount parent = new MemoryAccount(Long.MAX_VALUE / MemoryHolder.PARTS, Runnable::run);
    return new HolderAccount(parent, holder, limitBytes, 0, true);
  }

  /** The process whose memory this is a part of. */
  public MemoryAccount process() {
    return parent;
  }

  MemoryHolder holder() {
    return holder;
  }

  /** Whether so many bytes more are within the limit of this holder; the only ones always are. */
  public boolean isWithinLimit(long bytes) {
    long held = heldBytes.get();
    return held == 0 || held + bytes <= limitBytes;
  }

  /** Reserves bytes if this holder and the process have room for them. */
  public boolean tryReserve(long bytes) {
    return isWithinLimit(bytes) && tryReserveBeyondLimit(bytes);
  }

  /** Reserves bytes if the process has room for them, whatever the limit of this holder. */
  public boolean tryReserveBeyondLimit(long bytes) {
    return parent.reserve(this, bytes);
  }

  /**
   * Counts bytes that are held whether or not there is room: they belong to work that was accepted
   * before.
   */
  public void hold(long bytes) {
    parent.hold(this, bytes);
  }

  /**
   * Reserves bytes as {@link #tryReserve} does, and makes caches release what is missing before
   * that; on the thread that owns the caches only.
   */
  public boolean tryReserveEvicting(long bytes) {
    if (!isWithinLimit(bytes)) {
      return false;
    }
    parent.evictFor(bytes);
    return parent.reserve(this, bytes);
  }

  /** Gives back bytes that were reserved or counted. */
  public void release(long bytes) {
    if (bytes == 0) {
      return;
    }
    if (cache) {
      parent.addCached(this, -bytes);
    } else {
      parent.release(this, bytes);
    }
  }

  /** A cache has released bytes that it would have kept if there had been room. */
  public void evicted(long bytes) {
    evictedBytes.addAndGet(bytes);
    release(bytes);
  }

  /** Changes what this holder has to a sum that was counted anew; it never fails. */
  public void holdExactly(long bytes) {
    long change = bytes - heldBytes.get();
    if (change > 0) {
      hold(change);
    } else {
      release(-change);
    }
  }

  /** Counts bytes of a cache if there is room for them. */
  public boolean tryCache(long bytes) {
    if (!parent.cacheHasRoom(this, bytes)) {
      return false;
    }
    parent.addCached(this, bytes);
    return true;
  }

  /** A reservation of this holder has to wait. */
  public void countWait() {
    waits.incrementAndGet();
  }

  /** A reservation of this holder was refused. */
  public void countRefusal() {
    refusals.incrementAndGet();
  }

  void addHeld(long bytes) {
    heldBytes.addAndGet(bytes);
  }

  /** The bytes held at present. */
  public long heldBytes() {
    return heldBytes.get();
  }

  long floorBytes() {
    return floorBytes;
  }

  /** The most bytes that this holder reserves, unless a single reservation is larger. */
  public long limitBytes() {
    return limitBytes;
  }

  /** How many reservations had to wait since the start. */
  public long waits() {
    return waits.get();
  }

  /** How many reservations were refused since the start. */
  public long refusals() {
    return refusals.get();
  }

  /** The figures of this holder as metrics, by name. */
  public Map<String, Long> figures() {
    String name = holder.metric();
    return cache
        ? Map.of(
            name + ".bytes", heldBytes.get(),
            name + ".limit.bytes", limitBytes,
            name + ".evicted.bytes", evictedBytes.get())
        : Map.of(
            name + ".bytes", heldBytes.get(),
            name + ".limit.bytes", limitBytes,
            name + ".floor.bytes", floorBytes,
            name + ".waits", waits.get(),
            name + ".refusals", refusals.get());
  }
}
