package applespindle.adapters;

import applespindle.corelogic.constants.WorkerConnectionConstants;
import io.activej.eventloop.Eventloop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The idle connections to workers. Invariant: a connection is in here only while it has no exchange
 * and is open; it removes itself when it closes. On the HTTP thread.
 */
final class WorkerConnectionPool {
  private final Eventloop eventloop;

  /** By address; the connection that was used last is at the end. */
  private final Map<String, ArrayDeque<WorkerConnection>> idle = new HashMap<>();

  private boolean sweepScheduled;

  WorkerConnectionPool(Eventloop eventloop) {
    this.eventloop = eventloop;
  }

  /**
   * Takes an open connection out of the pool; null if there is none. A connection that has carried
   * a request of this id is passed over: a late second response to that one could not be told from
   * the response to this.
   */
  WorkerConnection take(String address, String requestId) {
    ArrayDeque<WorkerConnection> connections = idle.get(address);
    if (connections == null) {
      return null;
    }
    for (Iterator<WorkerConnection> latestFirst = connections.descendingIterator();
        latestFirst.hasNext(); ) {
      WorkerConnection connection = latestFirst.next();
      if (requestId.equals(connection.lastRequestId())) {
        continue;
      }
      latestFirst.remove();
      if (connection.isAlive()) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  /** Puts a connection into the pool; the one idle for longest is closed if there are too many. */
  void add(WorkerConnection connection) {
    ArrayDeque<WorkerConnection> connections =
        idle.computeIfAbsent(connection.address(), unseen -> new ArrayDeque<>());
    connections.addLast(connection);
    scheduleSweep();
    if (connections.size() > WorkerConnectionConstants.MAX_IDLE_CONNECTIONS) {
      connections.peekFirst().close();
    }
  }

  /** Forgets a connection that has closed; does nothing if it is not in the pool. */
  void remove(WorkerConnection connection) {
    ArrayDeque<WorkerConnection> connections = idle.get(connection.address());
    if (connections != null) {
      connections.remove(connection);
    }
  }

  private void scheduleSweep() {
    if (sweepScheduled) {
      return;
    }
    sweepScheduled = true;
    eventloop.delayBackground(
        WorkerConnectionConstants.IDLE_SWEEP_INTERVAL_MS,
        () -> {
          sweepScheduled = false;
          closeExpired();
          if (!idle.isEmpty()) {
            scheduleSweep();
          }
        });
  }

  private void closeExpired() {
    long now = eventloop.currentTimeMillis();
    for (Iterator<ArrayDeque<WorkerConnection>> addresses = idle.values().iterator();
        addresses.hasNext(); ) {
      ArrayDeque<WorkerConnection> connections = addresses.next();
      for (WorkerConnection connection : List.copyOf(connections)) {
        if (now >= connection.idleUntil()) {
          connection.close();
        }
      }
      if (connections.isEmpty()) {
        addresses.remove();
      }
    }
  }
}
