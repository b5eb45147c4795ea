package applespindle.corelogic.live;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The queues of live requests at one edge, one for each traffic class, and the rate at which
 * requests leave them.
 *
 * <p>Queues are ordered by rank, then by class, so that requests of a lower rank never wait behind
 * those of a higher one. Confined to the logic thread.
 */
final class LiveRequestQueues {
  private static final double INTERVAL_RETENTION = 0.9;
  private static final double INTERVAL_SAMPLE_WEIGHT = 0.1;

  private final TreeMap<String, ArrayDeque<LiveRequestCall>> byRankAndClass = new TreeMap<>();

  /** By class: moving average of the time between two starts, while its queue is busy. */
  private final Map<String, Double> startIntervalsMs = new HashMap<>();

  private final Map<String, Long> lastStartAt = new HashMap<>();

  /** The queue of a call's class, whether or not the call is in it. */
  ArrayDeque<LiveRequestCall> of(LiveRequestCall call) {
    return byRankAndClass.computeIfAbsent(
        String.format("%03d %s", call.classLimit().rank(), call.trafficClass()),
        unseen -> new ArrayDeque<>());
  }

  /** All queues, those of the lowest rank first; a live view. */
  Collection<ArrayDeque<LiveRequestCall>> all() {
    return byRankAndClass.values();
  }

  /** Number of queued requests of all classes. */
  int size() {
    return byRankAndClass.values().stream().mapToInt(ArrayDeque::size).sum();
  }

  /** Expected wait in milliseconds of a request that joins the queue now; 0 if nothing waits. */
  double expectedWaitMs(LiveRequestCall call) {
    return of(call).size() * startIntervalsMs.getOrDefault(call.trafficClass(), 0.0);
  }

  /**
   * Records that a call is about to be sent to a worker. The interval since the last start says
   * something about waiting only if further requests wait.
   */
  void recordStart(LiveRequestCall call, long now) {
    String trafficClass = call.trafficClass();
    Long previousStartAt = lastStartAt.put(trafficClass, now);
    if (of(call).size() > 1 && previousStartAt != null) {
      startIntervalsMs.merge(
          trafficClass,
          (double) (now - previousStartAt),
          (average, latest) -> average * INTERVAL_RETENTION + latest * INTERVAL_SAMPLE_WEIGHT);
    } else {
      startIntervalsMs.remove(trafficClass);
    }
  }
}
