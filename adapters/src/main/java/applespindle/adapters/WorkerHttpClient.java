package applespindle.adapters;

import applespindle.corelogic.constants.WorkerConnectionConstants;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Sends proxied requests to workers over HTTP/1.1 on connections that are kept open. It speaks over
 * ActiveJ's sockets and not through its HTTP client, which reads bytes behind a complete response
 * as the next request's response, keeps idle connections by one time for all workers, and finds the
 * address by the Host header, which here is the client's. On the HTTP thread.
 */
final class WorkerHttpClient {
  private static final Duration CONNECT_TIMEOUT =
      Duration.ofMillis(WorkerConnectionConstants.CONNECT_TIMEOUT_MS);

  private final Eventloop eventloop;
  private final WorkerProtocol protocol;
  private final Consumer<Runnable> logicThread;
  private final WorkerConnectionPool pool;

  WorkerHttpClient(Eventloop eventloop, WorkerProtocol protocol, Consumer<Runnable> logicThread) {
    this.eventloop = eventloop;
    this.protocol = protocol;
    this.logicThread = logicThread;
    pool = new WorkerConnectionPool(eventloop);
  }

  /** An exchange that is yet to be started; may be called on any thread. */
  WorkerHttpExchange prepare(WorkerExchange call, ExchangeListener listener) {
    return new WorkerHttpExchange(this, call, listener);
  }

  WorkerProtocol protocol() {
    return protocol;
  }

  /** Runs a task on the logic thread. */
  void toLogic(Runnable task) {
    logicThread.accept(task);
  }

  /** Finds an idle connection for a call or makes a new one. */
  void connect(
      WorkerExchange call, Consumer<WorkerConnection> whenConnected, Runnable whenUnreachable) {
    WorkerConnection idle = pool.take(call.address(), call.request().id());
    if (idle != null) {
      whenConnected.accept(idle);
      return;
    }
    TcpSocket.connect(eventloop, PeerTransport.socketAddress(call.address()), CONNECT_TIMEOUT, null)
        .whenComplete(
            (socket, fault) -> {
              if (fault != null) {
                whenUnreachable.run();
              } else {
                whenConnected.accept(new WorkerConnection(eventloop, pool, call.address(), socket));
              }
            });
  }
}
