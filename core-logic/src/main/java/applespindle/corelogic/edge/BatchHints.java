package applespindle.corelogic.edge;

import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.metadata.NodeAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What the leaders of batches said of them last, for a bounded number of batches. Only hints:
 * whoever acts on one must bear that it is old.
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
   * By batch, when it is due on this node's clock. A batch's log knows its age only up to its last
   * event: without this a new leader would put a batch that waited long behind younger ones.
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

  /** Null if no leader has said so. */
  Long dueAt(String batch) {
    return dueAt.get(batch);
  }

  /** Null if none is known. */
  NodeAddress leader(String batch) {
    return leader.get(batch);
  }
}
