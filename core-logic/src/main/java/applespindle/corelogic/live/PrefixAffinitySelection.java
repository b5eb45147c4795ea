package applespindle.corelogic.live;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerState;
import java.util.Map;
import java.util.TreeMap;

/**
 * Chooses the worker of a live request by rendezvous hashing of its prompt's prefix with bounded
 * loads, so that requests with the same prefix meet the same worker's cache from every edge without
 * communication between edges. Keeps no state of its own.
 */
final class PrefixAffinitySelection {
  private final WorkerRegistry registry;

  PrefixAffinitySelection(WorkerRegistry registry) {
    this.registry = registry;
  }

  /**
   * The first worker in the order of the prefix that is usable, has a free slot and is not loaded
   * beyond the bound; if all are loaded beyond it, the least loaded with a free slot. Null if none
   * has one.
   */
  WorkerState select(LiveRequestCall call) {
    Map<String, WorkerState> usable = new TreeMap<>();
    int running = 0;
    for (WorkerState worker : registry.all()) {
      if (call.accepts(worker) && registry.isUsable(worker) && !call.hasTried(worker)) {
        usable.put(worker.registration.id(), worker);
        running += worker.runningCalls();
      }
    }
    if (usable.isEmpty()) {
      return null;
    }
    double bound = Math.ceil(call.poolLimits().loadFactor() * (running + 1) / usable.size());
    return firstWithinBound(call, usable, bound);
  }

  private static WorkerState firstWithinBound(
      LiveRequestCall call, Map<String, WorkerState> usable, double bound) {
    String prefix = prefix(call.request().prompt(), call.poolLimits());
    WorkerState leastLoaded = null;
    for (String id : RendezvousHashing.order(prefix, usable.keySet())) {
      WorkerState worker = usable.get(id);
      if (worker.free() <= 0) {
        continue;
      }
      if (worker.runningCalls() + 1 <= bound) {
        return worker;
      }
      if (leastLoaded == null || worker.runningCalls() < leastLoaded.runningCalls()) {
        leastLoaded = worker;
      }
    }
    return leastLoaded;
  }

  /** The prompt's first complete blocks, or all of a prompt that is shorter than one block. */
  private static String prefix(String prompt, RoutingConfiguration.Pool pool) {
    int blocks = Math.min(pool.prefixBlocks(), prompt.length() / pool.prefixBlockChars());
    return blocks == 0 ? prompt : prompt.substring(0, blocks * pool.prefixBlockChars());
  }

  /** Whether a worker that the call has not tried is usable, or will be before the call expires. */
  boolean mayFindWorker(LiveRequestCall call) {
    return registry.all().stream()
        .anyMatch(
            worker ->
                call.accepts(worker)
                    && registry.isUsableBefore(worker, call.expiresAt())
                    && !call.hasTried(worker));
  }
}
