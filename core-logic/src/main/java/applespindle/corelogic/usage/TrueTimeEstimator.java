package applespindle.corelogic.usage;

import applespindle.corelogic.constants.UsageConstants;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the true time as the median of the wall clocks of many nodes, against the monotonic
 * time of this process.
 *
 * <p>A wall clock that was stepped moves the median by no more than one of its neighbours, so the
 * estimate holds while fewer than half of the clocks are off. A sample is too low by the time the
 * report was under way; of the last few samples of a node the highest is used. After a node's clock
 * was set back, its older samples are used for as long as they are kept.
 */
public final class TrueTimeEstimator {
  private final Map<String, ClockSamples> samplesByNode = new HashMap<>();

  /**
   * Adds a sample of a node's clock.
   *
   * @param wallClockMs as the node sent it
   * @param nowMs this process's monotonic time when it came
   */
  public void addSample(String node, long wallClockMs, long nowMs) {
    samplesByNode
        .computeIfAbsent(node, ignored -> new ClockSamples())
        .add(wallClockMs - nowMs, nowMs);
  }

  /** Forgets all samples. */
  public void reset() {
    samplesByNode.clear();
  }

  /** Number of nodes that have a part in the estimate. */
  public int nodes(long nowMs) {
    removeExpired(nowMs);
    return samplesByNode.size();
  }

  /** The true time; needs at least one sample that is not expired. */
  public long trueTimeMs(long nowMs) {
    removeExpired(nowMs);
    List<Long> offsets =
        samplesByNode.values().stream().map(ClockSamples::highestMs).sorted().toList();
    int upper = offsets.size() / 2;
    int lower = (offsets.size() - 1) / 2;
    return nowMs + Math.floorDiv(offsets.get(lower) + offsets.get(upper), 2L);
  }

  private void removeExpired(long nowMs) {
    samplesByNode
        .values()
        .removeIf(samples -> nowMs - samples.lastAt > UsageConstants.CLOCK_SAMPLE_EXPIRY_MS);
  }

  /** The last few samples of one node's clock, as offsets to this process's monotonic time. */
  private static final class ClockSamples {
    private final Deque<Long> offsetsMs = new ArrayDeque<>();
    private long lastAt;

    private void add(long offsetMs, long nowMs) {
      offsetsMs.addLast(offsetMs);
      if (offsetsMs.size() > UsageConstants.CLOCK_SAMPLES) {
        offsetsMs.removeFirst();
      }
      lastAt = nowMs;
    }

    private long highestMs() {
      return offsetsMs.stream().mapToLong(Long::longValue).max().orElseThrow();
    }
  }
}
