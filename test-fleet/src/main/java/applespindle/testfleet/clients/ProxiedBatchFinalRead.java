package applespindle.testfleet.clients;

import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.Simulation;
import java.util.HashSet;
import java.util.Set;

/**
 * The last read of a batch at the end of a run: page by page all that is listed, then the bodies of
 * the items that are not.
 */
final class ProxiedBatchFinalRead {
  private final ProxyClients clients;
  private final Simulation simulation;
  private final ProxiedBatchClient client;
  private final ProxiedBatchReader reader;
  private final Set<String> missingBodies = new HashSet<>();
  private long startedMs;
  private long untilMs;
  private boolean closed;

  ProxiedBatchFinalRead(
      ProxyClients clients, ProxiedBatchClient client, ProxiedBatchReader reader) {
    this.clients = clients;
    this.simulation = clients.simulation;
    this.client = client;
    this.reader = reader;
  }

  boolean isClosed() {
    return closed;
  }

  /** Counts as closed without a read. */
  void skip() {
    closed = true;
  }

  /** Reads until all has been read, at most until a time. */
  void start(long untilMs) {
    this.startedMs = simulation.simulatedNowMs();
    this.untilMs = untilMs;
    readPages(0);
  }

  private void readPages(long from) {
    if (isTimeOver()) {
      close("unread", from, 0);
      return;
    }
    reader.readPage(
        from,
        0,
        next -> {
          if (next == ProxiedBatchReader.FAILED) {
            simulation.afterMs(ProxiedBatchClient.RETRY_PAUSE_MS, () -> readPages(from));
          } else if (next > from) {
            readPages(next);
          } else {
            if (!client.endAsked) {
              missingBodies.addAll(reader.unlistedItems());
            }
            readBodies(from);
          }
        });
  }

  private void readBodies(long results) {
    boolean readAnewMeanwhile = reader.resultCount() > results;
    if (isTimeOver() || missingBodies.isEmpty() && !readAnewMeanwhile) {
      close("read", results, missingBodies.size());
      return;
    }
    if (missingBodies.isEmpty()) {
      simulation.afterMs(ProxiedBatchClient.RETRY_PAUSE_MS, () -> readNewResults(results));
      return;
    }
    String itemId = missingBodies.iterator().next();
    reader.readBody(
        itemId,
        status -> {
          if (status == 200) {
            missingBodies.remove(itemId);
            readBodies(results);
          } else {
            simulation.afterMs(ProxiedBatchClient.RETRY_PAUSE_MS, () -> readNewResults(results));
          }
        });
  }

  /** An item whose body could not be read may have got its result meanwhile. */
  private void readNewResults(long results) {
    reader.readPage(
        results,
        0,
        next -> {
          missingBodies.removeAll(reader.listedItems());
          readBodies(Math.max(results, next));
        });
  }

  private boolean isTimeOver() {
    return simulation.simulatedNowMs() >= untilMs;
  }

  private void close(String how, long results, int bodies) {
    if (closed) {
      return;
    }
    closed = true;
    long tookMs = simulation.simulatedNowMs() - startedMs;
    clients.slowestCloseMs = Math.max(clients.slowestCloseMs, tookMs);
    simulation.history.add(
        simulation.simulatedNowMs(),
        Kind.OPAQUE_CLOSED,
        client.batch.id(),
        how,
        Long.toString(results),
        bodies);
  }
}
