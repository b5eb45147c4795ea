package applespindle.dataplane;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.adapters.NodeProcess;
import applespindle.adapters.StartupOptions;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchReference;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.batch.EventPart;
import applespindle.corelogic.batch.ItemBody;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.edge.EdgeGateway;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.live.ProxiedResponseListener;
import applespindle.corelogic.live.RequestHandle;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.memory.HolderAccount;
import applespindle.corelogic.memory.MemoryHolder;
import applespindle.corelogic.replication.DetachedEntry;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/** An endpoint on loopback before a logic that answers as a test says. */
final class TestProxyEndpoint {
  static final long LIMIT_S = 20;

  /** A request for this target asks for the body of an item. */
  static final String ITEM_TARGET = "/item";

  /** One request that reached the logic, which tells its listener what the test wants. */
  record Passed(
      ProxiedRequest request,
      ProxiedResponseListener listener,
      CompletableFuture<Void> cancelled) {}

  private final class Gateway implements EdgeGateway {
    @Override
    public void onConfigurationChange(Consumer<RoutingConfiguration> then) {
      bundleChanges = then;
    }

    @Override
    public RequestHandle proxy(ProxiedRequest request, ProxiedResponseListener listener) {
      CompletableFuture<Void> cancelled = new CompletableFuture<>();
      answer.accept(listener);
      passed.add(new Passed(request, listener, cancelled));
      return () -> cancelled.complete(null);
    }

    @Override
    public RoutingConfiguration.Route route(String host, String path) {
      return null;
    }

    @Override
    public void submitProxiedBatch(
        BatchSubmission submission, String apiKey, Consumer<Response> then) {
      throw new AssertionError("no batches here");
    }

    @Override
    public void readProxiedResults(
        BatchReference batch, long from, long holdMs, Consumer<Response> then) {
      throw new AssertionError("no batches here");
    }

    @Override
    public void readProxiedItem(
        BatchReference batch, String item, FetchAdmission admission, Consumer<Response> then) {
      admission.admit(
          new ItemBody.Location(LARGE_ENTRY, LARGE_PART, LARGE_ITEM_BYTES),
          () -> itemReads.add(then));
    }

    @Override
    public void endProxiedBatch(BatchReference batch, Consumer<Response> then) {
      throw new AssertionError("no batches here");
    }
  }

  /** Every item is a large one, whose fetch is admitted first. */
  private static final int LARGE_ITEM_BYTES = 4 << 20;

  private static final DetachedEntry LARGE_ENTRY =
      new DetachedEntry("batch/large", 1, new Epoch(1, "edge"), LARGE_ITEM_BYTES);
  private static final EventPart LARGE_PART =
      new EventPart(new EventPart.Section(1, 0, 1, true), 0);

  private static final RequestFormat FORMAT =
      new RequestFormat() {
        @Override
        public String retryAfter(long millis) {
          return millis + "ms";
        }

        @Override
        public Parsed<ProxiedRequest> request(Arrived arrived) {
          return new Parsed<>(
              new ProxiedRequest(
                  "r",
                  arrived.method(),
                  arrived.target(),
                  arrived.host(),
                  arrived.headers(),
                  arrived.body(),
                  0,
                  "",
                  0,
                  0,
                  List.of(),
                  ""),
              null);
        }

        @Override
        public String apiKey(Arrived arrived) {
          return "";
        }

        @Override
        public Parsed<BatchCall> batchCall(Arrived arrived) {
          return arrived.target().equals(ITEM_TARGET)
              ? new Parsed<>(new BatchCall.ItemBody("batch", "item"), null)
              : Parsed.none();
        }

        @Override
        public BatchSubmission submission(Arrived arrived) {
          return new BatchSubmission("", arrived.host(), arrived.target(), arrived.body());
        }

        @Override
        public Response show(BatchCall call, Response response) {
          return response;
        }
      };

  /** The reads of bodies of items that reached the logic. */
  final BlockingQueue<Consumer<Response>> itemReads = new LinkedBlockingQueue<>();

  final BlockingQueue<Passed> passed = new LinkedBlockingQueue<>();

  /** Called at once with each request's listener, on the logic thread. */
  volatile Consumer<ProxiedResponseListener> answer = unanswered -> {};

  final int port;
  private final NodeProcess process;
  private Consumer<RoutingConfiguration> bundleChanges;

  TestProxyEndpoint() throws IOException {
    this(Long.MAX_VALUE / 2);
  }

  /**
   * @param maxBodiesBytes the most bytes that the bodies of all requests together may have
   */
  TestProxyEndpoint(long maxBodiesBytes) throws IOException {
    ProxyEndpoint.allowHeads();
    port = freePort();
    String peer = "127.0.0.1:" + freePort();
    var startup =
        new StartupOptions(
            "edge",
            "zone",
            "edge",
            "127.0.0.1:" + port,
            peer,
            null,
            null,
            List.of(peer),
            List.of(),
            Map.of());
    process =
        new NodeProcess(
            startup,
            (environment, identity) -> new EdgeNode(environment, identity, NodeSettings.DEFAULT));
    process.start(
        started ->
            new ProxyEndpoint(started, new Gateway(), FORMAT, memory(maxBodiesBytes))
                .listen("127.0.0.1:" + port));
  }

  /** Each holder has memory of its own; that of item bodies is half of that of other bodies. */
  private static ClientMemory memory(long maxBodiesBytes) {
    return new ClientMemory(
        HolderAccount.unshared(MemoryHolder.SMALL_BODIES, maxBodiesBytes / 4),
        HolderAccount.unshared(MemoryHolder.LARGE_BODIES, maxBodiesBytes),
        HolderAccount.unshared(MemoryHolder.FORWARDED_SUBMISSIONS, maxBodiesBytes),
        HolderAccount.unshared(MemoryHolder.ITEM_BODIES, maxBodiesBytes / 2),
        HolderAccount.unshared(MemoryHolder.RESULT_PAGES, maxBodiesBytes),
        HolderAccount.unshared(MemoryHolder.RESPONSES, Long.MAX_VALUE / 2));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Puts limits in force, and waits until the logic has reported them. */
  void limit(RoutingConfiguration.ClientLimits limits) {
    CompletableFuture<Void> told = new CompletableFuture<>();
    process.toLogic(
        () -> {
          bundleChanges.accept(
              new RoutingConfiguration(1, Map.of(), List.of(), null, List.of(), limits, ""));
          told.complete(null);
        });
    told.orTimeout(LIMIT_S, TimeUnit.SECONDS).join();
  }

  /** The http thread does nothing for a while. */
  void freezeHttp(long millis) {
    process.toHttp(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis)));
  }

  void onLogic(Runnable task) {
    process.toLogic(task);
  }

  Passed nextPassed() throws InterruptedException {
    Passed next = passed.poll(LIMIT_S, TimeUnit.SECONDS);
    if (next == null) {
      throw new AssertionError("no request reached the logic");
    }
    return next;
  }

  Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout((int) LIMIT_S * 1_000);
    return socket;
  }

  static void send(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(ISO_8859_1));
  }

  static String post(String target, String headers, String body) {
    return "POST "
        + target
        + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
        + body.length()
        + "\r\n"
        + headers
        + "\r\n"
        + body;
  }

  /** All until the endpoint closes. */
  static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
  }

  /** Up to and including a text that must come. */
  static String readUntil(Socket socket, String end) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder all = new StringBuilder();
    while (all.indexOf(end) < 0) {
      int each = in.read();
      if (each < 0) {
        throw new AssertionError("closed after " + all);
      }
      all.append((char) each);
    }
    return all.toString();
  }
}
