package applespindle.adapters;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.constants.ClientConnectionConstants;
import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.constants.SizeLimits;
import applespindle.corelogic.memory.MemoryHolder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.ServedConnection;
import io.activej.net.SimpleServer;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The HTTP interface of a process: a table of paths, and the paths that every process answers. All
 * on the HTTP thread.
 */
public final class HttpInterface {
  /** An integer, quoted or not. */
  private static final Pattern REVISION =
      Pattern.compile("(?<quote>\"?)(?<revision>[0-9]{1,18})\\k<quote>");

  /** The refusal of a change whose {@link Call#revisionMatched} is empty. */
  public static final ApiError NO_REVISION_MATCHED =
      new ApiError.InvalidInput(
          List.of(
              new ApiError.Field(
                  "header " + HttpHeaders.IF_MATCH,
                  "must be the revision that this one builds on")));

  /** A request with its body, the named parts of its path, and what answers it. */
  public record Call(HttpRequest request, Map<String, String> parts, byte[] body) {
    /** The first value of a header; empty if there is none. */
    public String header(String name) {
      String value = request.getHeader(HttpHeaders.of(name));
      return value == null ? "" : value;
    }

    /** The revision that a change builds on, by its If-Match header; empty if that names none. */
    public OptionalLong revisionMatched() {
      Matcher matcher = REVISION.matcher(header(HttpHeaders.IF_MATCH.toString()).strip());
      return matcher.matches()
          ? OptionalLong.of(Long.parseLong(matcher.group("revision")))
          : OptionalLong.empty();
    }

    /** A query parameter; empty if there is none. */
    public String query(String name) {
      String value = request.getQueryParameter(name);
      return value == null ? "" : value;
    }
  }

  /** Answers the calls of one path and method. */
  public interface Handler {
    /**
     * Answers one call. Called on the HTTP thread; the promise must be completed there, and never
     * with null.
     */
    Promise<HttpResponse> handle(Call call);
  }

  private record Path(HttpMethod method, String[] segments, Handler handler) {}

  private final NodeProcess process;
  private final List<Path> paths = new ArrayList<>();

  /** The bodies of all requests that have not ended. */
  private final ByteBudget bodies;

  /**
   * A table without the paths that every process answers, for interfaces to others than operators.
   */
  public static HttpInterface bare(NodeProcess process) {
    return new HttpInterface(process, false);
  }

  /** An interface with the paths that every process has: health, metrics, status and trace log. */
  public HttpInterface(NodeProcess process) {
    this(process, true);
  }

  private HttpInterface(NodeProcess process, boolean withStatus) {
    this.process = process;
    bodies =
        new ByteBudget(
            process.httpLoop(),
            process.memory().open(MemoryHolder.INTERFACE_BODIES),
            process.memory().open(MemoryHolder.SMALL_BODIES),
            ClientConnectionConstants.MAX_BODY_WAIT_MS);
    if (withStatus) {
      addStatus();
    }
  }

  private void addStatus() {
    get(
        "/live",
        call -> Promise.of(render(Response.of(200, JSON.createObjectNode().put("live", true)))));
    get("/ready", this::answerReady);
    get("/metrics", call -> metrics());
    get("/v1/status", call -> ask(then -> then.accept(Response.of(200, process.node().status()))));
    get(
        "/v1/journal",
        call ->
            ask(
                then -> {
                  ObjectNode body =
                      JSON.createObjectNode().put("node", process.node().identity().name());
                  body.set(
                      "events",
                      JSON.valueToTree(
                          process
                              .node()
                              .traceLog()
                              .eventsFor(call.query("key"), LifecycleConstants.MAX_TRACE_EVENTS)));
                  then.accept(Response.of(200, body));
                }));
  }

  /** Answers whether the process is ready to serve. */
  public Promise<HttpResponse> answerReady(Call call) {
    return ask(then -> then.accept(ready()));
  }

  private Response ready() {
    String reason = process.diskFull() ? "the disk is full" : process.node().notReadyReason();
    return reason.isEmpty()
        ? Response.of(200, JSON.createObjectNode().put("ready", true))
        : Response.of(new ApiError.NotReady(reason));
  }

  private Promise<HttpResponse> metrics() {
    return this.<String>onLogic(this::scrape)
        .map(
            text ->
                HttpResponse.ok200()
                    .withHeader(HttpHeaders.CONTENT_TYPE, "text/plain; version=0.0.4")
                    .withBody(text.getBytes(UTF_8))
                    .build());
  }

