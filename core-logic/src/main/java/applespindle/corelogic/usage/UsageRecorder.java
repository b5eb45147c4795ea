package applespindle.corelogic.usage;

import applespindle.corelogic.constants.UsageConstants;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;

/**
 * Counts the requests that workers began, by tenant and by slots of this process's monotonic time.
 *
 * <p>A slot gets its window of true time when a report first needs it, after the window's end, and
 * keeps it: a later correction of the estimate of true time moves no request from one window to
 * another, where it would count twice. Slots are kept until their window is closed, and at most for
 * {@link UsageConstants#MAX_RETENTION_MS}. Confined to the logic thread.
 */
public final class UsageRecorder {
  private final TreeMap<Long, Slot> slots = new TreeMap<>();

  /** A worker has begun a request of a tenant: its first output has come. */
  public void record(String tenant, long nowMs) {
    long number = Math.floorDiv(nowMs, UsageConstants.SLOT_MS);
    slots.computeIfAbsent(number, Slot::new).countsByTenant.merge(tenant, 1L, Long::sum);
    long firstKept = number - UsageConstants.MAX_RETENTION_MS / UsageConstants.SLOT_MS;
    slots.headMap(firstKept).clear();
  }

  /**
   * The counts by window and tenant; windows without counts are left out.
   *
   * @param windowAt gives the window of a monotonic time
   * @param lastEndedWindow slots of windows up to this one keep their windows
   */
  public SortedMap<Long, Map<String, Long>> countsByWindow(
      LongUnaryOperator windowAt, long lastEndedWindow) {
    SortedMap<Long, Map<String, Long>> countsByWindow = new TreeMap<>();
    for (Slot slot : slots.values()) {
      long window = slot.window(windowAt);
      if (window <= lastEndedWindow) {
        slot.assignedWindow = window;
      }
      Map<String, Long> sums = countsByWindow.computeIfAbsent(window, ignored -> new TreeMap<>());
      slot.countsByTenant.forEach((tenant, count) -> sums.merge(tenant, count, Long::sum));
    }
    return countsByWindow;
  }

  /** Removes the slots of a window and of those before it. */
  public void removeThrough(long window, LongUnaryOperator windowAt) {
    slots.values().removeIf(slot -> slot.window(windowAt) <= window);
  }

  /** Whether nothing is counted that is still kept. */
  public boolean isEmpty() {
    return slots.isEmpty();
  }

  private static final class Slot {
    private final long number;
    private final Map<String, Long> countsByTenant = new HashMap<>();

    /** Null until a report has needed it. */
    private Long assignedWindow;

    private Slot(long number) {
      this.number = number;
    }

    private long window(LongUnaryOperator windowAt) {
      long middleMs = number * UsageConstants.SLOT_MS + UsageConstants.SLOT_MS / 2;
      return assignedWindow != null ? assignedWindow : windowAt.applyAsLong(middleMs);
    }
  }
}
