package applespindle.testfleet.soak;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import applespindle.adapters.PeerCodec;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message.AppliedPositionsRequest;
import applespindle.testfleet.soak.SoakFault.Kind;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RelaysTest {
  private static final int GENEROUS_MS = 60_000;
  private static final int NOTHING_MS = 300;
  private final NetworkFaults links = new NetworkFaults();
  private final Relays relays = new Relays(links);
  private ServerSocket edge;
  private Socket client;
  private Socket served;

  @BeforeEach
  void connect() throws IOException {
    edge = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    String[] told = relays.clientAddress("edge-1", "127.0.0.1:" + edge.getLocalPort()).split(":");
    client = new Socket(told[0], Integer.parseInt(told[1]));
    served = edge.accept();
    client.setSoTimeout(GENEROUS_MS);
    served.setSoTimeout(GENEROUS_MS);
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    served.close();
    edge.close();
    relays.close();
  }

  private static void send(Socket from, String text) throws IOException {
    from.getOutputStream().write(text.getBytes(UTF_8));
  }

  private static String read(Socket at, int length) throws IOException {
    return new String(at.getInputStream().readNBytes(length), UTF_8);
  }

  private static SoakFault fault(Kind kind, String target, String other) {
    return new SoakFault(kind, target, other, 0, 1);
  }

  @Test
  void passesBytesAndEndsOnInBothDirections() throws IOException {
    send(client, "ask");
    assertThat(read(served, 3)).isEqualTo("ask");
    send(served, "answer");
    served.shutdownOutput();
    assertThat(read(client, 7)).isEqualTo("answer");
    client.shutdownOutput();
    assertThat(read(served, 1)).isEmpty();
  }

  @Test
  void losesAnAnswerOnceItIsGiven() throws IOException {
    SoakFault lost = fault(Kind.LOSE_ANSWERS, "edge-1", SoakFault.ALL);
    links.begin(lost);
    send(client, "ask");
    assertThat(read(served, 3)).isEqualTo("ask");
    send(served, "answer");
    client.setSoTimeout(NOTHING_MS);
    assertThrows(SocketTimeoutException.class, () -> read(client, 1));
    client.setSoTimeout(GENEROUS_MS);
    served.close();
    assertThrows(SocketException.class, () -> read(client, 1));
  }

  @Test
  void heldBytesArriveLaterAndTheOtherDirectionFlows() throws IOException {
    SoakFault held = fault(Kind.HOLD_TO, "edge-1", NetworkFaults.CLIENTS);
    links.begin(held);
    send(client, "ask");
    served.setSoTimeout(NOTHING_MS);
    assertThrows(SocketTimeoutException.class, () -> read(served, 1));
    send(served, "news");
    assertThat(read(client, 4)).isEqualTo("news");
    served.setSoTimeout(GENEROUS_MS);
    links.end(held);
    assertThat(read(served, 3)).isEqualTo("ask");
  }

  @Test
  void nothingIsPassedOnBehindDroppedBytes() throws IOException {
    SoakFault dropped = fault(Kind.DROP_TO, "edge-1", NetworkFaults.CLIENTS);
    links.begin(dropped);
    send(client, "lost");
    served.setSoTimeout(NOTHING_MS);
    assertThrows(SocketTimeoutException.class, () -> read(served, 1));
    served.setSoTimeout(GENEROUS_MS);
    links.end(dropped);
    send(client, "more");
    assertThrows(SocketException.class, () -> read(served, 1));
  }

  @Test
  void aResetEndsConnectionsOnWhichNothingIsSent() throws IOException {
    links.begin(fault(Kind.RESET, "edge-1", NetworkFaults.CLIENTS));
    assertThrows(SocketException.class, () -> read(client, 1));
    assertThrows(SocketException.class, () -> read(served, 1));
  }

  @Test
  void partitionsOfAllOtherNodesDoNotAffectClients() throws IOException {
    links.begin(fault(Kind.DROP_BOTH, "edge-1", SoakFault.ALL));
    send(client, "ask");
    assertThat(read(served, 3)).isEqualTo("ask");
  }

  @Test
  void theFirstFrameTellsWhoSends() {
    byte[] frame =
        new PeerCodec()
            .encode(new Envelope("id", "127.0.0.1:1", "", new AppliedPositionsRequest(8)));
    byte[] begun =
        ByteBuffer.allocate(Integer.BYTES + frame.length).putInt(frame.length).put(frame).array();
    PeerSender sender = new PeerSender(Map.of("127.0.0.1:1", "core-2"));
    assertThat(sender.name(begun)).isEqualTo("core-2");
  }

  @Test
  void theSenderOfAnIncompleteFrameIsNotKnownYet() {
    PeerSender sender = new PeerSender(Map.of());
    assertThat(sender.name(new byte[] {0, 0})).isNull();
    assertThat(sender.name(new byte[] {0, 0, 0, 9, 1})).isNull();
    assertThat(sender.name(new byte[] {0, 0, 0, 1, 1})).isEqualTo("unknown");
  }
}
