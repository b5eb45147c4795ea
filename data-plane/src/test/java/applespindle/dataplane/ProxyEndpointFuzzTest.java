package applespindle.dataplane;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.adapters.SpoiledTexts;
import applespindle.corelogic.configuration.RoutingConfiguration.ClientLimits;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.live.ProxiedResponseListener;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.BeforeContainer;

/** Clients on real sockets that send valid and corrupted bytes, split in any way. */
final class ProxyEndpointFuzzTest {
  private static final ClientLimits WIDE = new ClientLimits(16_384, 1 << 20, 60_000, 60_000);
  private static final String LAST = "/last";
  private static TestProxyEndpoint endpoint;

  /** What became of one text: what the logic got, and what the client read. */
  private record Outcome(List<ProxiedRequest> passed, String answer) {
    private List<String> shown() {
      return passed.stream().map(ProxyEndpointFuzzTest::shown).toList();
    }
  }

  @BeforeContainer
  static void open() throws IOException {
    endpoint = new TestProxyEndpoint();
    endpoint.answer = ProxyEndpointFuzzTest::respondCompletely;
  }

  private static void respondCompletely(ProxiedResponseListener listener) {
    listener.head(new ResponseHead(200, List.of(new Header("X-Stamp", "s"))));
    listener.end();
  }

  /**
   * Sends all and closes the sending side, so that nothing waits for more. One at a time: the
   * library's search for a smaller sample may go on while the next property is tried.
   */
  private static synchronized Outcome send(ClientLimits limits, List<String> parts)
      throws IOException {
    endpoint.limit(limits);
    endpoint.passed.clear();
    String answer;
    try (Socket socket = endpoint.connect()) {
      socket.setTcpNoDelay(true);
      for (String part : parts) {
        socket.getOutputStream().write(part.getBytes(ISO_8859_1));
      }
      socket.shutdownOutput();
      answer = readAll(socket);
    } catch (IOException reset) {
      answer = "";
    }
    afterLogic();
    return new Outcome(
        endpoint.passed.stream().map(TestProxyEndpoint.Passed::request).toList(), answer);
  }

  private static String readAll(Socket socket) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    byte[] buffer = new byte[4096];
    try {
      for (int size = socket.getInputStream().read(buffer);
          size >= 0;
          size = socket.getInputStream().read(buffer)) {
        all.write(buffer, 0, size);
      }
    } catch (IOException reset) {
      return all.toString(ISO_8859_1);
    }
    return all.toString(ISO_8859_1);
  }

  private static void afterLogic() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    endpoint.onLogic(() -> done.complete(null));
    done.orTimeout(TestProxyEndpoint.LIMIT_S, TimeUnit.SECONDS).join();
  }

  private static String shown(ProxiedRequest request) {
    return request.method()
        + " "
        + request.target()
        + " "
        + request.host()
        + " "
        + request.headers()
        + " "
        + new String(request.body(), ISO_8859_1);
  }

  @Provide
  Arbitrary<String> texts() {
    return RequestTexts.texts();
  }

  @Provide
  Arbitrary<List<Integer>> splits() {
    return RequestTexts.splits();
  }

  /** The connection has the limits of its own; the endpoint goes on with other connections. */
  private static synchronized void assertTheEndpointServes() throws IOException {
    endpoint.limit(WIDE);
    endpoint.passed.clear();
    try (Socket socket = endpoint.connect()) {
      TestProxyEndpoint.send(socket, TestProxyEndpoint.post(LAST, "", "abc"));
      assertThat(TestProxyEndpoint.readUntil(socket, "\r\n\r\n")).startsWith("HTTP/1.1 200");
    }
    afterLogic();
    assertThat(endpoint.passed).hasSize(1);
  }

  @Property(seed = "5")
  void onlyAValidRequestIsForwardedAndByItsOwnBytes(
      @ForAll("texts") String text, @ForAll("splits") List<Integer> places) throws IOException {
    Outcome outcome = send(WIDE, SpoiledTexts.split(text, places));
    Optional<ReferenceRequest> reference = ReferenceRequest.parse(text);
    if (!outcome.passed().isEmpty()) {
      assertWithMessage("a sound request by the second reading").that(reference).isPresent();
      ProxiedRequest first = outcome.passed().get(0);
      assertThat(first.method()).isEqualTo(reference.get().method());
      assertThat(first.target()).isEqualTo(reference.get().target());
      assertThat(new String(first.body(), ISO_8859_1)).isEqualTo(reference.get().body());
      for (Header header : first.headers()) {
        assertThat(reference.get().values(header.name().toLowerCase()))
            .contains(header.value().strip());
      }
    }
    assertThat(outcome.answer()).doesNotContain("HTTP/1.1 500");
    assertTheEndpointServes();
  }

  @Property(seed = "6")
  void anySplitPassesTheSameRequestOn(
      @ForAll("texts") String text, @ForAll("splits") List<Integer> places) throws IOException {
    List<String> whole = send(WIDE, List.of(text)).shown();
    List<String> split = send(WIDE, SpoiledTexts.split(text, places)).shown();
    if (whole.isEmpty() || split.isEmpty()) {
      assertThat(split).isEqualTo(whole);
    } else {
      // What stands behind a request is left unread if it came with it, and read if it came later.
      assertThat(split.get(0)).isEqualTo(whole.get(0));
    }
  }

  @Property(seed = "7")
  void headsAndBodiesBeyondTheLimitsAreRefused(
      @ForAll @IntRange(min = 0, max = 400) int headBytes,
      @ForAll @IntRange(min = 0, max = 40) int bodyBytes,
      @ForAll boolean chunked)
      throws IOException {
    int headMost = 300;
    int bodyMost = 20;
    ClientLimits limits = new ClientLimits(headMost, bodyMost, 60_000, 60_000);
    String body = "b".repeat(bodyBytes);
    String framing =
        chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + bodyBytes + "\r\n";
    String head =
        "POST /x HTTP/1.1\r\nHost: h\r\n" + framing + "X: " + "h".repeat(headBytes) + "\r\n\r\n";
    String chunks =
        (bodyBytes == 0 ? "" : Integer.toHexString(bodyBytes) + "\r\n" + body + "\r\n")
            + "0\r\n\r\n";
    Outcome outcome = send(limits, List.of(head + (chunked ? chunks : body)));
    if (head.length() > headMost) {
      assertThat(outcome.answer()).startsWith("HTTP/1.1 431");
    } else if (bodyBytes > bodyMost) {
      assertThat(outcome.answer()).startsWith("HTTP/1.1 413");
    }
    boolean within = head.length() <= headMost && bodyBytes <= bodyMost;
    assertThat(outcome.passed()).hasSize(within ? 1 : 0);
  }
}
