package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.adapters.WorkerProtocol.Attribution;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/** Workers on real sockets that answer with valid and corrupted bytes, split in any way. */
final class WorkerHttpClientFuzzTest {
  private static final long LIMIT_S = 20;
  private static final String ID = "1";

  private static final WorkerProtocol FORMAT =
      new WorkerProtocol() {
        @Override
        public List<Header> requestHeaders(WorkerExchange exchange) {
          return List.of(new Header("Host", exchange.request().host()));
        }

        @Override
        public Attribution attribute(WorkerExchange exchange, UnaryOperator<String> headers) {
          String id = headers.apply("X-Id");
          if (id == null
              && headers.apply("X-Stamp") == null
              && headers.apply("X-Not-Run") != null) {
            return Attribution.UNNAMED_REFUSAL;
          }
          return exchange.request().id().equals(id)
              ? Attribution.THIS_REQUEST
              : Attribution.ANOTHER_REQUEST;
        }

        @Override
        public boolean saysNotRun(int status, UnaryOperator<String> headers) {
          return status == 421 || status >= 400 && headers.apply("X-Not-Run") != null;
        }

        @Override
        public boolean isComplete(int status, UnaryOperator<String> headers) {
          return headers.apply("X-Stamp") != null;
        }

        @Override
        public WorkerLoad load(UnaryOperator<String> headers) {
          return null;
        }
      };

  /** Records how an exchange ended, and what it had reported by then. */
  private static final class EndRecorder implements ExchangeListener {
    final CompletableFuture<String> end = new CompletableFuture<>();
    final StringBuilder body = new StringBuilder();
    int status;

    @Override
    public void head(ResponseHead head) {
      status = head.status();
    }

    @Override
    public void chunk(ResponseChunk chunk) {
      body.append(new String(chunk.bytes(), ISO_8859_1));
    }

    @Override
    public void end() {
      assertThat(end.complete("whole")).isTrue();
    }

    @Override
    public void load(WorkerLoad load) {}

    @Override
    public void fail(ApiError error, boolean mayHaveRun) {
      assertThat(end.complete(mayHaveRun ? "uncertain" : "not run")).isTrue();
    }

    String await() {
      return end.orTimeout(LIMIT_S, TimeUnit.SECONDS).join();
    }
  }

  private static Eventloop eventloop;
  private static WorkerHttpClient client;
  private static ServerSocket worker;

  @BeforeContainer
  static void start() throws IOException {
    eventloop = Eventloop.create();
    eventloop.keepAlive(true);
    client = new WorkerHttpClient(eventloop, FORMAT, Runnable::run);
    worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    worker.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LIMIT_S));
    Thread loop = new Thread(eventloop, "loop");
    loop.setDaemon(true);
    loop.start();
  }

  @AfterContainer
  static void stop() throws IOException {
    eventloop.keepAlive(false);
    eventloop.execute(eventloop::breakEventloop);
    worker.close();
  }

  private static EndRecorder send() {
    ProxiedRequest request =
        new ProxiedRequest(
            ID, "GET", "/a", "h", List.of(), new byte[0], 1_000, "", 0, 0, List.of(), "");
    String address = "127.0.0.1:" + worker.getLocalPort();
    EndRecorder recorder = new EndRecorder();
    eventloop.execute(
        client.prepare(new WorkerExchange(address, "w", request, 0, 1_000, ""), recorder)::start);
    return recorder;
  }

  private static void answer(List<String> parts) throws IOException {
    try (Socket socket = worker.accept()) {
      socket.setTcpNoDelay(true);
      readHead(socket);
      for (String part : parts) {
        socket.getOutputStream().write(part.getBytes(ISO_8859_1));
      }
      socket.shutdownOutput();
      socket.getInputStream().readAllBytes();
    } catch (IOException reset) {
      // The client has seen enough and left the connection with bytes unread.
    }
  }

  private static void readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        throw new IOException("no request");
      }
      head.append((char) next);
    }
  }

  @Provide
  Arbitrary<String> texts() {
    return ResponseTexts.texts();
  }

  @Provide
  Arbitrary<List<Integer>> splits() {
    return ResponseTexts.splits();
  }

  /**
   * The exchange ends exactly once, completely only by a complete response of its own, and the loop
   * lives.
   */
  @Property(seed = "4")
  void onlyACompleteResponseOfItsOwnEndsCompletely(
      @ForAll("texts") String text, @ForAll("splits") List<Integer> places) throws IOException {
    EndRecorder recorder = send();
    answer(SpoiledTexts.split(text, places));
    String end = recorder.await();
    Optional<ReferenceResponse> reference = ReferenceResponse.parse(text);
    if (end.equals("whole")) {
      assertWithMessage("a complete response by the second reading").that(reference).isPresent();
      assertThat(reference.get().header("x-id")).isEqualTo(ID);
      assertThat(recorder.status).isEqualTo(reference.get().status());
      assertThat(recorder.body.toString()).isEqualTo(reference.get().body());
      if (recorder.status < 300) {
        assertThat(reference.get().head()).containsMatch("(?i)\r\nx-stamp:");
      }
    } else if (end.equals("not run")) {
      // A refusal is taken from its head: its body says nothing more.
      assertThat(text).containsMatch("(?i)(HTTP/1.[01] 421|\r\nx-not-run:)");
    }
    EndRecorder next = send();
    answer(List.of("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok"));
    assertThat(next.await()).isEqualTo("whole");
    assertThat(next.body.toString()).isEqualTo("ok");
  }
}
