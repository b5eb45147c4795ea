package applespindle.corelogic.usage;

import applespindle.corelogic.constants.UsageConstants;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the true time from the wall clocks of many nodes, against the monotonic time of this
 * process.
 *
 * <p>Clocks that are right agree with each other, those that were stepped are off by amounts of
 * their own. The estimate is the median of the largest set of clocks that agree within {@link
 * UsageConstants#CLOCK_AGREEMENT_MS}, as in the intersection algorithm of NTP; of sets of one size
 * it is the one that is nearest to the median of all clocks. While most clocks are right this is as
 * good as the median of all; it also holds in a small fleet where half of the clocks were stepped.
 */
public final class TrueTimeEstimator {
  private record ClockSample(long offsetMs, long at) {}

  private final Map<String, ClockSample> samplesByNode = new HashMap<>();

  /**
   * Replaces the sample of a node's clock.
   *
   * @param offsetMs how far that clock is ahead of this process's monotonic time
   * @param nowMs this process's monotonic time
   */
  public void putSample(String node, long offsetMs, long nowMs) {
    samplesByNode.put(node, new ClockSample(offsetMs, nowMs));
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

  /** Number of nodes whose clocks agree on the estimate. */
  public int agreeingNodes(long nowMs) {
    removeExpired(nowMs);
    return largestAgreement(sortedOffsets()).size();
  }

  /** The true time; needs at least one sample that is not expired. */
  public long trueTimeMs(long nowMs) {
    removeExpired(nowMs);
    return nowMs + median(largestAgreement(sortedOffsets()));
  }

  private List<Long> sortedOffsets() {
    return samplesByNode.values().stream().map(ClockSample::offsetMs).sorted().toList();
  }

  private static List<Long> largestAgreement(List<Long> sortedOffsets) {
    long middle = median(sortedOffsets);
    List<Long> best = List.of();
    for (int first = 0; first < sortedOffsets.size(); first++) {
      int end = first;
      long highest = sortedOffsets.get(first) + UsageConstants.CLOCK_AGREEMENT_MS;
      while (end < sortedOffsets.size() && sortedOffsets.get(end) <= highest) {
        end++;
      }
      List<Long> agreeing = sortedOffsets.subList(first, end);
      boolean nearer =
          agreeing.size() == best.size()
              && Math.abs(median(agreeing) - middle) < Math.abs(median(best) - middle);
      if (agreeing.size() > best.size() || nearer) {
        best = agreeing;
      }
    }
    return best;
  }

  private static long median(List<Long> sortedOffsets) {
    int upper = sortedOffsets.size() / 2;
    int lower = (sortedOffsets.size() - 1) / 2;
    return Math.floorDiv(sortedOffsets.get(lower) + sortedOffsets.get(upper), 2L);
  }

  private void removeExpired(long nowMs) {
    samplesByNode
        .values()
        .removeIf(sample -> nowMs - sample.at() > UsageConstants.CLOCK_SAMPLE_EXPIRY_MS);
  }
}
