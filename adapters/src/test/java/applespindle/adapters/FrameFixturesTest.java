package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.US_ASCII;

import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.QuorumDiscoveryResponse;
import io.activej.eventloop.Eventloop;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.RecordComponent;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Reads peer frames that an earlier build wrote. Nodes of two builds work side by side, so the
 * fixtures never change: a change of the format adds new ones.
 */
final class FrameFixturesTest {
  private static final String MESSAGES = "/fixtures/frames/messages.txt";
  private static final String COMMANDS = "/fixtures/frames/commands.txt";
  private static final String DEFLATED = "/fixtures/frames/deflated.txt";
  private static final String DEFLATED_NAME = "core-members-deflated";
  private static final int DEFLATED_MEMBERS = 40;
  private static final long GENEROUS_S = 60;

  private final PeerCodec codec = new PeerCodec();

  @Test
  void messagesReadAsWritten() throws IOException, UnreadableFrameException {
    assertFramesMatch(fixtures(MESSAGES), FrameSamples.all());
  }

  @Test
  void commandsAndResponsesReadAsWritten() throws IOException, UnreadableFrameException {
    assertFramesMatch(fixtures(COMMANDS), CommandSamples.all());
  }

  /** The head, as the transport writes it before the frame, and the deflated frame behind it. */
  @Test
  void deflatedFrameReadsAsWritten() throws IOException, UnreadableFrameException {
    byte[] written = fixtures(DEFLATED).get(DEFLATED_NAME);
    int head = ByteBuffer.wrap(written).getInt();
    int size = written.length - Integer.BYTES;
    assertThat(head).isEqualTo(size | FrameDeflation.DEFLATED);
    byte[] frame = new FrameDeflation().inflate(written, Integer.BYTES, size);
    Envelope expected = largeMessage();
    assertThat(frame.length).isAtLeast(PeerConnectionConstants.MIN_DEFLATE_BYTES);
    assertSame(DEFLATED_NAME, codec.decode(frame), expected);
    assertThat(frame).isEqualTo(codec.encode(expected));
  }

  /** The fixtures as one stream of bytes on a connection, the last frame deflated. */
  @Test
  void transportReadsWrittenFrames() throws IOException, InterruptedException {
    String address;
    try (ServerSocket free = new ServerSocket(0)) {
      address = "127.0.0.1:" + free.getLocalPort();
    }
    BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();
    Eventloop loop = Eventloop.create();
    loop.keepAlive(true);
    new PeerTransport(
            loop, MemoryAccount.ofHeap(128 << 20, Runnable::run), received::add, message -> {})
        .listen(address);
    Thread thread = new Thread(loop, "peer");
    thread.setDaemon(true);
    thread.start();
    List<Envelope> expected = new ArrayList<>(FrameSamples.all().values());
    expected.add(largeMessage());
    try (Socket socket = new Socket("127.0.0.1", portOf(address))) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      for (byte[] frame : fixtures(MESSAGES).values()) {
        out.writeInt(frame.length);
        out.write(frame);
      }
      out.write(fixtures(DEFLATED).get(DEFLATED_NAME));
      out.flush();
      for (Envelope each : expected) {
        assertSame("received", received.poll(GENEROUS_S, TimeUnit.SECONDS), each);
      }
    }
    loop.execute(loop::breakEventloop);
    thread.join();
  }

  private static int portOf(String address) {
    return Integer.parseInt(address.substring(address.indexOf(':') + 1));
  }

  @Test
  void everyMessageHasAFixture() throws IOException, UnreadableFrameException {
    Set<Class<?>> read = new HashSet<>();
    for (String resource : List.of(MESSAGES, COMMANDS)) {
      for (byte[] frame : fixtures(resource).values()) {
        read.add(codec.decode(frame).message().getClass());
      }
    }
    assertThat(read).containsExactlyElementsIn(Message.class.getPermittedSubclasses());
  }

  private void assertFramesMatch(Map<String, byte[]> frames, Map<String, Envelope> expected)
      throws UnreadableFrameException {
    assertThat(frames.keySet()).containsExactlyElementsIn(expected.keySet());
    for (Map.Entry<String, byte[]> each : frames.entrySet()) {
      String name = each.getKey();
      assertSame(name, codec.decode(each.getValue()), expected.get(name));
      assertWithMessage(name).that(codec.encode(expected.get(name))).isEqualTo(each.getValue());
    }
  }

  /** Compares field by field, as equality of records doesn't look into byte arrays. */
  private static void assertSame(String where, Object actual, Object expected) {
    if (expected instanceof Record) {
      assertWithMessage(where).that(actual).isNotNull();
      assertWithMessage(where).that(actual.getClass()).isEqualTo(expected.getClass());
      for (RecordComponent component : expected.getClass().getRecordComponents()) {
        assertSame(
            where + "." + component.getName(),
            fieldOf(actual, component),
            fieldOf(expected, component));
      }
    } else if (expected instanceof List<?> list) {
      assertWithMessage(where).that(actual).isInstanceOf(List.class);
      List<?> actualList = (List<?>) actual;
      assertWithMessage(where + " size").that(actualList.size()).isEqualTo(list.size());
      for (int index = 0; index < list.size(); index++) {
        assertSame(where + "[" + index + "]", actualList.get(index), list.get(index));
      }
    } else {
      assertWithMessage(where).that(actual).isEqualTo(expected);
    }
  }

  private static Object fieldOf(Object value, RecordComponent component) {
    try {
      return component.getAccessor().invoke(value);
    } catch (ReflectiveOperationException fault) {
      throw new AssertionError(fault);
    }
  }

  private static Envelope largeMessage() {
    StringBuilder roster = new StringBuilder("{\"number\":2,\"members\":[");
    for (int number = 0; number < DEFLATED_MEMBERS; number++) {
      roster
          .append(number == 0 ? "" : ",")
          .append("{\"id\":\"core-id-" + number + "\",")
          .append("\"peerAddress\":\"10.0.2." + number + ":7400\",")
          .append("\"httpAddress\":\"10.0.2." + number + ":8080\",")
          .append("\"zone\":\"zone-" + number % 3 + "\",")
          .append("\"name\":\"core-" + number + "\"}");
    }
    roster.append("],\"next\":[]}");
    Message message = new QuorumDiscoveryResponse(2, FrameSamples.bytes(roster.toString()));
    return new Envelope(
        FrameSamples.CORE_ID, FrameSamples.CORE_ADDRESS, FrameSamples.EDGE_ID, message);
  }

  /** Each line is the name of a frame, a space and the frame in hexadecimal. */
  private static Map<String, byte[]> fixtures(String resource) throws IOException {
    Map<String, byte[]> frames = new LinkedHashMap<>();
    try (InputStream in = FrameFixturesTest.class.getResourceAsStream(resource)) {
      String text = new String(in.readAllBytes(), US_ASCII);
      for (String line : text.split("\n")) {
        String[] parts = line.split(" ");
        assertWithMessage("fields of " + Arrays.toString(parts)).that(parts).hasLength(2);
        byte[] earlier = frames.put(parts[0], HexFormat.of().parseHex(parts[1]));
        assertWithMessage("repeated " + parts[0]).that(earlier).isNull();
      }
    }
    return frames;
  }
}
