package applespindle.corelogic.changefeed;

import applespindle.corelogic.protocol.Message.AppliedPositions;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Owns what edges have reported to apply: for each edge address and key the highest sequence.
 *
 * <p>Invariant: the sequence of an edge and key never falls while the edge is tracked, because an
 * edge never goes back to an older value.
 */
final class AppliedPositionTracker {
  private final Map<String, Map<String, Long>> sequencesByEdge = new HashMap<>();

  /** Takes over an edge's report; lower sequences than reported before are ignored. */
  void record(AppliedPositions report) {
    Map<String, Long> sequences =
        sequencesByEdge.computeIfAbsent(report.edgeAddress(), unseen -> new HashMap<>());
    report
        .positions()
        .forEach(position -> sequences.merge(position.key(), position.sequence(), Math::max));
  }

  /** Whether the edge applies the key's value of this sequence or a newer one. */
  boolean isAppliedBy(String edgeAddress, String key, long sequence) {
    return sequencesByEdge.getOrDefault(edgeAddress, Map.of()).getOrDefault(key, 0L) >= sequence;
  }

  /** Whether more than half of these edges apply the key's value of this sequence or a newer. */
  boolean isAppliedByMajority(Collection<String> edgeAddresses, String key, long sequence) {
    return isMajority(edgeAddresses, address -> isAppliedBy(address, key, sequence));
  }

  /** Whether more than half of these edges have reported anything. */
  boolean hasReportsOfMajority(Collection<String> edgeAddresses) {
    return isMajority(edgeAddresses, sequencesByEdge::containsKey);
  }

  /** Forgets the edges whose address does not meet the condition. */
  void retainIf(Predicate<String> condition) {
    sequencesByEdge.keySet().removeIf(condition.negate());
  }

  private static boolean isMajority(Collection<String> edgeAddresses, Predicate<String> condition) {
    return edgeAddresses.stream().filter(condition).count() * 2 > edgeAddresses.size();
  }
}
