package applespindle.corelogic.batch;

import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerState;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * How many more batch items a worker may get from this edge, so that live requests keep their
 * capacity and no stream at the worker pauses for long. Owns moving averages of the durations of
 * proxied items, and the time at which this edge began to dispatch to each worker.
 */
final class WorkerBatchCapacity {
  private final Environment environment;
  private final BatchDispatcher.Context edge;
  private final WorkerRegistry registry;

  /** Counts the runs at a worker without a response head. */
  private final ToIntFunction<WorkerState> startingRuns;

  /** By worker: when this edge began to dispatch items to it. */
  private final Map<String, Long> dispatchingSince = new HashMap<>();

  /** Milliseconds from sending a proxied item to the head of its response; a moving average. */
  private double firstByteMs = BatchConstants.INITIAL_ITEM_FIRST_BYTE_MS;

  /** Milliseconds from sending a proxied item to its end; a moving average. */
  private double itemDurationMs = BatchConstants.INITIAL_ITEM_DURATION_MS;

  WorkerBatchCapacity(
      Environment environment,
      BatchDispatcher.Context edge,
      WorkerRegistry registry,
      ToIntFunction<WorkerState> starting) {
    this.environment = environment;
    this.edge = edge;
    this.registry = registry;
    this.startingRuns = starting;
  }

  void markDispatching(String workerId) {
    dispatchingSince.putIfAbsent(workerId, environment.nowMs());
  }

  void clearDispatching(String workerId) {
    dispatchingSince.remove(workerId);
  }

  void recordFirstByteTime(long tookMs) {
    firstByteMs += (tookMs - firstByteMs) * WorkerConstants.MOVING_AVERAGE_WEIGHT;
  }

  void recordItemDuration(long tookMs) {
    itemDurationMs += (tookMs - itemDurationMs) * WorkerConstants.MOVING_AVERAGE_WEIGHT;
  }

  /** Items that may be started at the worker now; negative if more run there than should. */
  int free(WorkerState worker) {
    RoutingConfiguration configuration = edge.configuration();
    if (configuration == null || !registry.isUsable(worker)) {
      return 0;
    }
    if (worker.registration.slots() > 0) {
      return freeSlots(worker);
    }
    RoutingConfiguration.BatchLimits limits = configuration.limits().batch();
    if (!worker.registration.pool().equals(limits.pool())) {
      return 0;
    }
    int live = Math.max(worker.liveRunning(), (int) worker.peakLiveCalls);
    int left = worker.load.capacity() - limits.liveReserve() - live;
    return Math.min(limits.maxItemsPerWorker(), left) - worker.batchCalls;
  }

  private int freeSlots(WorkerState worker) {
    int slots = worker.registration.slots();
    int reserve = Math.max(1, slots / BatchConstants.LIVE_RESERVE_ONE_IN);
    long liveNow = Math.round(worker.runningCallsNow(environment.nowMs())) - worker.batchCalls;
    int live = (int) Math.min(liveNow, slots / 2);
    int share = (int) Math.ceil((slots - reserve) * slowStartShare(worker));
    int free = Math.min(share, slots - reserve - live) - worker.batchCalls;
    return Math.min(free, maxConcurrentStarts(slots) - startingRuns.applyAsInt(worker));
  }

  /** Milliseconds that a proxied item takes from its sending to its end, as seen here. */
  long itemDurationMs() {
    return Math.round(itemDurationMs);
  }

  /**
   * Limits the slots that a dispatcher uses at a worker that is new to it; the limit rises
   * gradually.
   */
  private double slowStartShare(WorkerState worker) {
    Long since = dispatchingSince.get(worker.registration.id());
    if (since == null) {
      return WorkerConstants.MIN_SLOW_START_WEIGHT;
    }
    double grown = (environment.nowMs() - since) / (double) BatchConstants.DISPATCH_SLOW_START_MS;
    return Math.max(WorkerConstants.MIN_SLOW_START_WEIGHT, Math.min(1, grown));
  }

  /**
   * The most items that may be starting at once. A worker reads prompts between the tokens of its
   * streams, so that many starts at once would pause all of them; as many as keep its slots in use
   * are enough, which follows from the times to the first byte and to the end.
   */
  private int maxConcurrentStarts(int slots) {
    double part =
        Math.min(1, BatchConstants.CONCURRENT_STARTS_FACTOR * firstByteMs / itemDurationMs);
    return (int) Math.max(BatchConstants.MIN_CONCURRENT_STARTS, Math.ceil(slots * part));
  }

  /** Whether one more prompt could pause the worker's streams for too long. */
  boolean hasPromptBacklog(WorkerState worker) {
    long gapMs = edge.routes().gapTargetMs(worker.registration.pool());
    return gapMs > 0
        && worker.streamPauseMs(environment.nowMs(), 0)
            > BatchConstants.MAX_STREAM_PAUSE_SHARE * gapMs;
  }
}
