package applespindle.corelogic.edge;

import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.metadata.NodeAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The leader and due time of batches, as their leaders last announced them, for a bounded number of
 * batches. These are hints, which may be out of date: no decision may depend on their being right.
 */
final class BatchHints {
  private static final class BoundedMap<V> extends LinkedHashMap<String, V> {
    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
      return size() > BatchConstants.MAX_REMEMBERED_BATCHES;
    }
  }

  /**
   * By batch, when it is due on this node's clock. The log of a batch records its age only up to
   * the last event, so that without this hint a new leader would rank a batch that has waited for
   * long after younger ones.
   */
  private final Map<String, Long> dueAt = new BoundedMap<>();

  private final Map<String, NodeAddress> leader = new BoundedMap<>();

  void record(String batch, long dueAtMs, NodeAddress itsLeader) {
    dueAt.put(batch, dueAtMs);
    leader.put(batch, itsLeader);
  }

  void batchEnded(String batch) {
    dueAt.remove(batch);
  }

  /** When the batch is due, on this node's clock; null if no leader has announced it. */
  Long dueAt(String batch) {
    return dueAt.get(batch);
  }

  /** The leader that last announced the batch; null if none has. */
  NodeAddress leader(String batch) {
    return leader.get(batch);
  }
}
