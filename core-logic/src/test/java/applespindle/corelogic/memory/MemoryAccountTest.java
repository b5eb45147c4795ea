package applespindle.corelogic.memory;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against edges ending for memory: each holder had a limit of its own, and all limits
 * together were more than the heap.
 */
final class MemoryAccountTest {
  private static final Set<MemoryHolder> CACHES =
      Set.of(MemoryHolder.LED_EVENTS, MemoryHolder.DISK_CACHE);

  private static final long HEAP_BYTES = 128L << 20;
  private static final long PIECE_BYTES = 100_000;

  private final MemoryAccount memory = MemoryAccount.ofHeap(HEAP_BYTES, Runnable::run);

  private static List<MemoryHolder> reservingHolders() {
    List<MemoryHolder> holders = new ArrayList<>(List.of(MemoryHolder.values()));
    holders.removeAll(CACHES);
    return holders;
  }

  private Map<MemoryHolder, HolderAccount> openAll() {
    Map<MemoryHolder, HolderAccount> accounts = new EnumMap<>(MemoryHolder.class);
    reservingHolders().forEach(holder -> accounts.put(holder, memory.open(holder)));
    return accounts;
  }

  private static long fill(HolderAccount account) {
    long bytes = 0;
    while (bytes < HEAP_BYTES && account.tryReserve(PIECE_BYTES)) {
      bytes += PIECE_BYTES;
    }
    return bytes;
  }

  /** A cache that releases what it is asked for, oldest first. */
  private HolderAccount openCache() {
    HolderAccount cache = memory.openCache(MemoryHolder.LED_EVENTS);
    memory.onEviction(
        () -> {
          while (memory.excessBytes() > 0 && cache.heldBytes() > 0) {
            cache.evicted(PIECE_BYTES);
          }
        });
    return cache;
  }

  private static void fillCache(HolderAccount cache) {
    while (cache.tryCache(PIECE_BYTES)) {
      assertThat(cache.heldBytes()).isAtMost(cache.limitBytes());
    }
  }

  @Test
  void allHoldersAtTheirLimitsStayWithinTheLimitOfTheProcess() {
    Map<MemoryHolder, HolderAccount> accounts = openAll();
    long limits = accounts.values().stream().mapToLong(HolderAccount::limitBytes).sum();
    assertThat(limits).isGreaterThan(memory.limitBytes());
    HolderAccount cache = openCache();
    fillCache(cache);
    accounts.values().forEach(MemoryAccountTest::fill);
    fillCache(cache);
    assertThat(memory.heldBytes()).isAtMost(memory.limitBytes());
    assertThat(memory.limitBytes()).isLessThan(HEAP_BYTES * 2 / 3);
  }

  @Test
  void theFloorsOfAllHoldersFitTogether() {
    long floors = 0;
    for (HolderAccount account : openAll().values()) {
      floors += account.floorBytes();
      assertThat(account.floorBytes()).isAtMost(account.limitBytes());
    }
    assertThat(floors).isLessThan(memory.limitBytes());
  }

  /** Whatever order the others fill in, each holder gets its floor: something of all is served. */
  @Test
  void eachHolderGetsItsFloorWhenAllOthersAreFull() {
    for (MemoryHolder last : reservingHolders()) {
      MemoryAccount full = MemoryAccount.ofHeap(HEAP_BYTES, Runnable::run);
      Map<MemoryHolder, HolderAccount> accounts = new EnumMap<>(MemoryHolder.class);
      reservingHolders().forEach(holder -> accounts.put(holder, full.open(holder)));
      accounts.forEach(
          (holder, account) -> {
            if (holder != last) {
              fill(account);
            }
          });
      assertWithMessage(last.name())
          .that(fill(accounts.get(last)))
          .isGreaterThan(accounts.get(last).floorBytes() - PIECE_BYTES);
    }
  }

  /** Reads find no more room first, then new batches, then large live requests. */
  @Test
  void holdersYieldInTheirOrder() {
    openAll();
    HolderAccount reads = memory.open(MemoryHolder.ITEM_BODIES);
    HolderAccount submissions = memory.open(MemoryHolder.SUBMISSIONS);
    HolderAccount live = memory.open(MemoryHolder.LARGE_BODIES);
    HolderAccount frames = memory.open(MemoryHolder.PEER_OUTBOUND);
    List.of(reads, submissions, live, frames).forEach(each -> each.hold(each.floorBytes()));
    List<String> refused = new ArrayList<>();
    while (refused.size() < 3 && memory.heldBytes() <= memory.limitBytes()) {
      record(refused, "reads", reads);
      record(refused, "submissions", submissions);
      record(refused, "live", live);
      assertThat(frames.tryReserveBeyondLimit(PIECE_BYTES)).isTrue();
    }
    assertThat(refused).containsExactly("reads", "submissions", "live").inOrder();
  }

