package applespindle.corelogic.replication;

/** A set of 64-bit hashes in one array, as a search holds millions of them. Safe for threads. */
final class StateHashes {
  private static final int FIRST_SLOTS = 1 << 16;

  private long[] slots = new long[FIRST_SLOTS];
  private int size;

  /** True if the hash was not there. */
  synchronized boolean add(long hash) {
    long stored = hash == 0 ? 1 : hash;
    if (size * 2 >= slots.length) {
      grow();
    }
    boolean added = place(slots, stored);
    if (added) {
      size++;
    }
    return added;
  }

  synchronized int size() {
    return size;
  }

  private void grow() {
    long[] larger = new long[slots.length * 2];
    for (long each : slots) {
      if (each != 0) {
        place(larger, each);
      }
    }
    slots = larger;
  }

  private static boolean place(long[] slots, long hash) {
    int slot = (int) (hash ^ hash >>> 32) & slots.length - 1;
    while (slots[slot] != 0) {
      if (slots[slot] == hash) {
        return false;
      }
      slot = slot + 1 & slots.length - 1;
    }
    slots[slot] = hash;
    return true;
  }
}
