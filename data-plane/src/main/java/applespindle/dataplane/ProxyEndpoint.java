package applespindle.dataplane;

import applespindle.adapters.ByteBudget;
import applespindle.adapters.HttpInterface;
import applespindle.adapters.NodeProcess;
import applespindle.adapters.QueuedBytes;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchReference;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.batch.ItemBody;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.ClientConnectionConstants;
import applespindle.corelogic.edge.EdgeGateway;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.StageTimer;
import applespindle.dataplane.RequestFormat.Arrived;
import applespindle.dataplane.RequestFormat.BatchCall;
import applespindle.dataplane.RequestFormat.Parsed;
import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.csp.supplier.ChannelSupplier;
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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The HTTP endpoint for clients of proxied requests. A request is read completely within the limits
 * in force before it is passed to the logic; what is refused here was never passed on. All on the
 * HTTP thread, except the questions to the logic.
 */
public final class ProxyEndpoint {
  /** The library's own limit for idle connections; {@link ClientConnection} enforces the limits. */
  private static final Duration LIBRARY_IDLE_TIMEOUT = Duration.ofDays(1);

  /** The name of this part in the log; the operators' manual documents it. */
  private static final String LOG_PREFIX = "door";

  private final NodeProcess process;
  private final EdgeGateway gateway;
  private final RequestFormat format;

  /** As the configuration in force has them; null before the first. */
  private volatile RoutingConfiguration.ClientLimits configuredLimits;

  private final EffectiveClientLimits limits = new EffectiveClientLimits(() -> configuredLimits);

  /** The open connections; on the HTTP thread only. */
  private final Set<ClientConnection> connections = new HashSet<>();

  /** The connection that the library is taking over at present. */
  private ClientConnection accepted;

  /** The bodies of all requests that have not ended. */
  private final ByteBudget bodies;

  /** What clients have not read yet of the responses to them. */
  private final QueuedBytes queuedResponses;

  /** The bodies of items that clients have asked for and not read yet. */
  private final ByteBudget itemBodies;

  /** The pages of results that clients have not read yet. */
  private final ByteBudget resultPages;

  /** The submissions of batches that are not answered, in the form that is sent on. */
  private final ByteBudget submissions;

  /** An endpoint that does not listen yet. */
  public ProxyEndpoint(NodeProcess process, EdgeGateway gateway, RequestFormat format) {
    this(process, gateway, format, ClientMemory.of(process.memory()));
  }

  /** An endpoint that does not listen yet, with other accounts than those of its process. */
  ProxyEndpoint(
      NodeProcess process, EdgeGateway gateway, RequestFormat format, ClientMemory memory) {
    this.process = process;
    this.gateway = gateway;
    this.format = format;
    queuedResponses = new QueuedBytes(memory.responses());
    bodies =
        new ByteBudget(
            process.httpLoop(),
            memory.largeBodies(),
            memory.smallBodies(),
            ClientConnectionConstants.MAX_BODY_WAIT_MS);
    itemBodies =
        new ByteBudget(
            process.httpLoop(), memory.itemBodies(), ClientConnectionConstants.MAX_BODY_WAIT_MS);
    resultPages =
        new ByteBudget(
            process.httpLoop(), memory.resultPages(), ClientConnectionConstants.MAX_BODY_WAIT_MS);
    submissions =
        new ByteBudget(
            process.httpLoop(),
            memory.submissions(),
            ClientConnectionConstants.MAX_SUBMISSION_WAIT_MS);
  }

  /**
   * Lets single header lines be as long as a complete head may. To be called before any class of
   * the HTTP library is loaded.
   */
  public static void allowHeads() {
    System.setProperty(
        "HttpMessage.maxHeaderLineSize", Integer.toString(EffectiveClientLimits.MAX_HEAD_BYTES));
    System.setProperty("IWebSocket.enabled", "false");
  }