  /** Gathers all metrics as text; called on the logic thread. */
  private void scrape(Consumer<String> whenGathered) {
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    addNodeMetrics(registry);
    process
        .peerBytesOfKind()
        .forEach(
            (kind, bytes) ->
                registry
                    .counter("applespindle.peer.sent.bytes", Tags.of("kind", kind))
                    .increment(bytes));
    process.heldBytes().forEach((name, value) -> registry.gauge("applespindle." + name, value));
    process
        .droppedFramesByReason()
        .forEach(
            (reason, frames) ->
                registry
                    .counter("applespindle.peer.dropped.frames", Tags.of("reason", reason))
                    .increment(frames));
    process.readProcessorUsage(
        usage -> {
          addProcessorMetrics(registry, usage);
          whenGathered.accept(registry.scrape());
        });
  }

  private void addNodeMetrics(PrometheusMeterRegistry registry) {
    process
        .node()
        .counters()
        .forEach(
            (name, value) ->
                registry.counter("applespindle." + name.toLowerCase()).increment(value));
    process
        .node()
        .status()
        .fields()
        .forEachRemaining(
            field -> {
              if (field.getValue().isNumber()) {
                registry.gauge(
                    "applespindle." + field.getKey(), field.getValue(), JsonNode::asDouble);
              }
            });
  }

  private static void addProcessorMetrics(
      PrometheusMeterRegistry registry, ProcessorUsage.Reading usage) {
    registry.gauge("applespindle.processor.seconds", usage.processSeconds());
    registry.gauge("applespindle.start.processor.seconds", usage.startSeconds());
    usage
        .threadSeconds()
        .forEach(
            (thread, seconds) ->
                registry.gauge(
                    "applespindle.thread.processor.seconds", Tags.of("thread", thread), seconds));
    usage
        .wakeUps()
        .forEach(
            (thread, wakeUps) ->
                registry.gauge("applespindle.wakeups", Tags.of("thread", thread), wakeUps));
  }

  /**
   * Routes GET requests for a path; a segment in braces, such as {@code {id}}, matches any text.
   */
  public void get(String path, Handler handler) {
    add(HttpMethod.GET, path, handler);
  }

  /** Routes POST requests for a path, as {@link #get}. */
  public void post(String path, Handler handler) {
    add(HttpMethod.POST, path, handler);
  }

  /** Routes PUT requests for a path, as {@link #get}. */
  public void put(String path, Handler handler) {
    add(HttpMethod.PUT, path, handler);
  }

  /** Routes PATCH requests for a path, as {@link #get}. */
  public void patch(String path, Handler handler) {
    add(HttpMethod.PATCH, path, handler);
  }

  /** Routes DELETE requests for a path, as {@link #get}. */
  public void delete(String path, Handler handler) {
    add(HttpMethod.DELETE, path, handler);
  }

  private void add(HttpMethod method, String path, Handler handler) {
    paths.add(new Path(method, path.substring(1).split("/"), handler));
  }

  /** Listens on the address of the startup options; before the threads of the process start. */
  public void listen() {
    listen(process.startup().http());
  }

