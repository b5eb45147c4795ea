package applespindle.testfleet.capacity;

import applespindle.adapters.FrameDeflation;
import applespindle.adapters.FrameReader;
import applespindle.adapters.HttpInterface;
import applespindle.adapters.PeerCodec;
import applespindle.adapters.PeerFrame;
import applespindle.adapters.PeerFrameEncoder;
import applespindle.adapters.UnreadableFrameException;
import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.protocol.Envelope;
import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The peer connections of one {@link LightweightEdge}, on an event loop that many such nodes share.
 * Counts the bytes sent and received. Frames are those of the real transport; its limits on
 * connections, its keepalives and its second connection for large frames are left out.
 */
final class LightweightPeerTransport {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  /** The connection to one peer; it connects once there is something to send. */
  private final class Outbound {
    final String address;
    final ArrayDeque<PeerFrame> waiting = new ArrayDeque<>();
    int waitingBytes;
    ITcpSocket socket;
    boolean connecting;
    boolean writing;

    Outbound(String address) {
      this.address = address;
    }

    /** Adds a frame, or drops it, as the real transport does, when too many bytes wait. */
    void add(PeerFrame frame) {
      if (!waiting.isEmpty()
          && waitingBytes + frame.bytes().length > PeerConnectionConstants.MAX_QUEUED_BYTES) {
        return;
      }
      waiting.add(frame);
      waitingBytes += frame.bytes().length;
      if (socket != null) {
        write();
      } else if (!connecting) {
        connecting = true;
        TcpSocket.connect(loop, HttpInterface.socketAddress(address), CONNECT_TIMEOUT, null)
            .whenComplete(
                (connected, fault) -> {
                  connecting = false;
                  if (fault != null) {
                    dropWaiting();
                  } else {
                    socket = connected;
                    readNext(connected);
                    write();
                  }
                });
      }
    }

    /** Reads on, so that a closed connection is noticed; peers send only keepalives here. */
    private void readNext(ITcpSocket connected) {
      connected
          .read()
          .whenComplete(
              (bytes, fault) -> {
                if (bytes == null) {
                  lose(connected);
                } else {
                  received += bytes.readRemaining();
                  bytes.recycle();
                  readNext(connected);
                }
              });
    }

    private void write() {
      if (writing || waiting.isEmpty()) {
        return;
      }
      int size = waiting.stream().mapToInt(PeerFrame::size).sum();
      ByteBuffer all = ByteBuffer.allocate(size);
      waiting.forEach(frame -> all.putInt(frame.header()).put(frame.bytes()));
      dropWaiting();
      writing = true;
      ITcpSocket present = socket;
      present
          .write(ByteBuf.wrapForReading(all.array()))
          .whenComplete(
              (done, fault) -> {
                writing = false;
                if (fault != null) {
                  lose(present);
                } else {
                  sent += size;
                  write();
                }
              });
    }

    private void dropWaiting() {
      waiting.clear();
      waitingBytes = 0;
    }

    private void lose(ITcpSocket lost) {
      if (socket == lost) {
        socket = null;
        writing = false;
        dropWaiting();
        lost.close();
      }
    }
  }

  /** One connection from a peer. */
  private final class Inbound implements FrameReader.Listener {
    private final ITcpSocket socket;
    private final FrameReader reader = new FrameReader(deflation, this);

    Inbound(ITcpSocket socket) {
      this.socket = socket;
      readNext();
    }

    private void readNext() {
      socket
          .read()
          .whenComplete(
              (chunk, fault) -> {
                if (fault != null || chunk == null) {
                  socket.close();
                  return;
                }
                received += chunk.readRemaining();
                reader.add(chunk.array(), chunk.head(), chunk.readRemaining());
                chunk.recycle();
                readFrames();
                readNext();
              });
    }

    private void readFrames() {
      try {
        reader.readFrames();
      } catch (UnreadableFrameException unreadable) {
        throw new IllegalStateException(unreadable);
      }
    }

    @Override
    public void keepalive() {
      socket.write(ByteBuf.wrapForReading(new byte[PeerFrame.HEADER_BYTES]));
      sent += PeerFrame.HEADER_BYTES;
    }

    @Override
    public void frame(byte[] frame) throws UnreadableFrameException {
      receiver.accept(codec.decode(frame));
    }
  }

  private final Eventloop loop;
  private final PeerCodec codec;
  private final Consumer<Envelope> receiver;
  private final FrameDeflation deflation = new FrameDeflation();
  private final PeerFrameEncoder encoder;
  private final Map<String, Outbound> outbound = new HashMap<>();
  long sent;
  long received;

  LightweightPeerTransport(
      Eventloop loop, PeerCodec codec, String address, Consumer<Envelope> receiver)
      throws IOException {
    this.loop = loop;
    this.codec = codec;
    this.encoder = new PeerFrameEncoder(codec, deflation);
    this.receiver = receiver;
    SimpleServer.builder(loop, Inbound::new)
        .withListenAddress(HttpInterface.socketAddress(address))
        .build()
        .listen();
  }

  void send(String address, Envelope envelope) {
    outbound.computeIfAbsent(address, Outbound::new).add(encoder.encode(envelope));
  }
}