  /**
   * Opens the endpoint; before the threads of the process start.
   *
   * @param address host and port, where the host is an IP number
   * @throws UncheckedIOException if the address can't be listened on
   */
  public void listen(String address) {
    gateway.onConfigurationChange(
        configuration -> {
          configuredLimits = configuration.clients();
          process.toHttp(() -> List.copyOf(connections).forEach(ClientConnection::limitsChanged));
        });
    HttpServer server =
        HttpServer.builder(process.httpLoop(), this::serve)
            .withKeepAliveTimeout(LIBRARY_IDLE_TIMEOUT)
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
    ClientConnection[] connection = new ClientConnection[1];
    connection[0] =
        new ClientConnection(
            socket,
            process.httpLoop(),
            () -> configuredLimits,
            () -> connections.remove(connection[0]));
    accepted = connection[0];
    connections.add(accepted);
    ServedConnection.serve(server, accepted, InetAddress.getLoopbackAddress());
  }

  /** Attaches each connection of the library to the one below it, while that is accepted. */
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

  /** Refuses a request and ends its connection; a body that is still coming is read and dropped. */
  private Promise<HttpResponse> refuseUnread(HttpRequest request, ApiError error) {
    return refuseUnread(request, request.takeBodyStream(), Response.of(error));
  }

  private Promise<HttpResponse> refuseUnread(
      HttpRequest request, ChannelSupplier<ByteBuf> body, Response refusal) {
    body.streamTo(ChannelConsumers.recycling());
    socket(request).closeAfterWrite();
    return respondLater(begin(refusal).withHeader(HttpHeaders.CONNECTION, "close").build());
  }

  /** The refusal of a request whose body could not be read. */
  private static Response refusalOf(Exception fault, int maxBodyBytes) {
    return fault instanceof BodyReader.NoRoomException
        ? Response.ofRetryAfterMs(
            new ApiError.Overloaded("bodies"), ClientConnectionConstants.BODY_RETRY_MS)
        : Response.of(new ApiError.InputTooLarge(maxBodyBytes));
  }

  /**
   * Responds in a task of its own: the library reads on behind a request that is answered while it
   * is being read.
   */
  private Promise<HttpResponse> respondLater(HttpResponse response) {
    SettablePromise<HttpResponse> promise = new SettablePromise<>();
    process.httpLoop().post(() -> promise.set(response));
    return promise;
  }

  private Promise<HttpResponse> serve(HttpRequest request) {
    ClientConnection socket = socket(request);
    boolean chunked = request.getHeader(HttpHeaders.TRANSFER_ENCODING) != null;
    boolean bodyValid = socket.bodyBegins(chunked);
    ApiError error = RequestHeaders.fault(request, limits.maxHeadBytes());
    if (error == null && !bodyValid) {
      error = RequestHeaders.invalid("body", "must come in sound chunks");
    }
    int maxBodyBytes = limits.maxBodyBytes();
    String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    if (error == null && length != null && Long.parseLong(length) > maxBodyBytes) {
      error = new ApiError.InputTooLarge(maxBodyBytes);
    }
    if (error != null) {
      return refuseUnread(request, error);
    }
    String target = request.getPathAndQuery();
    String host = request.getHeader(HttpHeaders.HOST);
    List<ProxiedRequest.Header> headers = RequestHeaders.endToEnd(request);
    String method = request.getMethod().name();
    StageTimer trace = new StageTimer(process);
    ChannelSupplier<ByteBuf> stream = request.takeBodyStream();
    int unstated = chunked ? BodyReader.UNKNOWN_LENGTH : 0;
    int bodyLength = length == null ? unstated : Integer.parseInt(length);
    return BodyReader.read(process.httpLoop(), bodies, stream, bodyLength, maxBodyBytes)
        .then(
            body -> {
              trace.mark("body");
              Arrived arrived = new Arrived(method, target, host, headers, body.bytes());
              return answer(request, socket, arrived, body.reservation(), trace);
            },
            unreadable -> refuseUnread(request, stream, refusalOf(unreadable, maxBodyBytes)));
  }

