package applespindle.dataplane;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against clients that send large bodies at once ending an edge: each body was bounded by
 * the limits in force, the sum of all was not.
 */
final class BodiesAtOnceTest {
  private static final int BODY_BYTES = 400_000;
  private static final int LIMIT_BYTES = 1_000_000;
  private static final int FITTING = LIMIT_BYTES / BODY_BYTES;
  private static final int CLIENTS = 8;
  private static final long MAX_REFUSAL_MS = 3_000;
  private static final String SMALL_BODY = "small";

  private TestProxyEndpoint endpoint;

  @BeforeEach
  void open() throws IOException {
    endpoint = new TestProxyEndpoint(LIMIT_BYTES);
  }

  private static String withLength(int bytes) {
    return TestProxyEndpoint.post("/large", "", "x".repeat(bytes));
  }

  private static String inChunks(int bytes) {
    String chunk = "x".repeat(8_000);
    StringBuilder request =
        new StringBuilder("POST /large HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int sent = 0; sent < bytes; sent += chunk.length()) {
      request.append(Integer.toHexString(chunk.length())).append("\r\n").append(chunk);
      request.append("\r\n");
    }
    return request.append("0\r\n\r\n").toString();
  }

  /** Sends a request on a connection of its own and gets the head of the response. */
  private CompletableFuture<String> call(String request) {
    return CompletableFuture.supplyAsync(
        () -> {
          try (Socket socket = endpoint.connect()) {
            TestProxyEndpoint.send(socket, request);
            return TestProxyEndpoint.readUntil(socket, "\r\n\r\n");
          } catch (IOException fault) {
            throw new UncheckedIOException(fault);
          }
        },
        task -> new Thread(task, "client").start());
  }

  private List<CompletableFuture<String>> callAtOnce(String request) {
    List<CompletableFuture<String>> calls = new ArrayList<>();
    for (int client = 0; client < CLIENTS; client++) {
      calls.add(call(request));
    }
    return calls;
  }

  private void respond(TestProxyEndpoint.Passed passed) {
    endpoint.onLogic(
        () -> {
          passed.listener().head(new ResponseHead(200, List.of()));
          passed.listener().end();
        });
  }

  private void respondUntilAnswered(List<CompletableFuture<String>> calls) throws Exception {
    while (!calls.stream().allMatch(CompletableFuture::isDone)) {
      TestProxyEndpoint.Passed next = endpoint.passed.poll(10, TimeUnit.MILLISECONDS);
      if (next != null) {
        assertThat(next.request().body()).hasLength(BODY_BYTES);
        respond(next);
      }
    }
  }

