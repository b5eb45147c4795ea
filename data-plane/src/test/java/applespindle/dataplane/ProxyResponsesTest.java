package applespindle.dataplane;

import static applespindle.dataplane.TestProxyEndpoint.post;
import static applespindle.dataplane.TestProxyEndpoint.readAll;
import static applespindle.dataplane.TestProxyEndpoint.readUntil;
import static applespindle.dataplane.TestProxyEndpoint.send;
import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RoutingConfiguration.ClientLimits;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.live.ProxiedResponseListener;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What goes through the endpoint both ways, by raw bytes, and the limits it keeps to. */
final class ProxyResponsesTest {
  private static final ClientLimits WIDE = new ClientLimits(16_384, 1 << 20, 60_000, 60_000);
  private static final ResponseHead STREAM =
      new ResponseHead(200, List.of(new Header("Content-Type", "text/event-stream")));
  private static TestProxyEndpoint endpoint;

  @BeforeAll
  static void open() throws IOException {
    endpoint = new TestProxyEndpoint();
  }

  @BeforeEach
  void forget() {
    endpoint.passed.clear();
    endpoint.answer = unanswered -> {};
    endpoint.limit(WIDE);
  }

  private static ResponseChunk chunk(String text) {
    return new ResponseChunk("", text.getBytes(ISO_8859_1));
  }

  private static void respondCompletely(ProxiedResponseListener listener) {
    listener.head(new ResponseHead(200, List.of(new Header("X-Stamp", "s"))));
    listener.chunk(chunk("a body "));
    listener.chunk(chunk("in two"));
    listener.end();
  }

  // ---- requests

