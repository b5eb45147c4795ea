package applespindle.testfleet.capacity;

import applespindle.adapters.FrameDeflation;
import applespindle.adapters.PeerCodec;
import applespindle.adapters.UnreadableFrameException;
import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.protocol.Envelope;
import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The peer frames of one hollow node over TCP, on a loop that many such nodes share. Counts what
 * goes by.
 */
final class LightweightPeerTransport {
  private static final int HEAD_BYTES = 4;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final int BUFFER_BYTES = 4096;

  /** As it is written: the head, which is its length and whether it is deflated, then the bytes. */
  private record Frame(int head, byte[] bytes) {}

  private final class Outbound {
    final String address;
    final ArrayDeque<Frame> waiting = new ArrayDeque<>();
    int waitingBytes;
    ITcpSocket socket;
    boolean connecting;
    boolean writing;

    Outbound(String address) {
      this.address = address;
    }

    /** Dropped, as the real transport does, when the other side takes too little. */
    void add(Frame frame) {
      if (!waiting.isEmpty()
          && waitingBytes + frame.bytes.length > PeerConnectionConstants.MAX_QUEUED_BYTES) {
        return;
      }
      waiting.add(frame);
      waitingBytes += frame.bytes.length;
      if (socket != null) {
        write();
      } else if (!connecting) {
        connecting = true;
        TcpSocket.connect(loop, socketAddress(address), CONNECT_TIMEOUT, null)
            .whenComplete(
                (connected, fault) -> {
                  connecting = false;
                  if (fault != null) {
                    dropWaiting();
                  } else {
                    socket = connected;
                    watch(connected);
                    write();
                  }
                });
      }
    }

    /** At most signs of life come back. */
    private void watch(ITcpSocket connected) {
      connected
          .read()
          .whenComplete(
              (bytes, fault) -> {
                if (bytes == null) {
                  lose(connected);
                } else {
                  received += bytes.readRemaining();
                  bytes.recycle();
                  watch(connected);
                }
              });
    }

    private void write() {
      if (writing || waiting.isEmpty()) {
        return;
      }
      int size = waiting.stream().mapToInt(frame -> HEAD_BYTES + frame.bytes.length).sum();
      ByteBuffer all = ByteBuffer.allocate(size);
      waiting.forEach(frame -> all.putInt(frame.head).put(frame.bytes));
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

  private final class Inbound {
    private final ITcpSocket socket;
    private byte[] bytes = new byte[BUFFER_BYTES];
    private int length;

    Inbound(ITcpSocket socket) {
      this.socket = socket;
      readOn();
    }

    private void readOn() {
      socket
          .read()
          .whenComplete(
              (chunk, fault) -> {
                if (fault != null || chunk == null) {
                  socket.close();
                  return;
                }
                int size = chunk.readRemaining();
                received += size;
                if (length + size > bytes.length) {
                  bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + size));
                }
                System.arraycopy(chunk.array(), chunk.head(), bytes, length, size);
                chunk.recycle();
                length += size;
                takeFrames();
                readOn();
              });
    }

    private void takeFrames() {
      int at = 0;
      while (length - at >= HEAD_BYTES) {
        int head = ByteBuffer.wrap(bytes, at, HEAD_BYTES).getInt();
        int size = head & ~FrameDeflation.DEFLATED;
        if (length - at - HEAD_BYTES < size) {
          break;
        }
        at += HEAD_BYTES + size;
        if (size == 0) {
          socket.write(ByteBuf.wrapForReading(new byte[HEAD_BYTES]));
          sent += HEAD_BYTES;
          continue;
        }
        try {
          receiver.accept(
              codec.decode(
                  head == size
                      ? Arrays.copyOfRange(bytes, at - size, at)
                      : deflation.inflate(bytes, at - size, size)));
        } catch (UnreadableFrameException broken) {
          throw new IllegalStateException(broken);
        }
      }
      System.arraycopy(bytes, at, bytes, 0, length - at);
      length -= at;
    }
  }

  private final Eventloop loop;
  private final PeerCodec codec;
  private final Consumer<Envelope> receiver;
  private final FrameDeflation deflation = new FrameDeflation();
  private final Map<String, Outbound> outbound = new HashMap<>();
  long sent;
  long received;

  LightweightPeerTransport(
      Eventloop loop, PeerCodec codec, String address, Consumer<Envelope> receiver)
      throws IOException {
    this.loop = loop;
    this.codec = codec;
    this.receiver = receiver;
    SimpleServer.builder(loop, Inbound::new)
        .withListenAddress(socketAddress(address))
        .build()
        .listen();
  }

  private static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  void send(String address, Envelope envelope) {
    byte[] frame = codec.encode(envelope);
    byte[] deflated =
        frame.length < PeerConnectionConstants.MIN_DEFLATE_BYTES ? frame : deflation.deflate(frame);
    outbound
        .computeIfAbsent(address, Outbound::new)
        .add(
            deflated.length < frame.length
                ? new Frame(deflated.length | FrameDeflation.DEFLATED, deflated)
                : new Frame(frame.length, frame));
  }
}
