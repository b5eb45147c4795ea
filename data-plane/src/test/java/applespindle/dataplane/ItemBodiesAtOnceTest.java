package applespindle.dataplane;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.ItemBody;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against clients that ask for large bodies of items at once ending an edge: nothing bounded
 * the sum of what was asked for and not read yet.
 */
final class ItemBodiesAtOnceTest {
  private static final int CLIENTS = 8;

  /** The largest body that may be asked for has room, a second one has not. */
  private static final long LIMIT_BYTES = 9 << 20;

  /** More than the buffers of a connection on loopback take from a client that doesn't read. */
  private static final int BODY_BYTES = 4 << 20;

  private static final long MAX_REFUSAL_MS = 3_000;
  private static final String REQUEST =
      "GET " + TestProxyEndpoint.ITEM_TARGET + " HTTP/1.1\r\nHost: h\r\n\r\n";

  private final List<Socket> clients = new ArrayList<>();
  private TestProxyEndpoint endpoint;

  @BeforeEach
  void open() throws IOException {
    endpoint = new TestProxyEndpoint(LIMIT_BYTES);
  }

  @AfterEach
  void close() throws IOException {
    for (Socket client : clients) {
      client.close();
    }
  }

  private Socket ask() throws IOException {
    Socket client = endpoint.connect();
    clients.add(client);
    TestProxyEndpoint.send(client, REQUEST);
    return client;
  }

  private Consumer<Response> nextRead() throws InterruptedException {
    return endpoint.itemReads.poll(TestProxyEndpoint.LIMIT_S, TimeUnit.SECONDS);
  }

  private void answer(Consumer<Response> read, byte[] body) {
    Response response = new ItemBody(body, 0).toResponse();
    endpoint.onLogic(() -> read.accept(response));
  }

  @Test
  void theLeaderIsAskedOnlyForWhatHasRoom() throws Exception {
    for (int client = 0; client < CLIENTS; client++) {
      ask();
    }
    assertThat(nextRead()).isNotNull();
    long refusalsDueAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_REFUSAL_MS);
    int refused = 0;
    while (refused < CLIENTS - 1 && System.nanoTime() < refusalsDueAt) {
      Thread.sleep(10);
      refused = 0;
      for (Socket client : clients) {
        refused += client.getInputStream().available() > 0 ? 1 : 0;
      }
    }

    assertWithMessage("refused in time").that(refused).isEqualTo(CLIENTS - 1);
    assertWithMessage("asked for beside the first").that(endpoint.itemReads).isEmpty();
  }

  @Test
  void aClientThatDoesNotReadKeepsItsRoomUntilItHasGone() throws Exception {
    Socket slow = ask();
    answer(nextRead(), new byte[BODY_BYTES]);
    assertThat(TestProxyEndpoint.readUntil(slow, "\r\n\r\n")).startsWith("HTTP/1.1 200");
    Socket refused = ask();
    assertThat(TestProxyEndpoint.readUntil(refused, "\r\n\r\n")).startsWith("HTTP/1.1 503");

    slow.close();
    Socket next = ask();
    answer(nextRead(), "found".getBytes(ISO_8859_1));
    assertThat(TestProxyEndpoint.readUntil(next, "found").toLowerCase())
        .contains("content-length: 5");
  }

  /** Guards against a few clients that stop reading shutting all others out. */
  @Test
  void aClientThatDoesNotReadLosesItsRoomToThoseThatWaitForIt() throws Exception {
    Socket slow = ask();
    answer(nextRead(), new byte[2 * BODY_BYTES]);
    assertThat(TestProxyEndpoint.readUntil(slow, "\r\n\r\n")).startsWith("HTTP/1.1 200");
    long endsAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(TestProxyEndpoint.LIMIT_S);
    Consumer<Response> read = null;
    while (read == null && System.nanoTime() < endsAt) {
      ask();
      read = endpoint.itemReads.poll(100, TimeUnit.MILLISECONDS);
    }
    assertWithMessage("a read that found room while the slow client was still there")
        .that(read)
        .isNotNull();
  }

  @Test
  void aBodyThatWasReadLeavesItsRoomAndTheConnection() throws Exception {
    Socket client = ask();
    for (int round = 0; round < CLIENTS; round++) {
      answer(nextRead(), ("body " + round).getBytes(ISO_8859_1));
      assertThat(TestProxyEndpoint.readUntil(client, "body " + round)).contains("200");
      TestProxyEndpoint.send(client, REQUEST);
    }
    assertThat(nextRead()).isNotNull();
  }
}
