package applespindle.adapters;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.HttpSyntax;
import applespindle.corelogic.constants.WorkerConnectionConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Opaque requests at workers over HTTP/1.1 on kept connections; all on the http thread. It speaks
 * over ActiveJ's sockets and not through its HTTP client, which reads bytes behind a whole response
 * as the next request's response, keeps idle connections by one time for all workers, and finds the
 * address by the Host header, which here is the client's.
 */
final class WorkerHttpClient {
  private static final Duration CONNECT_TIMEOUT =
      Duration.ofMillis(WorkerConnectionConstants.CONNECT_TIMEOUT_MS);
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "proxy-connection");

  private final Eventloop eventloop;
  private final WorkerProtocol format;
  private final Consumer<Runnable> toLogic;

  /** By address, the connection used last at the end. */
  private final Map<String, ArrayDeque<Connection>> idle = new HashMap<>();

  private boolean sweeping;

  WorkerHttpClient(Eventloop eventloop, WorkerProtocol format, Consumer<Runnable> toLogic) {
    this.eventloop = eventloop;
    this.format = format;
    this.toLogic = toLogic;
  }

  Exchange prepare(WorkerExchange call, ExchangeListener listener) {
    return new Exchange(call, listener);
  }

  /**
   * One request and its response. What it tells is gathered while bytes are read and handed to the
   * logic in one go.
   */
  final class Exchange {
    private final WorkerExchange call;
    private final ExchangeListener listener;
    private final List<Runnable> told = new ArrayList<>(4);
    private Connection connection;
    private EventSplitter events;

    /** What is read now is a late response to an earlier request; its own is due behind it. */
    private boolean skipping;

    private boolean over;

    Exchange(WorkerExchange call, ExchangeListener listener) {
      this.call = call;
      this.listener = listener;
    }

    void start() {
      if (over) {
        return;
      }
      byte[] request = render(call);
      if (request == null) {
        fail(
            new ApiError.InvalidInput(
                List.of(new ApiError.Field("head", "holds what HTTP/1.1 can not carry"))),
            false);
        return;
      }
      Connection kept = takeIdle(call.address(), call.request().id());
      if (kept != null) {
        kept.send(this, request);
        return;
      }
      TcpSocket.connect(
              eventloop, PeerTransport.socketAddress(call.address()), CONNECT_TIMEOUT, null)
          .whenComplete(
              (socket, fault) -> {
                if (fault != null) {
                  fail(new ApiError.WorkerUnreachable(call.workerId()), false);
                  return;
                }
                Connection made = new Connection(call.address(), socket);
                if (over) {
                  made.close();
                } else {
                  made.send(this, request);
                }
              });
    }

    /** No callback comes after this, but for those already on their way to the logic. */
    void cancel() {
      over = true;
      if (connection != null) {
        connection.close();
      }
    }

    void fail(ApiError error, boolean mayHaveRun) {
      if (!over) {
        over = true;
        told.add(() -> listener.fail(error, mayHaveRun));
        flush();
      }
    }

    /** False if the response is not one to this request, or not a whole one. */
    boolean head(int status, List<Header> headers) {
      UnaryOperator<String> values = name -> value(headers, name);
      if (!isOwn(values)) {
        skipping = connection.mayBringLateResponse();
        return skipping;
      }
      WorkerLoad load = format.load(values);
      if (load != null) {
        told.add(() -> listener.load(load));
      }
      if (format.saysNotRun(status, values)) {
        fail(new ApiError.WorkerRejected(status), false);
        connection.limitRest();
        return true;
      }
      if (status < 300 && !format.isWhole(status, values)) {
        return false;
      }
      String type = value(headers, "Content-Type");
      if (type != null && type.toLowerCase(Locale.ROOT).startsWith("text/event-stream")) {
        events = new EventSplitter(event -> told.add(() -> listener.chunk(event)));
      }
      ResponseHead head = new ResponseHead(status, endToEnd(headers));
      told.add(() -> listener.head(head));
      return true;
    }

    private boolean isOwn(UnaryOperator<String> headers) {
      return switch (format.attribute(call, headers)) {
        case THIS_REQUEST -> true;
        case ANOTHER_REQUEST -> false;
        case UNNAMED_REFUSAL -> connection.responses == 0;
      };
    }

    boolean body(byte[] bytes, int offset, int size) {
      if (over || skipping) {
        return true;
      }
      if (events != null) {
        return events.take(bytes, offset, size);
      }
      ResponseChunk piece = new ResponseChunk("", Arrays.copyOfRange(bytes, offset, offset + size));
      told.add(() -> listener.chunk(piece));
      return true;
    }

    /** False if the body ended within an event. */
    boolean end() {
      if (!over) {
        if (events != null && !events.isBetweenEvents()) {
          return false;
        }
        over = true;
        told.add(listener::end);
      }
      return true;
    }

    void flush() {
      if (told.size() == 1) {
        toLogic.accept(told.get(0));
      } else if (!told.isEmpty()) {
        List<Runnable> all = List.copyOf(told);
        toLogic.accept(() -> all.forEach(Runnable::run));
      }
      told.clear();
    }
  }

  private static String value(List<Header> headers, String name) {
    for (Header header : headers) {
      if (header.name().equalsIgnoreCase(name)) {
        return header.value();
      }
    }
    return null;
  }

  private static List<Header> endToEnd(List<Header> headers) {
    Set<String> dropped = HOP_BY_HOP;
    for (Header header : headers) {
      if (header.name().equalsIgnoreCase("Connection")) {
        dropped = new HashSet<>(dropped);
        for (String named : header.value().split(",")) {
          dropped.add(named.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    Set<String> all = dropped;
    return headers.stream()
        .filter(header -> !all.contains(header.name().toLowerCase(Locale.ROOT)))
        .toList();
  }

  /**
   * The whole request, or null if its head holds characters that would reach the worker as others,
   * or let one request look like two. Headers that concern one connection only are left out.
   */
  private byte[] render(WorkerExchange call) {
    ProxiedRequest request = call.request();
    StringBuilder head = new StringBuilder(512);
    head.append(request.method()).append(' ').append(request.target()).append(" HTTP/1.1\r\n");
    boolean clean = HttpSyntax.isToken(request.method()) && HttpSyntax.isTarget(request.target());
    boolean hosted = false;
    for (Header header : endToEnd(format.requestHeaders(call))) {
      clean &= HttpSyntax.isToken(header.name()) && HttpSyntax.isFieldValue(header.value());
      hosted |= header.name().equalsIgnoreCase("Host");
      head.append(header.name()).append(": ").append(header.value()).append("\r\n");
    }
    if (!hosted) {
      clean &= HttpSyntax.isTarget(request.host());
      head.append("Host: ").append(request.host()).append("\r\n");
    }
    boolean bodiless =
        request.body().length == 0
            && (request.method().equals("GET") || request.method().equals("HEAD"));
    if (!bodiless) {
      head.append("Content-Length: ").append(request.body().length).append("\r\n");
    }
    head.append("\r\n");
    if (!clean) {
      return null;
    }
    byte[] bytes = head.toString().getBytes(ISO_8859_1);
    byte[] all = Arrays.copyOf(bytes, bytes.length + request.body().length);
    System.arraycopy(request.body(), 0, all, bytes.length, request.body().length);
    return all;
  }

  /**
   * A connection that has carried a request of this id is passed over: a late second response to
   * that one could not be told from the response to this.
   */
  private Connection takeIdle(String address, String requestId) {
    ArrayDeque<Connection> connections = idle.get(address);
    if (connections == null) {
      return null;
    }
    for (Iterator<Connection> latestFirst = connections.descendingIterator();
        latestFirst.hasNext(); ) {
      Connection connection = latestFirst.next();
      if (requestId.equals(connection.lastRequestId)) {
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

  private void sweep() {
    if (sweeping) {
      return;
    }
    sweeping = true;
    eventloop.delayBackground(
        WorkerConnectionConstants.IDLE_SWEEP_INTERVAL_MS,
        () -> {
          sweeping = false;
          long now = eventloop.currentTimeMillis();
          for (Iterator<ArrayDeque<Connection>> addresses = idle.values().iterator();
              addresses.hasNext(); ) {
            ArrayDeque<Connection> connections = addresses.next();
            for (Connection connection : List.copyOf(connections)) {
              if (now >= connection.idleUntil) {
                connection.close();
              }
            }
            if (connections.isEmpty()) {
              addresses.remove();
            }
          }
          if (!idle.isEmpty()) {
            sweep();
          }
        });
  }

  /**
   * Invariant: a read is always pending, so that a close by the worker is noticed also while the
   * connection is idle.
   */
  private final class Connection implements ResponseParser.Listener {
    private final String address;
    private final TcpSocket socket;
    private final ResponseParser parser = new ResponseParser(this);

    /** The exchange whose response is due; null while idle. */
    private Exchange exchange;

    private long idleUntil;
    private boolean written;
    private boolean closed;
    private int responses;

    /**
     * Bytes came here that nobody had asked for any more: it serves the present exchange and no
     * other.
     */
    private boolean tainted;

    private boolean skipped;

    private String lastRequestId;

    Connection(String address, TcpSocket socket) {
      this.address = address;
      this.socket = socket;
      readOn();
    }

    void send(Exchange exchange, byte[] request) {
      this.exchange = exchange;
      exchange.connection = this;
      lastRequestId = exchange.call.request().id();
      written = false;
      parser.expect(exchange.call.request().method());
      socket
          .write(ByteBuf.wrapForReading(request))
          .whenComplete(
              (done, fault) -> {
                written = true;
                if (fault != null) {
                  lose(new ApiError.WorkerStreamTruncated(exchange.call.workerId()));
                } else if (this.exchange == null) {
                  rest();
                }
              });
    }

    private void readOn() {
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
                  return;
                }
                Exchange present = exchange;
                if (chunk == null) {
                  lose(
                      present == null
                          ? null
                          : new ApiError.WorkerStreamTruncated(present.call.workerId()));
                  return;
                }
                boolean readable =
                    present != null
                        && parser.take(chunk.array(), chunk.head(), chunk.readRemaining());
                chunk.recycle();
                while (readable && skipped) {
                  skipped = false;
                  readable = parser.goOn();
                }
                if (!readable) {
                  lose(
                      present == null
                          ? null
                          : new ApiError.MalformedWorkerResponse(present.call.workerId()));
                } else if (!closed) {
                  present.flush();
                  readOn();
                }
              });
    }

    /**
     * Nothing has come and no end was read: looked for in the socket itself, as the loop may not
     * have seen it yet.
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
     * A worker in trouble may answer a request twice; only a connection that has served one can
     * bring that.
     */
    boolean mayBringLateResponse() {
      boolean may = responses > 0 && !tainted;
      tainted = true;
      return may;
    }

    @Override
    public boolean end() {
      Exchange ended = exchange;
      if (ended.skipping) {
        ended.skipping = false;
        skipped = true;
        return true;
      }
      responses++;
      if (!ended.end()) {
        return false;
      }
      ended.flush();
      ended.connection = null;
      exchange = null;
      if (parser.hasSurplus() || parser.closes() || tainted) {
        close();
      } else if (written) {
        rest();
      }
      return true;
    }

    private void rest() {
      if (closed) {
        return;
      }
      long told = parser.keepAliveMs();
      long keptMs =
          told == 0
              ? WorkerConnectionConstants.DEFAULT_IDLE_TIMEOUT_MS
              : Math.min(
                  WorkerConnectionConstants.MAX_IDLE_TIMEOUT_MS,
                  told - WorkerConnectionConstants.IDLE_TIMEOUT_MARGIN_MS);
      idleUntil = eventloop.currentTimeMillis() + keptMs;
      ArrayDeque<Connection> connections =
          idle.computeIfAbsent(address, unseen -> new ArrayDeque<>());
      connections.addLast(this);
      sweep();
      if (connections.size() > WorkerConnectionConstants.MAX_IDLE_CONNECTIONS) {
        connections.peekFirst().close();
      }
    }

    /** Nobody waits for the rest of the present response, which must not keep this for ever. */
    void limitRest() {
      Exchange refused = exchange;
      eventloop.delayBackground(
          WorkerConstants.REJECTION_BACKOFF_MS,
          () -> {
            if (exchange == refused) {
              close();
            }
          });
    }

    private void lose(ApiError error) {
      Exchange lost = exchange;
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
      ArrayDeque<Connection> connections = idle.get(address);
      if (connections != null) {
        connections.remove(this);
      }
      socket.close();
    }
  }
}
