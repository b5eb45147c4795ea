package applespindle.adapters;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.WorkerConnectionConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One HTTP/1.1 connection to a worker, with one exchange at a time. Invariant: a read is always
 * pending, so that a close by the worker is noticed also while the connection is idle. On the HTTP
 * thread.
 */
final class WorkerConnection implements ResponseParser.Listener {
  private final Eventloop eventloop;
  private final WorkerConnectionPool pool;
  private final String address;
  private final TcpSocket socket;
  private final ResponseParser parser = new ResponseParser(this);

  /** The exchange whose response is due; null while idle. */
  private WorkerHttpExchange exchange;

  /** Valid while idle. */
  private long idleUntil;

  /** The present request has left for the socket. */
  private boolean written;

  private boolean closed;

  /** How many complete responses have come here. */
  private int responses;

  /** A late response came here: the connection serves the present exchange and no other. */
  private boolean tainted;

  /** A late response was read away; the one that is due may stand behind it. */
  private boolean skipped;

  private String lastRequestId;

  WorkerConnection(
      Eventloop eventloop, WorkerConnectionPool pool, String address, TcpSocket socket) {
    this.eventloop = eventloop;
    this.pool = pool;
    this.address = address;
    this.socket = socket;
    readNext();
  }

  String address() {
    return address;
  }

  /** When the connection is to be closed if it stays idle; in milliseconds of the loop's clock. */
  long idleUntil() {
    return idleUntil;
  }

  /** The id of the request that was sent last; null before the first. */
  String lastRequestId() {
    return lastRequestId;
  }

  /** Whether a complete response has come here before. */
  boolean hasServed() {
    return responses > 0;
  }

  /** Sends a request; the connection is the exchange's until its response has ended. */
  void send(WorkerHttpExchange exchange, EncodedRequest request) {
    this.exchange = exchange;
    exchange.attach(this);
    lastRequestId = exchange.call().request().id();
    written = false;
    parser.expect(exchange.call().request().method());
    writePart(exchange, request, 0);
  }

  private void writePart(WorkerHttpExchange sent, EncodedRequest request, int part) {
    socket
        .write(request.part(part))
        .whenComplete(
            (done, fault) -> {
              boolean last = part == request.parts() - 1;
              if (fault == null && !last && !closed) {
                writePart(sent, request, part + 1);
                return;
              }
              written = true;
              if (fault != null) {
                closeWith(new ApiError.WorkerStreamTruncated(sent.call().workerId()));
              } else if (exchange == null) {
                becomeIdle();
              }
            });
  }

  private void readNext() {
    if (closed) {
      return;
    }
    socket
        .read()
        .whenComplete(
            (chunk, fault) -> {
              if (closed) {
                if (chunk != null) {
                  chunk.recycle();
                }
              } else if (chunk == null) {
                closeWith(
                    exchange == null
                        ? null
                        : new ApiError.WorkerStreamTruncated(exchange.call().workerId()));
              } else {
                take(chunk);
              }
            });
  }

  private void take(ByteBuf chunk) {
    WorkerHttpExchange present = exchange;
    boolean readable =
        present != null && parser.take(chunk.array(), chunk.head(), chunk.readRemaining());
    chunk.recycle();
    while (readable && skipped) {
      skipped = false;
      readable = parser.goOn();
    }
    if (!readable) {
      closeWith(
          present == null ? null : new ApiError.MalformedWorkerResponse(present.call().workerId()));
    } else if (!closed) {
      present.flush();
      readNext();
    }
  }

  /**
   * Nothing has come and no end was read: looked for in the socket itself, as the loop may not have
   * seen it yet.
   */
  boolean isAlive() {
    if (closed || socket.isClosed() || eventloop.currentTimeMillis() >= idleUntil) {
      return false;
    }
    try {
      return socket.getSocketChannel().read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException broken) {
      return false;
    }
  }

  @Override
  public boolean head(int status, List<Header> headers) {
    return exchange.head(status, headers);
  }

  @Override
  public boolean body(byte[] bytes, int offset, int size) {
    return exchange.body(bytes, offset, size);
  }

  /**
   * A faulty worker may answer a request twice; only a connection that has served one can bring
   * that.
   */
  boolean mayBringLateResponse() {
    boolean may = responses > 0 && !tainted;
    tainted = true;
    return may;
  }

  @Override
  public boolean end() {
    WorkerHttpExchange ended = exchange;
    if (ended.stopSkipping()) {
      skipped = true;
      return true;
    }
    responses++;
    if (!ended.end()) {
      return false;
    }
    ended.flush();
    ended.attach(null);
    exchange = null;
    if (parser.hasSurplus() || parser.closes() || tainted) {
      close();
    } else if (written) {
      becomeIdle();
    }
    return true;
  }

  /** Idle from now on; the worker's own limit is kept to if it has named one. */
  private void becomeIdle() {
    if (closed) {
      return;
    }
    long keepAliveMs = parser.keepAliveMs();
    long idleMs =
        keepAliveMs == 0
            ? WorkerConnectionConstants.DEFAULT_IDLE_TIMEOUT_MS
            : Math.min(
                WorkerConnectionConstants.MAX_IDLE_TIMEOUT_MS,
                keepAliveMs - WorkerConnectionConstants.IDLE_TIMEOUT_MARGIN_MS);
    idleUntil = eventloop.currentTimeMillis() + idleMs;
    pool.add(this);
  }

  /** Nobody waits for the rest of the present response, which must not keep this for ever. */
  void limitIdleTime() {
    WorkerHttpExchange refused = exchange;
    eventloop.delayBackground(
        WorkerConstants.REJECTION_BACKOFF_MS,
        () -> {
          if (exchange == refused) {
            close();
          }
        });
  }

  private void closeWith(ApiError error) {
    WorkerHttpExchange lost = exchange;
    close();
    if (lost != null) {
      lost.fail(error, true);
    }
  }

  void close() {
    if (closed) {
      return;
    }
    closed = true;
    exchange = null;
    pool.remove(this);
    socket.close();
  }
}
