package applespindle.testfleet.capacity;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Measures the heap that objects hold. */
final class HeapMeter {
  /**
   * How often a full collection runs before the heap is read. The serial collector leaves some dead
   * objects in place and compacts the heap completely at one in four of its full collections.
   */
  private static final int FULL_COLLECTIONS = 4;

  private HeapMeter() {}

  /** Bytes that stay reachable through what the supplier makes. */
  static double heapOf(Supplier<Object> maker) {
    long before = usedHeap();
    Object kept = maker.get();
    long after = usedHeap();
    Reference.reachabilityFence(kept);
    return after - before;
  }

  private static long usedHeap() {
    for (int round = 0; round < FULL_COLLECTIONS; round++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
