package applespindle.dataplane;

import applespindle.adapters.HttpInterface;
import applespindle.adapters.NodeProcess;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.common.HttpSyntax;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.SizeLimits;
import applespindle.corelogic.edge.EdgeGateway;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.StageTimer;
import applespindle.dataplane.RequestFormat.Arrived;
import applespindle.dataplane.RequestFormat.BatchCall;
import applespindle.dataplane.RequestFormat.Parsed;
import io.activej.common.inspector.AbstractInspector;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import io.activej.http.ServedConnection;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Where clients of opaque requests arrive. A request is read whole within the limits in force
 * before the logic hears of it; what is refused here was never passed on. All on the http thread,
 * except the questions to the logic.
 */
public final class ProxyEndpoint {
  /**
   * Headers that belong to one connection and go no further, besides those that Connection names.
   */
  private static final Set<String> CONNECTION_BOUND =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "transfer-encoding",
          "te",
          "trailer",
          "upgrade",
          "content-length",
          "expect",
          "proxy-authenticate",
          "proxy-authorization");

  /** The library's own time for idle connections; those in force are kept to by the sockets. */
  private static final Duration IDLE_MOST = Duration.ofDays(1);

  private static final String PART = "door";
  static final int HEAD_BYTES_MOST = 64 << 10;

  private final NodeProcess process;
  private final EdgeGateway gateway;
  private final RequestFormat format;

  /** As the bundle in force has them; null before the first. */
  private volatile RoutingConfiguration.ClientLimits limits;

  /** On the http thread only, as are the sockets. */
  private final Set<ClientConnection> sockets = new HashSet<>();

  /** The socket being accepted. */
  private ClientConnection accepted;

  public ProxyEndpoint(NodeProcess process, EdgeGateway gateway, RequestFormat format) {
    this.process = process;
    this.gateway = gateway;
    this.format = format;
  }

  /** Before any HTTP class is loaded: single header lines may be as long as a whole head may. */
  public static void allowHeads() {
    System.setProperty("HttpMessage.maxHeaderLineSize", Integer.toString(HEAD_BYTES_MOST));
    System.setProperty("IWebSocket.enabled", "false");
  }

  public void listen(String address) {
    gateway.onConfigurationChange(
        configuration -> {
          limits = configuration.clients();
          process.toHttp(() -> List.copyOf(sockets).forEach(ClientConnection::limitsChanged));
        });
    HttpServer server =
        HttpServer.builder(process.httpLoop(), this::serve)
            .withKeepAliveTimeout(IDLE_MOST)
            .withInspector(new ConnectionInspector())
            .withHttpErrorFormatter(
                fault ->
                    Promise.of(
                        HttpInterface.render(
                            Response.of(
                                new ApiError.InternalError(fault.getClass().getSimpleName())))))
            .build();
    try {
      SimpleServer.builder(process.httpLoop(), socket -> serve(server, socket))
          .withListenAddress(HttpInterface.socketAddress(address))
          .build()
          .listen();
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
  }

  private void serve(HttpServer server, ITcpSocket socket) {
    ClientConnection[] guarded = new ClientConnection[1];
    guarded[0] =
        new ClientConnection(
            socket, process.httpLoop(), () -> limits, () -> sockets.remove(guarded[0]));
    accepted = guarded[0];
    sockets.add(accepted);
    ServedConnection.serve(server, accepted, InetAddress.getLoopbackAddress());
  }

  /** Each connection keeps its socket at hand; it is told of while it is being accepted. */
  private final class ConnectionInspector extends AbstractInspector<HttpServer.Inspector>
      implements HttpServer.Inspector {
    @Override
    public void onAccept(HttpServerConnection connection) {
      connection.setUserData(accepted);
    }

    @Override
    public void onHttpRequest(HttpRequest request) {}

    @Override
    public void onHttpResponse(HttpRequest request, HttpResponse response) {}

    @Override
    public void onHttpResponseComplete(HttpServerConnection connection) {}

    @Override
    public void onServletException(HttpRequest request, Exception fault) {}

    @Override
    public void onHttpError(HttpServerConnection connection, Exception fault) {}

    @Override
    public void onMalformedHttpRequest(
        HttpServerConnection connection, MalformedHttpException fault, byte[] bytes) {}

    @Override
    public void onDisconnect(HttpServerConnection connection) {}
  }

  private static ClientConnection socket(HttpRequest request) {
    return (ClientConnection) request.getConnection().getUserData();
  }

  /** The response is the last on its connection; a body that is still coming is read away. */
  private Promise<HttpResponse> refuseUnread(HttpRequest request, ApiError error) {
    request.takeBodyStream().streamTo(ChannelConsumers.recycling());
    return refuseAndClose(request, error);
  }

  private Promise<HttpResponse> refuseAndClose(HttpRequest request, ApiError error) {
    socket(request).closeAfterWrite();
    return later(
        HttpInterface.begin(Response.of(error))
            .withHeader(HttpHeaders.CONNECTION, "close")
            .build());
  }

  /** The library reads on behind a request that is answered while it is being read; so none is. */
  private Promise<HttpResponse> later(HttpResponse response) {
    SettablePromise<HttpResponse> promise = new SettablePromise<>();
    process.httpLoop().post(() -> promise.set(response));
    return promise;
  }

  private Promise<HttpResponse> serve(HttpRequest request) {
    ClientConnection socket = socket(request);
    boolean chunked = request.getHeader(HttpHeaders.TRANSFER_ENCODING) != null;
    boolean sound = socket.bodyBegins(chunked);
    ApiError error = headFault(request);
    if (error == null && !sound) {
      error = invalid("body", "must come in sound chunks");
    }
    int bodyBytesMost = bodyBytesMost();
    String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    if (error == null && length != null && Long.parseLong(length) > bodyBytesMost) {
      error = new ApiError.InputTooLarge(bodyBytesMost);
    }
    if (error != null) {
      return refuseUnread(request, error);
    }
    String target = request.getPathAndQuery();
    String host = request.getHeader(HttpHeaders.HOST);
    List<ProxiedRequest.Header> headers = endToEnd(request);
    String method = request.getMethod().name();
    StageTimer trace = new StageTimer(process);
    return request
        .loadBody(bodyBytesMost)
        .then(
            // The library looks at the size before it adds a chunk, and not behind the last.
            body ->
                body.readRemaining() > bodyBytesMost
                    ? refuseAndClose(request, new ApiError.InputTooLarge(bodyBytesMost))
                    : answer(
                        request,
                        socket,
                        new Arrived(method, target, host, headers, body.getArray()),
                        trace),
            unreadable -> refuseAndClose(request, new ApiError.InputTooLarge(bodyBytesMost)));
  }

  private int bodyBytesMost() {
    RoutingConfiguration.ClientLimits known = limits;
    return known == null || known.maxBodyBytes() == 0
        ? SizeLimits.MAX_BODY_BYTES
        : known.maxBodyBytes();
  }

  /** What makes a head ambiguous or too large; such a request goes no further. */
  private ApiError headFault(HttpRequest request) {
    RoutingConfiguration.ClientLimits known = limits;
    int headBytesMost =
        known == null || known.maxHeadBytes() == 0 ? HEAD_BYTES_MOST : known.maxHeadBytes();
    int bytes = request.getPathAndQuery().length();
    int lengths = 0;
    int hosts = 0;
    boolean encoded = false;
    for (Map.Entry<HttpHeader, HttpHeaderValue> each : request.getHeaders()) {
      String value = each.getValue().toString();
      if (!HttpSyntax.isToken(ClientConnection.unmasked(each.getKey().toString()))) {
        // Most of all no blank before the colon, which would hide a length and make the body
        // another
        // request.
        return invalid("header names", "must be tokens");
      }
      bytes += each.getKey().size() + value.length() + 4;
      if (each.getKey().equals(HttpHeaders.CONTENT_LENGTH)) {
        lengths++;
        if (!value.matches("[0-9]{1,18}")) {
          return invalid("header Content-Length", "must be a whole number");
        }
      } else if (each.getKey().equals(HttpHeaders.TRANSFER_ENCODING)) {
        if (encoded || !value.strip().equalsIgnoreCase("chunked")) {
          return invalid("header Transfer-Encoding", "must be chunked, once");
        }
        encoded = true;
      } else if (each.getKey().equals(HttpHeaders.HOST)) {
        hosts++;
      }
    }
    if (bytes > headBytesMost) {
      return new ApiError.HeadTooLarge(headBytesMost);
    }
    if (lengths > 1 || lengths == 1 && encoded) {
      return invalid("header Content-Length", "must stand once, and not beside Transfer-Encoding");
    }
    return hosts == 1 ? null : invalid("header Host", "must stand once");
  }

  private static ApiError invalid(String field, String reason) {
    return new ApiError.InvalidInput(List.of(new ApiError.Field(field, reason)));
  }

  private static List<ProxiedRequest.Header> endToEnd(HttpRequest request) {
    Set<String> named = null;
    String connection = request.getHeader(HttpHeaders.CONNECTION);
    if (connection != null) {
      named = new HashSet<>();
      for (String token : connection.split(",")) {
        named.add(token.strip().toLowerCase(Locale.ROOT));
      }
    }
    List<ProxiedRequest.Header> headers = new ArrayList<>();
    for (Map.Entry<HttpHeader, HttpHeaderValue> each : request.getHeaders()) {
      String name = ClientConnection.unmasked(each.getKey().toString());
      String lower = name.toLowerCase(Locale.ROOT);
      if (!CONNECTION_BOUND.contains(lower) && (named == null || !named.contains(lower))) {
        headers.add(new ProxiedRequest.Header(name, each.getValue().toString()));
      }
    }
    return headers;
  }

  private Promise<HttpResponse> answer(
      HttpRequest http, ClientConnection socket, Arrived arrived, StageTimer trace) {
    SettablePromise<HttpResponse> response = new SettablePromise<>();
    Runnable whenGone = decide(arrived, response, trace);
    socket.served(
        () -> {
          whenGone.run();
          // No promise: a client that closed its own side only may still read this.
          response.trySet(
              HttpInterface.render(Response.of(new ApiError.OutcomeUnknown("request"))));
        });
    Promise<HttpResponse> unhurried =
        response.isComplete() ? later(response.getResult()) : response;
    return unhurried.map(
        ready -> {
          if (process.stopping()) {
            ServedConnection.endAfterResponse(http);
          }
          if (ServedConnection.hasSurplus(http)) {
            ServedConnection.endAfterResponse(http);
          }
          return ready;
        });
  }

  /** Has the request answered; what it returns is to be run if the client goes before that. */
  private Runnable decide(
      Arrived arrived, SettablePromise<HttpResponse> response, StageTimer trace) {
    Parsed<BatchCall> batchCall = format.batchCall(arrived);
    if (!batchCall.isNone()) {
      if (batchCall.fault() != null) {
        response.set(render(Response.of(batchCall.fault())));
      } else {
        answer(batchCall.value(), response);
      }
      return () -> {};
    }
    Parsed<ProxiedRequest> request = format.request(arrived);
    if (request.fault() != null) {
      response.set(render(Response.of(request.fault())));
      return () -> {};
    }
    ProxyExchange exchange = new ProxyExchange(process, response, this::render);
    boolean taken =
        process.toLogic(
            () -> {
              if (arrived.method().equals("POST") && leadsToBatches(request.value())) {
                process.toHttp(() -> submit(arrived, response, trace));
              } else {
                exchange.begin(listener -> gateway.proxy(request.value(), listener));
              }
            });
    if (!taken) {
      response.set(render(Response.of(new ApiError.Overloaded("logic"))));
    }
    return exchange::clientGone;
  }

  /** Our own responses tell when to come back as the format has it. */
  private HttpResponse render(Response response) {
    HttpResponse.Builder builder = HttpInterface.begin(response.withRetryAfterMs(0));
    if (response.retryAfterMs() > 0) {
      builder.withHeader(HttpHeaders.RETRY_AFTER, format.comeBack(response.retryAfterMs()));
    }
    return builder.build();
  }

  private boolean leadsToBatches(ProxiedRequest request) {
    RoutingConfiguration.Route route = gateway.route(request.host(), request.path());
    return route != null && route.type() == RoutingConfiguration.RouteType.BATCH;
  }

  private void submit(Arrived arrived, SettablePromise<HttpResponse> response, StageTimer trace) {
    trace.mark("receive");
    BatchSubmission submission = format.submission(arrived);
    ask(
        then -> gateway.submitProxiedBatch(submission, then),
        answer -> {
          trace.mark("logic");
          process.log(
              PART,
              "Submission served: client_id="
                  + submission.id()
                  + " bytes="
                  + submission.body().length
                  + " status="
                  + answer.status()
                  + trace
                  + ".");
          response.trySet(render(format.show(null, answer)));
        });
  }

  private void answer(BatchCall call, SettablePromise<HttpResponse> response) {
    ask(
        then -> {
          if (call instanceof BatchCall.Results results) {
            gateway.readProxiedResults(results.batch(), results.from(), results.holdMs(), then);
          } else if (call instanceof BatchCall.ItemBody item) {
            gateway.readProxiedItem(item.batch(), item.item(), then);
          } else if (call instanceof BatchCall.End end) {
            gateway.endProxiedBatch(end.batch(), then);
          }
        },
        answer ->
            response.trySet(
                answer.isSuccess() && call instanceof BatchCall.ItemBody
                    ? itemBody(answer)
                    : render(format.show(call, answer))));
  }

  private static HttpResponse itemBody(Response answer) {
    return HttpResponse.ok200()
        .withHeader(HttpHeaders.CONTENT_TYPE, "application/octet-stream")
        .withBody(Base64.getDecoder().decode(answer.body().path("body").asText()))
        .build();
  }

  /** Asks on the logic thread; the answer comes back to the http thread. */
  private void ask(Consumer<Consumer<Response>> question, Consumer<Response> then) {
    boolean taken =
        process.toLogic(() -> question.accept(answer -> process.toHttp(() -> then.accept(answer))));
    if (!taken) {
      then.accept(Response.of(new ApiError.Overloaded("logic")));
    }
  }
}
