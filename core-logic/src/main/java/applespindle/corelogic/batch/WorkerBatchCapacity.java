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
 * How many more batch items a worker may get from this edge, so that live requests keep their room
 * and no stream there pauses for long.
 */
final class WorkerBatchCapacity {
  private final Environment environment;
  private final BatchDispatcher.Context edge;
  private final WorkerRegistry registry;

  /** Runs of opaque items at a worker from which nothing has come yet. */
  private final ToIntFunction<WorkerState> starting;

  /** By worker: since when it is fed from here. */
  private final Map<String, Long> feedsSince = new HashMap<>();

  /** How long opaque items take to their first bytes and to their end, in milliseconds. */
  private double firstMs = BatchConstants.INITIAL_ITEM_FIRST_BYTE_MS;

  private double wholeMs = BatchConstants.INITIAL_ITEM_DURATION_MS;

  WorkerBatchCapacity(
      Environment environment,
      BatchDispatcher.Context edge,
      WorkerRegistry registry,
      ToIntFunction<WorkerState> starting) {
    this.environment = environment;
    this.edge = edge;
    this.registry = registry;
    this.starting = starting;
  }

  void feeds(String workerId) {
    feedsSince.putIfAbsent(workerId, environment.nowMs());
  }

  void feedsNoMore(String workerId) {
    feedsSince.remove(workerId);
  }

  void noteFirst(long tookMs) {
    firstMs += (tookMs - firstMs) * WorkerConstants.MOVING_AVERAGE_WEIGHT;
  }

  void noteWhole(long tookMs) {
    wholeMs += (tookMs - wholeMs) * WorkerConstants.MOVING_AVERAGE_WEIGHT;
  }

  /** Items that may be begun there now; negative if more run there than should. */
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
    return Math.min(limits.perWorkerMost(), left) - worker.batchCalls;
  }

  private int freeSlots(WorkerState worker) {
    int slots = worker.registration.slots();
    int reserve = Math.max(1, slots / BatchConstants.LIVE_RESERVE_ONE_IN);
    long liveNow = Math.round(worker.runningCallsNow(environment.nowMs())) - worker.batchCalls;
    int live = (int) Math.min(liveNow, slots / 2);
    int share = (int) Math.ceil((slots - reserve) * ramp(worker));
    int free = Math.min(share, slots - reserve - live) - worker.batchCalls;
    return Math.min(free, startsMost(slots) - starting.applyAsInt(worker));
  }

  /** How long an item takes from its begin to its end, as seen here. */
  long itemMs() {
    return Math.round(wholeMs);
  }

  /** A feeder that has just begun takes a worker's slots by and by. */
  private double ramp(WorkerState worker) {
    Long since = feedsSince.get(worker.registration.id());
    if (since == null) {
      return WorkerConstants.MIN_SLOW_START_WEIGHT;
    }
    double grown = (environment.nowMs() - since) / (double) BatchConstants.DISPATCH_SLOW_START_MS;
    return Math.max(WorkerConstants.MIN_SLOW_START_WEIGHT, Math.min(1, grown));
  }

  /**
   * A worker reads prompts between the tokens of its streams: many items begun at once would make a
   * pause in all of them. As many as keep its slots in use are enough, which follows from how long
   * items take to begin and to end.
   */
  private int startsMost(int slots) {
    double part = Math.min(1, BatchConstants.CONCURRENT_STARTS_FACTOR * firstMs / wholeMs);
    return (int) Math.max(BatchConstants.MIN_CONCURRENT_STARTS, Math.ceil(slots * part));
  }

  /** One more prompt would come close to a pause in the streams there that is too long. */
  boolean hasMuchToRead(WorkerState worker) {
    long gapMs = edge.routes().gapTargetMs(worker.registration.pool());
    return gapMs > 0
        && worker.streamPauseMs(environment.nowMs(), 0)
            > BatchConstants.MAX_STREAM_PAUSE_SHARE * gapMs;
  }
}
