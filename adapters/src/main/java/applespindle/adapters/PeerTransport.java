package applespindle.adapters;

import applespindle.corelogic.Constants;
import applespindle.corelogic.Envelope;
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
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Frames over TCP between our processes: one connection out for each peer, many in. All on the peer thread. */
final class PeerTransport {
  private static final int HEAD_BYTES = 4;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(Constants.CORE_SILENT_MS);
  /** Bytes waiting for one peer: a peer that takes nothing for this much is as good as silent. */
  private static final int WAITING_BYTES_MOST = 2 * Constants.FRAME_BYTES_MOST;
  private static final long RECONNECT_MS = 100;

  private final class Peer {
    final String address;
    /** Invariant: one write at a time is on its way; the rest waits here in order. */
    final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
    int waitingBytes;
    ITcpSocket socket;
    boolean connecting;
    boolean writing;
    long nextTryAt;

    Peer(String address) {
      this.address = address;
    }

    void add(byte[] frame) {
      if (waitingBytes + frame.length > WAITING_BYTES_MOST) {
        return;
      }
      waiting.add(frame);
      waitingBytes += frame.length;
      if (socket == null) {
        connect();
      } else {
        write();
      }
    }

    void connect() {
      if (connecting) {
        return;
      }
      if (eventloop.currentTimeMillis() < nextTryAt) {
        dropWaiting();
        return;
      }
      connecting = true;
      TcpSocket.connect(eventloop, socketAddress(address), CONNECT_TIMEOUT, null).whenComplete((connected, fault) -> {
        connecting = false;
        if (fault != null) {
          nextTryAt = eventloop.currentTimeMillis() + RECONNECT_MS;
          dropWaiting();
          return;
        }
        socket = connected;
        watch(connected);
        write();
      });
    }

    /** Nothing is ever sent back on this connection; a read only ends when the peer has gone. */
    void watch(ITcpSocket connected) {
      connected.read().whenComplete((bytes, fault) -> {
        if (bytes != null) {
          bytes.recycle();
        }
        lose(connected);
      });
    }

    void write() {
      if (writing || waiting.isEmpty() || socket == null) {
        return;
      }
      int size = 0;
      for (byte[] frame : waiting) {
        size += HEAD_BYTES + frame.length;
      }
      ByteBuffer all = ByteBuffer.allocate(size);
      waiting.forEach(frame -> all.putInt(frame.length).put(frame));
      dropWaiting();
      writing = true;
      ITcpSocket present = socket;
      present.write(ByteBuf.wrapForReading(all.array())).whenComplete((done, fault) -> {
        writing = false;
        if (fault != null) {
          lose(present);
        } else {
          write();
        }
      });
    }

    void dropWaiting() {
      waiting.clear();
      waitingBytes = 0;
    }

    void lose(ITcpSocket lost) {
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
    private byte[] bytes = new byte[16 * 1024];
    private int length;

    Inbound(ITcpSocket socket) {
      this.socket = socket;
      readOn();
    }

    private void readOn() {
      socket.read().whenComplete((chunk, fault) -> {
        if (fault != null || chunk == null) {
          socket.close();
          return;
        }
        int size = chunk.readRemaining();
        if (length + size > bytes.length) {
          bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + size));
        }
        System.arraycopy(chunk.array(), chunk.head(), bytes, length, size);
        chunk.recycle();
        length += size;
        try {
          takeFrames();
          readOn();
        } catch (UnreadableFrame garbage) {
          if (garbageFrom.add(garbage.kind.name())) {
            log.accept("Garbage on the peer port, connection closed: " + garbage.kind + ".");
          }
          socket.close();
        }
      });
    }

    private void takeFrames() throws UnreadableFrame {
      int at = 0;
      while (length - at >= HEAD_BYTES) {
        int size = ByteBuffer.wrap(bytes, at, HEAD_BYTES).getInt();
        if (size <= 0 || size > Constants.FRAME_BYTES_MOST) {
          throw new UnreadableFrame(UnreadableFrame.Kind.TOO_LARGE);
        }
        if (length - at - HEAD_BYTES < size) {
          break;
        }
        Envelope envelope = codec.decode(Arrays.copyOfRange(bytes, at + HEAD_BYTES, at + HEAD_BYTES + size));
        at += HEAD_BYTES + size;
        receiver.accept(envelope);
      }
      if (at > 0) {
        System.arraycopy(bytes, at, bytes, 0, length - at);
        length -= at;
      }
    }
  }

  private final Eventloop eventloop;
  private final Consumer<Envelope> receiver;
  private final Consumer<String> log;
  private final PeerCodec codec = new PeerCodec();
  private final Map<String, Peer> peers = new HashMap<>();
  private final Set<String> garbageFrom = new HashSet<>();
  /** Frames handed to the peer thread and not yet taken by it; bounds what the logic can pile up. */
  private final AtomicInteger handed = new AtomicInteger();

  PeerTransport(Eventloop eventloop, Consumer<Envelope> receiver, Consumer<String> log) {
    this.eventloop = eventloop;
    this.receiver = receiver;
    this.log = log;
  }

  void listen(String address) throws IOException {
    SimpleServer.builder(eventloop, Inbound::new).withListenAddress(socketAddress(address)).build().listen();
  }

  static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** From any thread. Dropped when the ring to the peer thread is full: messages may be lost, never reordered. */
  void send(String toAddress, Envelope envelope) {
    if (handed.incrementAndGet() > Constants.RING_SLOTS) {
      handed.decrementAndGet();
      return;
    }
    eventloop.execute(() -> {
      handed.decrementAndGet();
      peers.computeIfAbsent(toAddress, Peer::new).add(codec.encode(envelope));
    });
  }
}
