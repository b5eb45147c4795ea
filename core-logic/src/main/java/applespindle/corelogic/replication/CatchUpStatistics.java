package applespindle.corelogic.replication;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What the catch-ups of a node have cost since its start: they tell an operator whether a repair is
 * under way, how far it is, and what it waits for. On the logic thread.
 */
final class CatchUpStatistics {
  /** Requests for a page that this node sent to a source. */
  long pagesRequested;

  /** Requests for a page that went unanswered or were refused, so that the page was asked again. */
  long pagesRepeated;

  /** Pages that this node sent to joining nodes. */
  long pagesServed;

  /** Bytes of log entries that this node got as a joining one. */
  long bytesFetched;

  /** How long the last complete catch-up took, in milliseconds. */
  long lastDurationMs;

  /** Adds the figures to a node's status, from which the metrics are made. */
  void addTo(ObjectNode status) {
    status
        .put("catchUpPagesRequested", pagesRequested)
        .put("catchUpPagesRepeated", pagesRepeated)
        .put("catchUpPagesServed", pagesServed)
        .put("catchUpBytesFetched", bytesFetched)
        .put("catchUpLastDurationMs", lastDurationMs);
  }
}