  private static void record(List<String> refused, String name, HolderAccount account) {
    if (refused.contains(name)) {
      return;
    }
    if (account.tryReserveBeyondLimit(PIECE_BYTES)) {
      account.release(PIECE_BYTES);
    } else {
      refused.add(name);
    }
  }

  @Test
  void cachesYieldEverythingBeforeAnybodyIsRefused() {
    Map<MemoryHolder, HolderAccount> accounts = openAll();
    long withoutCache = 0;
    for (HolderAccount account : accounts.values()) {
      withoutCache += fill(account);
    }
    accounts.values().forEach(account -> account.release(account.heldBytes()));
    HolderAccount cache = openCache();
    fillCache(cache);
    assertThat(cache.heldBytes()).isGreaterThan(cache.limitBytes() - PIECE_BYTES);
    long withCache = 0;
    for (HolderAccount account : accounts.values()) {
      while (account.tryReserveEvicting(PIECE_BYTES)) {
        withCache += PIECE_BYTES;
      }
    }
    assertThat(withCache).isEqualTo(withoutCache);
  }

  /** A reservation that waits for a cache is told when the cache has made room. */
  @Test
  void aReservationFindsTheRoomThatACacheMakes() {
    HolderAccount frames = memory.open(MemoryHolder.PEER_OUTBOUND);
    HolderAccount cache = openCache();
    fillCache(cache);
    frames.hold(memory.limitBytes() - cache.heldBytes());
    int[] told = new int[1];
    memory.onRoom(() -> told[0]++);
    assertThat(frames.tryReserveBeyondLimit(5 * PIECE_BYTES)).isFalse();
    assertThat(told[0]).isGreaterThan(0);
    assertThat(frames.tryReserveBeyondLimit(5 * PIECE_BYTES)).isTrue();
    assertThat(memory.heldBytes()).isAtMost(memory.limitBytes());
  }

  /** Work that was accepted before is counted whether there is room or not, and caches yield. */
  @Test
  void acceptedWorkIsCountedBeyondTheLimit() {
    HolderAccount events = memory.open(MemoryHolder.UNCOMMITTED_EVENTS);
    HolderAccount cache = openCache();
    fillCache(cache);
    events.hold(memory.limitBytes() + PIECE_BYTES);
    assertThat(cache.heldBytes()).isEqualTo(0);
    assertThat(memory.open(MemoryHolder.LARGE_BODIES).tryReserve(PIECE_BYTES)).isTrue();
    events.release(memory.limitBytes() + PIECE_BYTES);
    assertThat(memory.heldBytes()).isEqualTo(PIECE_BYTES);
  }

  @Test
  void whatIsLargerThanWhatIsSharedIsReservedAlone() {
    MemoryAccount small = MemoryAccount.ofHeap(16L << 20, Runnable::run);
    HolderAccount bodies = small.open(MemoryHolder.LARGE_BODIES);
    assertThat(bodies.tryReserve(8L << 20)).isTrue();
    assertThat(bodies.tryReserve(PIECE_BYTES)).isFalse();
    bodies.release(8L << 20);
    assertThat(small.heldBytes()).isEqualTo(0);
  }

  @Test
  void theSumsAreRightAfterManyReservationsAndReleases() {
    Random random = new Random(7);
    List<HolderAccount> accounts = new ArrayList<>(openAll().values());
    Map<HolderAccount, Long> held = new HashMap<>();
    for (int step = 0; step < 20_000; step++) {
      HolderAccount account = accounts.get(random.nextInt(accounts.size()));
      long has = held.getOrDefault(account, 0L);
      long bytes = 1L + random.nextInt(3_000_000);
      if (random.nextBoolean()) {
        held.put(account, account.tryReserve(bytes) ? has + bytes : has);
      } else {
        long released = Math.min(has, bytes);
        account.release(released);
        held.put(account, has - released);
      }
      long sum = held.values().stream().mapToLong(Long::longValue).sum();
      assertThat(memory.heldBytes()).isEqualTo(sum);
    }
    held.forEach(HolderAccount::release);
    assertThat(memory.heldBytes()).isEqualTo(0);
    assertThat(fill(accounts.get(0))).isGreaterThan(0L);
  }
}