  @Test
  void aPackedBodyIsPassedOnByItsExactBytes() throws Exception {
    ByteArrayOutputStream packed = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(packed)) {
      gzip.write("some words, some words".getBytes(ISO_8859_1));
    }
    endpoint.answer = ProxyResponsesTest::respondCompletely;
    String body = packed.toString(ISO_8859_1);
    String chunked =
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\ncontent-encoding:GZIP\r\n\r\n"
            + Integer.toHexString(body.length())
            + "\r\n"
            + body
            + "\r\n0\r\n\r\n";
    try (Socket socket = endpoint.connect()) {
      send(socket, post("/x", "Content-Encoding: gzip\r\nX-Last: 1\r\n", body));
      readUntil(socket, "in two");
      send(socket, chunked);
      readUntil(socket, "in two");
    }
    ProxiedRequest first = endpoint.nextPassed().request();
    assertThat(first.body()).isEqualTo(packed.toByteArray());
    assertThat(first.headers())
        .containsAtLeast(new Header("Content-Encoding", "gzip"), new Header("X-Last", "1"));
    ProxiedRequest second = endpoint.nextPassed().request();
    assertThat(second.body()).isEqualTo(packed.toByteArray());
    assertThat(second.headers()).contains(new Header("content-encoding", "GZIP"));
  }

  @Test
  void aHeadMayComeByteByByte() throws Exception {
    endpoint.answer = ProxyResponsesTest::respondCompletely;
    try (Socket socket = endpoint.connect()) {
      socket.setTcpNoDelay(true);
      for (char each : post("/slow", "Content-Encoding: gzip\r\n", "abc").toCharArray()) {
        socket.getOutputStream().write(each);
      }
      readUntil(socket, "in two");
    }
    ProxiedRequest request = endpoint.nextPassed().request();
    assertThat(request.target()).isEqualTo("/slow");
    assertThat(request.headers()).contains(new Header("Content-Encoding", "gzip"));
    assertThat(request.body()).isEqualTo("abc".getBytes(ISO_8859_1));
  }

  @Test
  void controlCharactersInAHeadAreRefused() throws Exception {
    try (Socket socket = endpoint.connect()) {
      send(socket, post("/x", "content\u0001encoding: gzip\r\n", "abc"));
      assertThat(readAll(socket)).startsWith("HTTP/1.1 400");
    }
    assertThat(endpoint.passed).isEmpty();
  }

  @Test
  void aRequestThatComesEarlyWaitsForItsTurn() throws Exception {
    try (Socket socket = endpoint.connect()) {
      send(socket, post("/first", "", "abc"));
      TestProxyEndpoint.Passed first = endpoint.nextPassed();
      send(socket, post("/second", "", "abc"));
      endpoint.onLogic(() -> respondCompletely(first.listener()));
      assertThat(readUntil(socket, "in two")).startsWith("HTTP/1.1 200");
      TestProxyEndpoint.Passed second = endpoint.nextPassed();
      assertThat(second.request().target()).isEqualTo("/second");
      endpoint.onLogic(() -> respondCompletely(second.listener()));
      assertThat(readUntil(socket, "in two")).startsWith("HTTP/1.1 200");
    }
  }

  @Test
  void aRequestInTheSameBytesEndsTheConnectionAfterACompleteStream() throws Exception {
    try (Socket socket = endpoint.connect()) {
      send(socket, post("/first", "", "abc") + post("/second", "", "abc"));
      ProxiedResponseListener listener = endpoint.nextPassed().listener();
      endpoint.onLogic(
          () -> {
            listener.head(STREAM);
            listener.chunk(chunk("data: 1\n\n"));
          });
      String begun = readUntil(socket, "data: 1\n\n");
      assertThat(begun.toLowerCase()).contains("connection: close");
      endpoint.onLogic(
          () -> {
            listener.chunk(chunk("data: 2\n\n"));
            listener.end();
          });
      String rest = readAll(socket);
      assertThat(rest).contains("data: 2\n\n");
      assertThat(rest).endsWith("0\r\n\r\n");
    }
    assertThat(endpoint.passed).isEmpty();
  }

  // ---- responses

  @Test
  void whatIsCompleteAtOnceHasALength() throws Exception {
    endpoint.answer = ProxyResponsesTest::respondCompletely;
    try (Socket socket = endpoint.connect()) {
      send(socket, post("/x", "", "abc"));
      String response = readUntil(socket, "in two");
      assertThat(response).contains("Content-Length: 13\r\n");
      assertThat(response.toLowerCase()).doesNotContain("transfer-encoding");
    }
  }

  @Test
  void chunkForChunkWhatComesLater() throws Exception {
    try (Socket socket = endpoint.connect()) {
      send(socket, post("/x", "", "abc"));
      ProxiedResponseListener listener = endpoint.nextPassed().listener();
      endpoint.onLogic(
          () -> {
            listener.head(STREAM);
            listener.chunk(chunk("data: 1\n\n"));
          });
      assertThat(readUntil(socket, "data: 1\n\n").toLowerCase())
          .contains("transfer-encoding: chunked");
      endpoint.onLogic(() -> listener.chunk(chunk("data: 2\n\n")));
      readUntil(socket, "data: 2\n\n");
      endpoint.onLogic(listener::end);
      readUntil(socket, "0\r\n\r\n");
      endpoint.answer = ProxyResponsesTest::respondCompletely;
      send(socket, post("/again", "", "abc"));
      readUntil(socket, "in two");
    }
  }

  @Test
  void aTruncatedStreamDoesNotLookComplete() throws Exception {
    try (Socket socket = endpoint.connect()) {
      send(socket, post("/x", "", "abc"));
      ProxiedResponseListener listener = endpoint.nextPassed().listener();
      endpoint.onLogic(
          () -> {
            listener.head(STREAM);
            listener.chunk(chunk("data: 1\n\n"));
            listener.truncated(new ApiError.WorkerStreamTruncated("w"));
          });
      String all = readAll(socket);
      assertThat(all).contains("data: 1\n\n");
      assertThat(all).doesNotContain("\r\n0\r\n");
    }
  }

  @Test
  void aClientThatGoesIsReportedToTheLogic() throws Exception {
    Socket before = endpoint.connect();
    send(before, post("/x", "", "abc"));
    TestProxyEndpoint.Passed unanswered = endpoint.nextPassed();
    before.close();
    unanswered.cancelled().get(TestProxyEndpoint.LIMIT_S, TimeUnit.SECONDS);

    Socket midway = endpoint.connect();
    send(midway, post("/x", "", "abc"));
    TestProxyEndpoint.Passed begun = endpoint.nextPassed();
    endpoint.onLogic(
        () -> {
          begun.listener().head(STREAM);
          begun.listener().chunk(chunk("data: 1\n\n"));
        });
    readUntil(midway, "data: 1\n\n");
    midway.close();
    begun.cancelled().get(TestProxyEndpoint.LIMIT_S, TimeUnit.SECONDS);
  }

  // ---- limits

  @Test
  void aSlowHeadIsRefused() throws Exception {
    endpoint.limit(new ClientLimits(16_384, 1 << 20, 50, 60_000));
    try (Socket socket = endpoint.connect()) {
      send(socket, "POST /x HTTP/1.1\r\nHost: h\r\n");
      assertThat(readAll(socket)).startsWith("HTTP/1.1 408");
    }
    assertThat(endpoint.passed).isEmpty();
  }

  @Test
  void aBodyThatStallsIsRefused() throws Exception {
    endpoint.limit(new ClientLimits(16_384, 1 << 20, 60_000, 50));
    try (Socket socket = endpoint.connect()) {
      send(socket, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\nabc");
      assertThat(readAll(socket)).startsWith("HTTP/1.1 408");
    }
    assertThat(endpoint.passed).isEmpty();
  }

  @Test
  void idleConnectionsEndByTheLimitsInForce() throws Exception {
    endpoint.answer = ProxyResponsesTest::respondCompletely;
    try (Socket fresh = endpoint.connect();
        Socket used = endpoint.connect()) {
      send(used, post("/x", "", "abc"));
      readUntil(used, "in two");
      endpoint.limit(new ClientLimits(16_384, 1 << 20, 60_000, 50));
      assertThat(readAll(used)).isEmpty();
      assertThat(readAll(fresh)).isEmpty();
    }
  }

  /** Clients take up connections that have rested for four fifths of the limit. */
  @Test
  void aConnectionThatRestedForFourFifthsOfTheLimitIsServed() throws Exception {
    int idleMs = 1_000;
    endpoint.limit(new ClientLimits(16_384, 1 << 20, 60_000, idleMs));
    endpoint.answer = ProxyResponsesTest::respondCompletely;
    try (Socket socket = endpoint.connect()) {
      for (int round = 0; round < 3; round++) {
        send(socket, post("/x", "", "abc"));
        assertThat(readUntil(socket, "in two")).startsWith("HTTP/1.1 200");
        Thread.sleep(idleMs * 4 / 5);
      }
      send(socket, post("/x", "", "abc"));
      assertThat(readUntil(socket, "in two")).startsWith("HTTP/1.1 200");
      long restsSince = System.nanoTime();
      assertThat(readAll(socket)).isEmpty();
      assertThat((System.nanoTime() - restsSince) / 1_000_000).isAtLeast(idleMs - 1L);
    }
  }

  /** Its client may be sending at this moment, and know of the change only later. */
  @Test
  void aShorterLimitEndsNoConnectionAtTheMomentOfItsChange() throws Exception {
    endpoint.answer = ProxyResponsesTest::respondCompletely;
    try (Socket socket = endpoint.connect()) {
      send(socket, post("/x", "", "abc"));
      readUntil(socket, "in two");
      Thread.sleep(700);
      endpoint.limit(new ClientLimits(16_384, 1 << 20, 60_000, 600));
      Thread.sleep(300);
      send(socket, post("/x", "", "abc"));
      assertThat(readUntil(socket, "in two")).startsWith("HTTP/1.1 200");
    }
  }

  @Test
  void aRequestThatCameWhileTheProcessStoodStillIsServed() throws Exception {
    endpoint.limit(new ClientLimits(16_384, 1 << 20, 60_000, 300));
    endpoint.answer = ProxyResponsesTest::respondCompletely;
    try (Socket socket = endpoint.connect()) {
      send(socket, post("/x", "", "abc"));
      readUntil(socket, "in two");
      endpoint.freezeHttp(600);
      Thread.sleep(100);
      send(socket, post("/x", "", "abc"));
      assertThat(readUntil(socket, "in two")).startsWith("HTTP/1.1 200");
    }
  }

  @Test
  void aClientThatClosesItsSideOnlyIsPromisedNothing() throws Exception {
    try (Socket socket = endpoint.connect()) {
      send(socket, post("/x", "", "abc"));
      endpoint.nextPassed();
      socket.shutdownOutput();
      assertThat(readAll(socket)).startsWith("HTTP/1.1 504");
    }
  }

  @Test
  void sizesAreThoseInForceFromTheFirstRequestOn() throws Exception {
    endpoint.limit(new ClientLimits(200, 10, 60_000, 60_000));
    try (Socket socket = endpoint.connect()) {
      send(socket, post("/x", "X-Long: " + "a".repeat(300) + "\r\n", "abc"));
      assertThat(readAll(socket)).startsWith("HTTP/1.1 431");
    }
    try (Socket socket = endpoint.connect()) {
      send(socket, post("/x", "", "01234567890"));
      assertThat(readAll(socket)).startsWith("HTTP/1.1 413");
    }
    try (Socket socket = endpoint.connect()) {
      send(
          socket,
          "POST /x HTTP/1.1\r\n"
              + "Host: h\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n"
              + "b\r\n"
              + "01234567890\r\n"
              + "0\r\n\r\n");
      assertThat(readAll(socket)).startsWith("HTTP/1.1 413");
    }
    assertThat(endpoint.passed).isEmpty();
  }
}
