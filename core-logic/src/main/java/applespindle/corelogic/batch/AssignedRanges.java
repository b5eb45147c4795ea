package applespindle.corelogic.batch;

import applespindle.corelogic.worker.WorkerState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The ranges that are assigned to this edge, in the order of their arrival. Each assignment, known
 * by its batch, range and epoch, is held once; it is removed when nothing of it is left to do.
 */
final class AssignedRanges {
  private final Map<String, AssignedRange> byName = new LinkedHashMap<>();

  void add(AssignedRange range) {
    byName.put(range.name(), range);
  }

  /** The assignment of that epoch, or null. */
  AssignedRange get(String batch, int number, long epoch) {
    return byName.get(AssignedRange.name(batch, number, epoch));
  }

  void remove(AssignedRange range) {
    byName.remove(range.name());
  }

  void removeIfDone(AssignedRange range) {
    if (range.isDone()) {
      remove(range);
    }
  }

  /** A copy, so that ranges may be removed while it is read. */
  List<AssignedRange> all() {
    return List.copyOf(byName.values());
  }

  /** The worker's ranges in the order in which their items are sent. */
  List<AssignedRange> ofWorker(String workerId, DeadlineOrder order) {
    return byName.values().stream()
        .filter(range -> range.worker.equals(workerId))
        .sorted((one, other) -> order.compare(one.dueAt, other.dueAt))
        .toList();
  }

  /** The worker's runs, those of the newest range first, and the newest of a range first. */
  List<ItemRun> newestRunsOf(String workerId) {
    List<ItemRun> runs = new ArrayList<>();
    byName.values().stream()
        .filter(range -> range.worker.equals(workerId))
        .forEach(range -> runs.addAll(range.running.values()));
    Collections.reverse(runs);
    return runs;
  }

  /** The worker's runs without a response head. A run of a prompt counts until it ends. */
  int countStartingRuns(WorkerState worker) {
    int starting = 0;
    for (AssignedRange range : byName.values()) {
      if (range.worker.equals(worker.registration.id())) {
        for (ItemRun run : range.running.values()) {
          starting += run.status == 0 ? 1 : 0;
        }
      }
    }
    return starting;
  }

  /** The size of the items of all ranges that have not run to an end yet, in bytes. */
  long heldItemBytes() {
    return byName.values().stream().mapToLong(AssignedRange::heldItemBytes).sum();
  }

  int size() {
    return byName.size();
  }

  int countRuns() {
    return byName.values().stream().mapToInt(range -> range.running.size()).sum();
  }
}
