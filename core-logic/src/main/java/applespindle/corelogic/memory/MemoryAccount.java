package applespindle.corelogic.memory;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The bytes of heap that the work of one process holds, with a child for each {@link MemoryHolder}.
 * Holders reserve here before they allocate. The limits of the children may add up to more than
 * that of the process: this account decides.
 *
 * <p>Invariants: what is reserved, caches counted, is within the limit, unless a single reservation
 * is larger than what is shared or work that was accepted before is counted by {@link
 * HolderAccount#hold}; a holder always gets its floor. Safe for use by several threads.
 */
public final class MemoryAccount {
  /**
   * What the process itself needs of the tenured generation: classes, configuration, members and
   * the index of its logs.
   */
  private static final long PROCESS_BYTES = 16L << 20;

  /** However small the heap is, one in this many parts of it is for work. */
  private static final long MIN_ONE_IN = 4;

  private final long limitBytes;
  private final Executor evictionExecutor;
  private final Map<MemoryHolder, HolderAccount> holders = new EnumMap<>(MemoryHolder.class);
  private final List<Runnable> evictors = new ArrayList<>();
  private final List<Runnable> roomListeners = new ArrayList<>();
  private final AtomicInteger waitingReservations = new AtomicInteger();
  private long floorBytes;

  /** Sum of what holders have beyond their floors, caches excepted. */
  private long sharedBytes;

  /** Sum of what all holders have, caches excepted. */
  private long heldBytes;

  private long cachedBytes;

  /** The largest reservation that waits for caches to make room. */
  private long wantedBytes;

  private long mostBytes;

  /**
   * An account of which nothing is held.
   *
   * @param limitBytes the most bytes of all holders together
   * @param evictionExecutor runs the evictors of caches, on the thread that owns them
   */
  public MemoryAccount(long limitBytes, Executor evictionExecutor) {
    this.limitBytes = limitBytes;
    this.evictionExecutor = evictionExecutor;
  }

  /** The account of a process with a heap of this size, in bytes. */
  public static MemoryAccount ofHeap(long heapBytes, Executor evictionExecutor) {
    return new MemoryAccount(limitOfHeap(heapBytes), evictionExecutor);
  }

  /**
   * What work may hold of a heap: the tenured generation, which the serial collector makes two
   * thirds of it, without what the process itself needs. The young generation stays free for what a
   * single task allocates and drops.
   */
  static long limitOfHeap(long heapBytes) {
    return Math.max(heapBytes / 3 * 2 - PROCESS_BYTES, heapBytes / MIN_ONE_IN);
  }

  /** The account of a holder, which several parts of the process may share. */
  public synchronized HolderAccount open(MemoryHolder holder) {
    HolderAccount present = holders.get(holder);
    if (present != null) {
      return present;
    }
    HolderAccount opened =
        new HolderAccount(this, holder, holder.limitOf(limitBytes), holder.floorOf(limitBytes));
    holders.put(holder, opened);
    floorBytes += holder.floorOf(limitBytes);
    return opened;
  }

  /**
   * The account of a cache: what it holds counts as free for all others. Its owner is to add an
   * evictor.
   */
  public synchronized HolderAccount openCache(MemoryHolder holder) {
    HolderAccount cache = HolderAccount.ofCache(this, holder, holder.limitOf(limitBytes));
    holders.put(holder, cache);
    return cache;
  }

  /**
   * Adds the evictor of a cache, which is to release what {@link #excessBytes} says. It runs on the
   * executor of the account.
   */
  public synchronized void onEviction(Runnable evictor) {
    evictors.add(evictor);
  }

  /** Adds what runs, on any thread, each time that there may be room for a waiting reservation. */
  public synchronized void onRoom(Runnable listener) {
    roomListeners.add(listener);
  }

  /** A reservation of any holder begins to wait, or with -1 waits no more. */
  public void addWaiting(int change) {
    waitingReservations.addAndGet(change);
  }

  /** Whether reservations of any holder wait for room. */
  public boolean isWanted() {
    return waitingReservations.get() > 0;
  }

  /** By how many bytes caches must shrink for the account to be within its limit. */
  public synchronized long excessBytes() {
    return Math.max(0, Math.min(cachedBytes, heldBytes + cachedBytes + wantedBytes - limitBytes));
  }

  /** Whether a holder may take so many bytes more; asks caches to make room if that is missing. */
  synchronized boolean reserve(HolderAccount account, long bytes) {
    long addedShared = addedShared(account, bytes);
    long pool = limitBytes - floorBytes;
    boolean shareFits =
        addedShared == 0
            || sharedBytes == 0
            || sharedBytes + addedShared <= account.holder().shareOf(pool);
    if (!shareFits) {
      return false;
    }
    if (cachedBytes > 0 && heldBytes + cachedBytes + bytes > limitBytes) {
      wantedBytes = Math.max(wantedBytes, bytes);
      evictionExecutor.execute(this::evict);
      return false;
    }
    add(account, bytes, addedShared);
    return true;
  }

  /** Makes caches release what a reservation needs; on the thread that owns the caches only. */
  void evictFor(long bytes) {
    synchronized (this) {
      if (cachedBytes == 0 || heldBytes + cachedBytes + bytes <= limitBytes) {
        return;
      }
      wantedBytes = Math.max(wantedBytes, bytes);
    }
    evict();
  }

  private void evict() {
    evictors.forEach(Runnable::run);
    synchronized (this) {
      wantedBytes = 0;
    }
  }

  /** Counts bytes that are held whether there is room or not. */
  synchronized void hold(HolderAccount account, long bytes) {
    add(account, bytes, addedShared(account, bytes));
    if (heldBytes + cachedBytes > limitBytes && cachedBytes > 0) {
      evictionExecutor.execute(this::evict);
    }
  }

  private static long addedShared(HolderAccount account, long bytes) {
    long before = Math.max(0, account.heldBytes() - account.floorBytes());
    return Math.max(0, account.heldBytes() + bytes - account.floorBytes()) - before;
  }

  private void add(HolderAccount account, long bytes, long addedShared) {
    account.addHeld(bytes);
    sharedBytes += addedShared;
    heldBytes += bytes;
    mostBytes = Math.max(mostBytes, heldBytes + cachedBytes);
  }

  void release(HolderAccount account, long bytes) {
    List<Runnable> listeners;
    synchronized (this) {
      long addedShared = addedShared(account, -bytes);
      account.addHeld(-bytes);
      sharedBytes += addedShared;
      heldBytes -= bytes;
      listeners = List.copyOf(roomListeners);
    }
    listeners.forEach(Runnable::run);
  }

  /** Whether a cache may hold so many bytes more. */
  synchronized boolean cacheHasRoom(HolderAccount cache, long bytes) {
    return cache.heldBytes() + bytes <= cache.limitBytes()
        && heldBytes + cachedBytes + bytes <= limitBytes;
  }

  void addCached(HolderAccount cache, long bytes) {
    List<Runnable> listeners;
    synchronized (this) {
      cache.addHeld(bytes);
      cachedBytes += bytes;
      mostBytes = Math.max(mostBytes, heldBytes + cachedBytes);
      listeners = bytes < 0 ? List.copyOf(roomListeners) : List.of();
    }
    listeners.forEach(Runnable::run);
  }

  /** The most bytes of all holders together. */
  public long limitBytes() {
    return limitBytes;
  }

  /** What all holders have at present, caches included. */
  public synchronized long heldBytes() {
    return heldBytes + cachedBytes;
  }

  /** The figures of the process and of each holder as metrics, by name. */
  public synchronized Map<String, Long> figures() {
    Map<String, Long> figures = new TreeMap<>();
    figures.put("memory.bytes", heldBytes + cachedBytes);
    figures.put("memory.limit.bytes", limitBytes);
    figures.put("memory.most.bytes", mostBytes);
    holders.values().forEach(holder -> figures.putAll(holder.figures()));
    return figures;
  }
}