  /**
   * Listens on an address; before the threads of the process start.
   *
   * @throws UncheckedIOException if the address can't be listened on
   */
  public void listen(String address) {
    try {
      server().withListenAddress(PeerTransport.socketAddress(address)).build().listen();
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
  }

  private HttpServer.Builder server() {
    return HttpServer.builder(process.httpLoop(), this::serve)
        .withHttpErrorFormatter(
            fault ->
                Promise.of(
                    render(
                        Response.of(
                            new ApiError.InternalError(fault.getClass().getSimpleName())))));
  }

  /**
   * Answers what every process answers; nothing of HTTP is loaded or made before the first caller
   * comes.
   */
  public static void listenForStatus(NodeProcess process, String address) {
    HttpServer[] server = new HttpServer[1];
    try {
      SimpleServer.builder(
              process.httpLoop(),
              socket -> {
                if (server[0] == null) {
                  server[0] = new HttpInterface(process).server().build();
                }
                ServedConnection.serve(server[0], socket, InetAddress.getLoopbackAddress());
              })
          .withListenAddress(PeerTransport.socketAddress(address))
          .build()
          .listen();
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
  }

  private Promise<HttpResponse> serve(HttpRequest request) {
    String[] segments = request.getPath().substring(1).split("/");
    TreeSet<String> allowed = new TreeSet<>();
    for (Path path : paths) {
      Map<String, String> parts = match(path.segments(), segments);
      if (parts == null) {
        continue;
      }
      if (path.method() == request.getMethod()) {
        return load(request, body -> path.handler().handle(new Call(request, parts, body)));
      }
      allowed.add(path.method().name());
    }
    if (allowed.isEmpty()) {
      return Promise.of(render(Response.of(new ApiError.NoSuchPath(request.getPath()))));
    }
    return Promise.of(
        begin(Response.of(new ApiError.MethodNotAllowed(request.getMethod().name())))
            .withHeader(HttpHeaders.ALLOW, String.join(", ", allowed))
            .build());
  }

  private interface WithBody {
    Promise<HttpResponse> handle(byte[] body);
  }

  private Promise<HttpResponse> load(HttpRequest request, WithBody handler) {
    String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    if (length != null
        && (length.length() > 9 || Long.parseLong(length) > SizeLimits.MAX_BODY_BYTES)) {
      return Promise.of(tooLarge());
    }
    boolean chunked = request.getHeader(HttpHeaders.TRANSFER_ENCODING) != null;
    int unstated = chunked ? SizeLimits.MAX_BODY_BYTES : 0;
    SettablePromise<HttpResponse> response = new SettablePromise<>();
    bodies.reserve(
        length == null ? unstated : Integer.parseInt(length),
        reservation ->
            request
                .loadBody(SizeLimits.MAX_BODY_BYTES)
                .then(body -> handler.handle(body.getArray()), fault -> Promise.of(tooLarge()))
                .whenComplete(reservation::release)
                .subscribe(response),
        () -> response.set(render(Response.of(new ApiError.Overloaded("bodies")))));
    return response;
  }

  private static HttpResponse tooLarge() {
    return render(Response.of(new ApiError.InputTooLarge(SizeLimits.MAX_BODY_BYTES)));
  }

  private static Map<String, String> match(String[] pattern, String[] segments) {
    if (pattern.length != segments.length) {
      return null;
    }
    Map<String, String> parts = new java.util.HashMap<>();
    for (int index = 0; index < pattern.length; index++) {
      if (pattern[index].startsWith("{")) {
        parts.put(pattern[index].substring(1, pattern[index].length() - 1), segments[index]);
      } else if (!pattern[index].equals(segments[index])) {
        return null;
      }
    }
    return parts;
  }

  /** Runs on the logic thread and comes back to the HTTP thread with what the logic answers. */
  public Promise<HttpResponse> ask(Consumer<Consumer<Response>> question) {
    return this.<Response>onLogic(question)
        .map(HttpInterface::render, fault -> render(Response.of(new ApiError.Overloaded("logic"))));
  }

  private <T> Promise<T> onLogic(Consumer<Consumer<T>> question) {
    SettablePromise<T> promise = new SettablePromise<>();
    boolean taken =
        process.toLogic(
            () -> question.accept(answer -> process.toHttp(() -> promise.trySet(answer))));
    if (!taken) {
      promise.setException(new IOException("logic ring full"));
    }
    return promise;
  }

  /** Parses an address of the form host:port, where the host is an IP number. */
  public static InetSocketAddress socketAddress(String address) {
    return PeerTransport.socketAddress(address);
  }

  /** A response with an error, complete at once. */
  public static Promise<HttpResponse> refuse(ApiError error) {
    return Promise.of(render(Response.of(error)));
  }

  /** A response as JSON. */
  public static HttpResponse render(Response response) {
    return begin(response).build();
  }

  /** A response as JSON, to which headers may be added. */
  public static HttpResponse.Builder begin(Response response) {
    HttpResponse.Builder builder =
        HttpResponse.ofCode(response.status())
            .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
            .withBody(ByteBuf.wrapForReading(response.encodedBody()));
    if (response.retryAfterSeconds() > 0) {
      builder.withHeader(HttpHeaders.RETRY_AFTER, Integer.toString(response.retryAfterSeconds()));
    }
    return builder;
  }

  /** All headers of a request by name in lower case. */
  public static Map<String, String> headers(HttpRequest request) {
    Map<String, String> headers = new java.util.HashMap<>();
    for (Map.Entry<HttpHeader, io.activej.http.HttpHeaderValue> each : request.getHeaders()) {
      headers.put(each.getKey().toString().toLowerCase(), each.getValue().toString());
    }
    return headers;
  }
}