  private void assertRestIsRefusedInTime(List<CompletableFuture<String>> calls) throws Exception {
    long refusalsDueAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_REFUSAL_MS);
    int refused = 0;
    while (refused < CLIENTS - FITTING && System.nanoTime() < refusalsDueAt) {
      Thread.sleep(10);
      refused = (int) calls.stream().filter(CompletableFuture::isDone).count();
    }
    assertWithMessage("requests whose bodies are held")
        .that(endpoint.passed.size())
        .isAtMost(FITTING);
    assertWithMessage("refused in time").that(refused).isEqualTo(CLIENTS - FITTING);
    for (CompletableFuture<String> call : calls) {
      if (call.isDone()) {
        assertThat(call.get()).startsWith("HTTP/1.1 503");
        assertThat(call.get().toLowerCase()).contains("retry-after: 500ms");
      }
    }
  }

  @Test
  void bodiesAtOnceStayWithinTheLimit() throws Exception {
    List<CompletableFuture<String>> calls = callAtOnce(withLength(BODY_BYTES));
    assertRestIsRefusedInTime(calls);
    respond(endpoint.nextPassed());
    respond(endpoint.nextPassed());
    for (CompletableFuture<String> call : calls) {
      call.get(TestProxyEndpoint.LIMIT_S, TimeUnit.SECONDS);
    }
    CompletableFuture<String> next = call(withLength(BODY_BYTES));
    respond(endpoint.nextPassed());
    assertThat(next.get(TestProxyEndpoint.LIMIT_S, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
  }

  @Test
  void aWaitingBodyIsReadWhenAnotherRequestHasEnded() throws Exception {
    List<CompletableFuture<String>> calls = callAtOnce(withLength(BODY_BYTES));
    for (int served = 0; served < CLIENTS; served++) {
      TestProxyEndpoint.Passed next = endpoint.nextPassed();
      assertThat(next.request().body()).hasLength(BODY_BYTES);
      respond(next);
    }
    for (CompletableFuture<String> call : calls) {
      assertThat(call.get(TestProxyEndpoint.LIMIT_S, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
    }
  }

  /** Of a body in chunks the length is not known: only a small part is read before it has room. */
  @Test
  void bodiesInChunksFindTheirRoomOrAreRefused() throws Exception {
    List<CompletableFuture<String>> calls = callAtOnce(inChunks(BODY_BYTES));
    respondUntilAnswered(calls);
    for (CompletableFuture<String> call : calls) {
      assertThat(call.get().substring(9, 12)).isAnyOf("200", "503");
    }
  }

  @Test
  void smallRequestsDoNotWaitBehindLargeOnes() throws Exception {
    List<CompletableFuture<String>> calls = callAtOnce(withLength(BODY_BYTES));
    List<TestProxyEndpoint.Passed> held = new ArrayList<>();
    for (int passed = 0; passed < FITTING; passed++) {
      held.add(endpoint.nextPassed());
    }
    CompletableFuture<String> small = call(TestProxyEndpoint.post("/s", "", SMALL_BODY));
    TestProxyEndpoint.Passed next = endpoint.nextPassed();
    assertThat(next.request().body()).hasLength(SMALL_BODY.length());
    respond(next);
    assertThat(small.get(TestProxyEndpoint.LIMIT_S, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
    held.forEach(this::respond);
    respondUntilAnswered(calls);
  }

  /** Guards against a few slow senders holding the room of all for as long as the idle limit. */
  @Test
  void aSlowSenderLosesItsRoomToThoseThatWaitForIt() throws Exception {
    List<Socket> slow = new ArrayList<>();
    for (int client = 0; client < FITTING; client++) {
      Socket socket = endpoint.connect();
      slow.add(socket);
      TestProxyEndpoint.send(socket, withLength(BODY_BYTES).substring(0, 1_000));
    }
    long endsAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(TestProxyEndpoint.LIMIT_S);
    TestProxyEndpoint.Passed served = null;
    while (served == null && System.nanoTime() < endsAt) {
      call(withLength(BODY_BYTES));
      served = endpoint.passed.poll(100, TimeUnit.MILLISECONDS);
    }
    assertWithMessage("a request that found room beside slow senders").that(served).isNotNull();
    assertThat(answerToOneOf(slow)).startsWith("HTTP/1.1 503");
  }

  /** The head of the first response to senders that send on a little. */
  private static String answerToOneOf(List<Socket> slow) throws Exception {
    for (Socket socket : slow) {
      TestProxyEndpoint.send(socket, "x");
    }
    long endsAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(TestProxyEndpoint.LIMIT_S);
    while (System.nanoTime() < endsAt) {
      for (Socket socket : slow) {
        if (socket.getInputStream().available() > 0) {
          return TestProxyEndpoint.readUntil(socket, "\r\n\r\n");
        }
      }
      Thread.sleep(10);
    }
    return "";
  }

  @Test
  void clientsThatLeaveGiveTheirRoomBack() throws Exception {
    for (int client = 0; client < 3 * FITTING; client++) {
      try (Socket socket = endpoint.connect()) {
        TestProxyEndpoint.send(socket, withLength(BODY_BYTES));
        assertThat(endpoint.nextPassed().request().body()).hasLength(BODY_BYTES);
      }
    }
  }
}
