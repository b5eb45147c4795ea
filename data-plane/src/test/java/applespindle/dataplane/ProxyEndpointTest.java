package applespindle.dataplane;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.adapters.NodeProcess;
import applespindle.adapters.StartupOptions;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.environment.ProxiedRequest;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What the endpoint lets through, against raw bytes. An edge without a configuration refuses
 * whatever reaches it with 503.
 */
final class ProxyEndpointTest {
  /** Remembers every request that got past the endpoint. */
  private static final class Remembering implements RequestFormat {
    final Queue<Arrived> arrived = new ConcurrentLinkedQueue<>();

    @Override
    public String retryAfter(long millis) {
      return millis + "ms";
    }

    @Override
    public Parsed<ProxiedRequest> request(Arrived request) {
      arrived.add(request);
      return new Parsed<>(
          new ProxiedRequest(
              "r",
              request.method(),
              request.target(),
              request.host(),
              request.headers(),
              request.body(),
              0,
              "",
              0,
              0,
              List.of(),
              ""),
          null);
    }

    @Override
    public String apiKey(Arrived request) {
      return "";
    }

    @Override
    public Parsed<BatchCall> batchCall(Arrived request) {
      return Parsed.none();
    }

    @Override
    public BatchSubmission submission(Arrived request) {
      return new BatchSubmission("", request.host(), request.target(), request.body());
    }

    @Override
    public Response show(BatchCall call, Response response) {
      return response;
    }
  }

  private static final Remembering FORMAT = new Remembering();
  private static int port;

  @BeforeAll
  static void open() throws IOException {
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
    new NodeProcess(
            startup,
            (environment, identity) -> new EdgeNode(environment, identity, NodeSettings.DEFAULT))
        .start(
            process ->
                new ProxyEndpoint(process, (EdgeNode) process.node(), FORMAT)
                    .listen("127.0.0.1:" + port));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  @BeforeEach
  void forget() {
    FORMAT.arrived.clear();
  }

  private static String request(String target, String headers, String body) {
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
  }

  /** All that comes back until the endpoint closes; null in the end's place if it never did. */
  private static String sendAndReadAll(String bytes) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(5_000);
      socket.getOutputStream().write(bytes.getBytes(ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
    }
  }

  private static String readResponse(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int each = in.read();
      if (each < 0) {
        return head.toString();
      }
      head.append((char) each);
    }
    String length =
        head.toString().toLowerCase().replaceAll("(?s).*content-length: *([0-9]+).*", "$1");
    return head + new String(in.readNBytes(Integer.parseInt(length)), ISO_8859_1);
  }

  private static void refusedAndClosed(String bytes, String status) throws IOException {
    String response = sendAndReadAll(bytes);
    assertThat(response).startsWith("HTTP/1.1 " + status);
    assertThat(response.indexOf("HTTP/1.1", 1)).isEqualTo(-1);
    assertThat(FORMAT.arrived).isEmpty();
  }

  @Test
  void properRequestsArriveCompleteOnOneConnection() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(5_000);
      socket
          .getOutputStream()
          .write(
              request("/x/1?a=%20b", "Content-Length: 3\r\nX-Any: 1\r\n", "abc")
                  .getBytes(ISO_8859_1));
      assertThat(readResponse(socket.getInputStream())).startsWith("HTTP/1.1 503");
      socket
          .getOutputStream()
          .write(
              request(
                      "/x/2",
                      "Transfer-Encoding: chunked\r\nConnection: X-Hop\r\nX-Hop: 2\r\n",
                      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
                  .getBytes(ISO_8859_1));
      assertThat(readResponse(socket.getInputStream())).startsWith("HTTP/1.1 503");
    }
    assertThat(FORMAT.arrived).hasSize(2);
    RequestFormat.Arrived first = FORMAT.arrived.poll();
    assertThat(first.method()).isEqualTo("POST");
    assertThat(first.target()).isEqualTo("/x/1?a=%20b");
    assertThat(first.host()).isEqualTo("h");
    assertThat(first.body()).isEqualTo("abc".getBytes(ISO_8859_1));
    assertThat(first.headers())
        .containsExactly(
            new ProxiedRequest.Header("Host", "h"), new ProxiedRequest.Header("X-Any", "1"));
    RequestFormat.Arrived second = FORMAT.arrived.poll();
    assertThat(second.body()).isEqualTo("abcde".getBytes(ISO_8859_1));
    assertThat(second.headers()).containsExactly(new ProxiedRequest.Header("Host", "h"));
  }

  @Test
  void garbageIsRefused() throws IOException {
    refusedAndClosed("\u0016\u0003\u0001 garbage\r\n\r\n", "400");
    refusedAndClosed("POST /x HTTQ/1.1\r\nHost: h\r\n\r\n", "400");
  }

  @Test
  void lengthsThatDisagreeAreRefused() throws IOException {
    refusedAndClosed(
        request("/x", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), "400");
    refusedAndClosed(request("/x", "Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), "400");
    refusedAndClosed(request("/x", "Content-Length: -3\r\n", "abc"), "400");
    refusedAndClosed(request("/x", "Content-Length : 3\r\n", "abc"), "400");
    refusedAndClosed(request("/x", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), "400");
  }

  @Test
  void bareLineEndsAndFoldedLinesAreRefused() throws IOException {
    refusedAndClosed("POST /x HTTP/1.1\nHost: h\n\n", "400");
    refusedAndClosed(request("/x", "X-Any: 1\n\nPOST /hidden HTTP/1.1\nHost: h\n\n", ""), "400");
    refusedAndClosed(request("/x", "X-Any: 1\r\n folded\r\n", ""), "400");
  }

  @Test
  void badChunksAreRefused() throws IOException {
    assertThat(
            sendAndReadAll(
                request("/x", "Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n0\r\n\r\n")))
        .doesNotContain(" 503 ");
    assertThat(
            sendAndReadAll(
                request("/x", "Transfer-Encoding: chunked\r\n", "3\r\nabcde\r\n0\r\n\r\n")))
        .doesNotContain(" 503 ");
    assertThat(FORMAT.arrived).isEmpty();
  }

  @Test
  void whatIsTooLargeIsRefused() throws IOException {
    refusedAndClosed(request("/x", "X-Any: " + "a".repeat(70_000) + "\r\n", ""), "431");
    refusedAndClosed(request("/x", "Content-Length: 99999999\r\n", "abc"), "413");
  }

  @Test
  void bytesBehindARequestEndItsConnection() throws IOException {
    String response =
        sendAndReadAll(request("/x", "Content-Length: 3\r\n", "abc" + request("/hidden", "", "")));
    assertThat(response).startsWith("HTTP/1.1 503");
    assertThat(response.indexOf("HTTP/1.1", 1)).isEqualTo(-1);
    assertThat(FORMAT.arrived).hasSize(1);
  }

  @Test
  void aTruncatedBodyNeverArrives() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(5_000);
      socket
          .getOutputStream()
          .write(request("/x", "Content-Length: 30\r\n", "abc").getBytes(ISO_8859_1));
      socket.shutdownOutput();
      socket.getInputStream().readAllBytes();
    } catch (SocketTimeoutException open) {
      throw new AssertionError("the connection stayed open", open);
    }
    assertThat(FORMAT.arrived).isEmpty();
  }
}