  private Promise<HttpResponse> answer(
      HttpRequest http,
      ClientConnection socket,
      Arrived arrived,
      ByteBudget.Reservation reservation,
      StageTimer trace) {
    SettablePromise<HttpResponse> response = new SettablePromise<>();
    Runnable whenGone = dispatch(arrived, reservation, response, trace);
    socket.served(
        () -> {
          whenGone.run();
          // Not a promise: a client that closed its own side only may still read this.
          response.trySet(
              HttpInterface.render(Response.of(new ApiError.OutcomeUnknown("request"))));
        });
    Promise<HttpResponse> served =
        response.isComplete() ? respondLater(response.getResult()) : response;
    return served.map(
        ready -> {
          if (process.stopping() || ServedConnection.hasSurplus(http)) {
            ServedConnection.endAfterResponse(http);
          }
          return ready;
        });
  }

  /** Passes the request on; what it returns is to be run if the client goes before the response. */
  private Runnable dispatch(
      Arrived arrived,
      ByteBudget.Reservation reservation,
      SettablePromise<HttpResponse> response,
      StageTimer trace) {
    Parsed<BatchCall> batchCall = format.batchCall(arrived);
    if (!batchCall.isNone()) {
      reservation.release();
      if (batchCall.fault() != null) {
        response.set(render(Response.of(batchCall.fault())));
      } else {
        answer(batchCall.value(), arrived, response);
      }
      return () -> {};
    }
    Parsed<ProxiedRequest> request = format.request(arrived);
    if (request.fault() != null) {
      reservation.release();
      response.set(render(Response.of(request.fault())));
      return () -> {};
    }
    ProxyExchange exchange =
        new ProxyExchange(process, response, this::render, queuedResponses, reservation::release);
    boolean taken =
        process.toLogic(
            () -> {
              if (arrived.method().equals("POST") && isRoutedToBatches(request.value())) {
                process.toHttp(
                    () ->
                        submitInTurn(
                            arrived, request.value().apiKey(), reservation, response, trace));
              } else {
                exchange.begin(listener -> gateway.proxy(request.value(), listener));
              }
            });
    if (!taken) {
      reservation.release();
      response.set(render(Response.of(new ApiError.Overloaded("logic"))));
    }
    return exchange::clientGone;
  }

  /** Renders a response of the edge itself; the format decides how the time to retry is written. */
  private HttpResponse render(Response response) {
    return begin(response).build();
  }

  private HttpResponse.Builder begin(Response response) {
    HttpResponse.Builder builder = HttpInterface.begin(response.withRetryAfterMs(0));
    if (response.retryAfterMs() > 0) {
      builder.withHeader(HttpHeaders.RETRY_AFTER, format.retryAfter(response.retryAfterMs()));
    }
    return builder;
  }

  private boolean isRoutedToBatches(ProxiedRequest request) {
    RoutingConfiguration.Route route = gateway.route(request.host(), request.path());
    return route != null && route.type() == RoutingConfiguration.RouteType.BATCH;
  }

  /** Submits a batch once those before it leave room. */
  private void submitInTurn(
      Arrived arrived,
      String apiKey,
      ByteBudget.Reservation body,
      SettablePromise<HttpResponse> response,
      StageTimer trace) {
    response.whenComplete((answer, fault) -> body.release());
    submissions.reserve(
        arrived.body().length,
        turn -> {
          response.whenComplete((answer, fault) -> turn.release());
          submit(arrived, apiKey, response, trace);
        },
        () -> refuse(response, "submissions"));
  }

