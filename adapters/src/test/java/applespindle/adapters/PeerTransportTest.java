package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppliedPositionsRequest;
import applespindle.corelogic.protocol.Message.PeerResponse;
import applespindle.corelogic.protocol.Message.QuorumHeartbeat;
import io.activej.eventloop.Eventloop;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class PeerTransportTest {
  private static final long GENEROUS_S = 60;
  private static final int MESSAGES = 50;

  /** All of it is handed over before the first connection can stand. */
  @Test
  void whatIsSentWhileTheConnectionIsMadeArrivesInOrder() throws IOException, InterruptedException {
    String address;
    try (ServerSocket free = new ServerSocket(0)) {
      address = "127.0.0.1:" + free.getLocalPort();
    }
    BlockingQueue<Long> received = new LinkedBlockingQueue<>();
    Eventloop loop = Eventloop.create();
    loop.keepAlive(true);
    PeerTransport receiver =
        new PeerTransport(
            loop,
            MemoryAccount.ofHeap(128 << 20, Runnable::run),
            envelope -> received.add(((AppliedPositionsRequest) envelope.message()).sentAt()),
            message -> {});
    PeerTransport sender =
        new PeerTransport(
            loop, MemoryAccount.ofHeap(128 << 20, Runnable::run), envelope -> {}, message -> {});
    receiver.listen(address);
    for (long number = 0; number < MESSAGES; number++) {
      sender.send(
          address, new Envelope("a", "127.0.0.1:1", "", new AppliedPositionsRequest(number)));
    }
    Thread thread = new Thread(loop, "peer");
    thread.start();
    List<Long> arrived = new ArrayList<>();
    for (int index = 0; index < MESSAGES; index++) {
      arrived.add(received.poll(GENEROUS_S, TimeUnit.SECONDS));
    }
    assertThat(arrived)
        .containsExactlyElementsIn(LongStream.range(0, MESSAGES).boxed().toList())
        .inOrder();
    loop.execute(loop::breakEventloop);
    thread.join();
  }

  /**
   * Around the size from which frames are deflated, with bytes that get shorter by it and bytes
   * that don't.
   */
  @Test
  void framesArriveComplete() throws IOException, InterruptedException {
    String address;
    try (ServerSocket free = new ServerSocket(0)) {
      address = "127.0.0.1:" + free.getLocalPort();
    }
    BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
    Eventloop loop = Eventloop.create();
    loop.keepAlive(true);
    PeerTransport receiver =
        new PeerTransport(
            loop,
            MemoryAccount.ofHeap(128 << 20, Runnable::run),
            envelope -> received.add(((QuorumHeartbeat) envelope.message()).body()),
            message -> {});
    PeerTransport sender =
        new PeerTransport(
            loop, MemoryAccount.ofHeap(128 << 20, Runnable::run), envelope -> {}, message -> {});
    receiver.listen(address);
    Thread thread = new Thread(loop, "peer");
    thread.start();
    Random random = new Random(7);
    for (int size :
        new int[] {
          1,
          PeerConnectionConstants.MIN_DEFLATE_BYTES - 1,
          PeerConnectionConstants.MIN_DEFLATE_BYTES,
          20_000,
          3_000_000
        }) {
      byte[] varied = new byte[size];
      random.nextBytes(varied);
      for (byte[] body : List.of(new byte[size], varied)) {
        sender.send(address, new Envelope("a", "127.0.0.1:1", "", new QuorumHeartbeat(body)));
        assertThat(received.poll(GENEROUS_S, TimeUnit.SECONDS)).isEqualTo(body);
      }
    }
    assertThat(sender.bytesOfKind().keySet()).containsExactly("CorePing");
    assertThat(sender.bytesOfKind().get("CorePing")).isAtLeast(3_000_000L);
    assertThat(sender.bytesOfKind().get("CorePing")).isLessThan(4_000_000L);
    loop.execute(loop::breakEventloop);
    thread.join();
  }

  /** One process at a time the test sets, and a plain socket for the other side. */
  private static final class Side implements AutoCloseable {
    final AtomicLong now = new AtomicLong(1_000);
    final Eventloop loop = Eventloop.builder().withTimeProvider(now::get).build();
    final PeerTransport transport =
        new PeerTransport(
            loop, MemoryAccount.ofHeap(128 << 20, Runnable::run), envelope -> {}, message -> {});
    final Thread thread = new Thread(loop, "peer");
    final ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    final String address = "127.0.0.1:" + other.getLocalPort();

    Side() throws IOException {
      loop.keepAlive(true);
      loop.ensureSelector();
      other.setSoTimeout((int) GENEROUS_S * 1_000);
    }

    void start() {
      thread.start();
    }

    void send(Message message) {
      transport.send(address, new Envelope("a", "127.0.0.1:1", "", message));
    }

    Socket accept() throws IOException {
      Socket accepted = other.accept();
      accepted.setSoTimeout((int) GENEROUS_S * 1_000);
      return accepted;
    }

    @Override
    public void close() throws IOException {
      loop.execute(loop::breakEventloop);
      other.close();
    }
  }

  private static byte[] frame(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] frame = new byte[in.readInt()];
    in.readFully(frame);
    return frame;
  }

  @Test
  void probesASilentPeerAndReconnectsIfItDoesNotAnswer() throws IOException {
    try (Side side = new Side()) {
      side.start();
      side.send(new AppliedPositionsRequest(1));
      Socket first = side.accept();
      assertThat(frame(first)).isNotEmpty();
      side.now.addAndGet(PeerConnectionConstants.SILENCE_TIMEOUT_MS + 1);
      side.send(new AppliedPositionsRequest(2));
      assertThat(frame(first)).isEmpty();
      assertThat(frame(first)).isNotEmpty();
      side.now.addAndGet(PeerConnectionConstants.SILENCE_TIMEOUT_MS + 1);
      side.send(new AppliedPositionsRequest(3));
      Socket second = side.accept();
      assertThat(frame(second)).isNotEmpty();
      assertThat(first.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Test
  void keepsTheConnectionToAPeerThatAnswersAProbe() throws IOException {
    try (Side side = new Side()) {
      side.start();
      side.send(new AppliedPositionsRequest(1));
      Socket only = side.accept();
      frame(only);
      for (int round = 0; round < 3; round++) {
        side.now.addAndGet(PeerConnectionConstants.SILENCE_TIMEOUT_MS + 1);
        side.send(new AppliedPositionsRequest(2));
        assertThat(frame(only)).isEmpty();
        frame(only);
        only.getOutputStream().write(new byte[4]);
        only.getOutputStream().flush();
        // Only once that was read is a further one asked for, after as long a silence again.
        side.now.addAndGet(PeerConnectionConstants.SILENCE_TIMEOUT_MS / 2);
        awaitRead(side);
        side.send(new AppliedPositionsRequest(3));
        assertThat(frame(only)).isNotEmpty();
      }
    }
  }

  /** The loop has read what lay in its sockets once it has gone round twice more. */
  private static void awaitRead(Side side) {
    for (int round = 0; round < 20; round++) {
      side.loop.submit(() -> {}).join();
    }
  }

  @Test
  void answersAKeepaliveProbe() throws IOException {
    try (Side side = new Side()) {
      String address;
      try (ServerSocket free = new ServerSocket(0)) {
        address = "127.0.0.1:" + free.getLocalPort();
      }
      side.transport.listen(address);
      side.start();
      try (Socket asker =
          new Socket(
              InetAddress.getLoopbackAddress(), PeerTransport.socketAddress(address).getPort())) {
        asker.setSoTimeout((int) GENEROUS_S * 1_000);
        asker.getOutputStream().write(new byte[4]);
        assertThat(new DataInputStream(asker.getInputStream()).readInt()).isEqualTo(0);
      }
    }
  }

  /**
   * Nothing reads the large frame, which is far larger than the buffers between; small ones pass
   * it.
   */
  @Test
  void aLargeFrameAndAPeerThatDoesNotReadHoldNothingElseUp() throws IOException {
    try (Side side = new Side();
        Side elsewhere = new Side()) {
      side.start();
      byte[] noShorterDeflated = new byte[32 << 20];
      new Random(7).nextBytes(noShorterDeflated);
      side.send(new PeerResponse(1, 200, 0, noShorterDeflated));
      Socket large = side.accept();
      side.send(new AppliedPositionsRequest(7));
      Socket small = side.accept();
      assertThat(frame(small).length).isLessThan(PeerConnectionConstants.LARGE_FRAME_BYTES);
      side.transport.send(
          elsewhere.address, new Envelope("a", "127.0.0.1:1", "", new AppliedPositionsRequest(8)));
      try (Socket other = elsewhere.accept()) {
        assertThat(frame(other)).isNotEmpty();
      }
      assertThat(frame(large).length).isGreaterThan(32 << 20);
      elsewhere.start();
    }
  }
}