  private void submit(
      Arrived arrived, String apiKey, SettablePromise<HttpResponse> response, StageTimer trace) {
    trace.mark("route");
    BatchSubmission submission = format.submission(arrived);
    ask(
        then -> gateway.submitProxiedBatch(submission, apiKey, then),
        answer -> {
          trace.mark("logic");
          process.log(
              LOG_PREFIX,
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

  private void answer(BatchCall call, Arrived arrived, SettablePromise<HttpResponse> response) {
    var batch = new BatchReference(call.batch(), arrived.host(), format.apiKey(arrived));
    if (call instanceof BatchCall.ItemBody item) {
      answerWithItemBody(batch, item, response);
      return;
    }
    ask(
        then -> {
          if (call instanceof BatchCall.Results results) {
            gateway.readProxiedResults(batch, results.from(), results.holdMs(), then);
          } else if (call instanceof BatchCall.End) {
            gateway.endProxiedBatch(batch, then);
          }
        },
        answer -> answerWithPage(format.show(call, answer), response));
  }

  /**
   * Answers with a page of results, which the client may read slowly. One that finds no room is
   * dropped: the client asks for it again.
   */
  private void answerWithPage(Response page, SettablePromise<HttpResponse> response) {
    byte[] bytes = page.encodedBody();
    if (response.isComplete()
        || !page.isSuccess()
        || bytes.length < ClientConnectionConstants.COUNTED_RESPONSE_BYTES) {
      response.trySet(render(page));
      return;
    }
    ByteBudget.Reservation reservation = resultPages.reserveNow(bytes.length);
    if (reservation == null) {
      refuse(response, "pages of results");
    } else {
      response.set(
          reserved(
              HttpResponse.ofCode(page.status())
                  .withHeader(HttpHeaders.CONTENT_TYPE, "application/json"),
              new ItemBody(bytes, 0),
              reservation));
    }
  }

  /**
   * Asks the leader once there is room for a small body; a large one, whose size is known then, is
   * fetched once there is room for it.
   */
  private void answerWithItemBody(
      BatchReference batch, BatchCall.ItemBody call, SettablePromise<HttpResponse> response) {
    itemBodies.reserve(
        ClientConnectionConstants.SMALL_ITEM_BYTES,
        reservation ->
            ask(
                then ->
                    gateway.readProxiedItem(
                        batch,
                        call.item(),
                        (location, fetch) ->
                            process.toHttp(
                                () -> admitFetch(location, fetch, reservation, response)),
                        then),
                answer -> {
                  if (answer.isSuccess() && !response.isComplete()) {
                    response.set(itemBody(ItemBody.of(answer), reservation));
                  } else {
                    reservation.release();
                    response.trySet(render(format.show(call, answer)));
                  }
                }),
        () -> refuse(response, "bodies of items"));
  }

  private void admitFetch(
      ItemBody.Location location,
      Runnable fetch,
      ByteBudget.Reservation reservation,
      SettablePromise<HttpResponse> response) {
    itemBodies.reserve(
        location.fetchBytes(limits.maxBodyBytes()),
        more -> {
          reservation.absorb(more);
          if (response.isComplete() || !process.toLogic(fetch)) {
            reservation.release();
            refuse(response, "bodies of items");
          }
        },
        () -> {
          reservation.release();
          refuse(response, "bodies of items");
        });
  }

  private void refuse(SettablePromise<HttpResponse> response, String what) {
    response.trySet(
        render(
            Response.ofRetryAfterMs(
                new ApiError.Overloaded(what), ClientConnectionConstants.BODY_RETRY_MS)));
  }

  private static HttpResponse itemBody(ItemBody body, ByteBudget.Reservation reservation) {
    reservation.shrinkTo(body.length());
    reservation.growTo(body.length());
    return reserved(
        HttpResponse.ok200().withHeader(HttpHeaders.CONTENT_TYPE, "application/octet-stream"),
        body,
        reservation);
  }

  private static HttpResponse reserved(
      HttpResponse.Builder builder, ItemBody body, ByteBudget.Reservation reservation) {
    return builder
        .withHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length()))
        .withBodyStream(new ReservedBody(body, reservation))
        .build();
  }

  /** Asks on the logic thread; the answer comes back to the HTTP thread. */
  private void ask(Consumer<Consumer<Response>> question, Consumer<Response> then) {
    boolean taken =
        process.toLogic(() -> question.accept(answer -> process.toHttp(() -> then.accept(answer))));
    if (!taken) {
      then.accept(Response.of(new ApiError.Overloaded("logic")));
    }
  }
}
