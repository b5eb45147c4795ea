package applespindle.adapters;

import applespindle.corelogic.constants.DiskConstants;
import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.constants.SizeLimits;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.MessageNames;
import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;

/**
 * Frames over TCP between our processes; all on the peer thread. Connections out to a peer, one for
 * small frames and, once there are any, one for large ones, so that none waits behind a large one
 * on a slow link; many in. A frame of no bytes asks the other side for a sign of life and is
 * answered by the same. Messages may be lost, and a large one may be overtaken.
 */
final class PeerTransport {
  private static final int HEAD_BYTES = 4;
  private static final int DEFLATED = FrameDeflation.DEFLATED;
  private static final Frame SIGN_OF_LIFE = new Frame(0, new byte[0]);
  private static final SocketSettings SOCKETS =
      SocketSettings.builder().withTcpNoDelay(true).withKeepAlive(true).build();
  private static final Duration CONNECT_TIMEOUT =
      Duration.ofMillis(PeerConnectionConstants.CONNECT_TIMEOUT_MS);

  /** As it is written: the head, which is its length and whether it is deflated, then the bytes. */
  private record Frame(int head, byte[] bytes) {}

  private static final class PeerChannels {
    final PeerChannel small;
    final PeerChannel large;

    PeerChannels(PeerChannel small, PeerChannel large) {
      this.small = small;
      this.large = large;
    }

    /** Something came from there: whoever writes to it has no reason to doubt the way. */
    void heard() {
      small.heard();
      large.heard();
    }
  }

  private final class PeerChannel {
    final String address;

    /** Invariant: one write at a time is on its way; the rest waits here in order. */
    final ArrayDeque<Frame> waiting = new ArrayDeque<>();

    /** How much of the first one waiting is written already. */
    int begun;

    int waitingBytes;
    ITcpSocket socket;
    boolean connecting;
    boolean writing;
    boolean flushPlanned;
    long nextTryAt;

    /** Since when something is written and nothing was heard; 0 if it was. */
    long unheardSince;

    /** When a sign of life was asked for; 0 if none is awaited. */
    long askedAt;

    PeerChannel(String address) {
      this.address = address;
    }

    void add(Frame frame) {
      if (!waiting.isEmpty()
          && waitingBytes + frame.bytes.length > PeerConnectionConstants.MAX_QUEUED_BYTES) {
        return;
      }
      doubt();
      waiting.add(frame);
      waitingBytes += frame.bytes.length;
      if (socket == null) {
        connect();
      } else if (!writing && !flushPlanned) {
        flushPlanned = true;
        eventloop.postLast(this::flush);
      }
    }

    /** A cut is silent: a connection on which nothing comes back though asked for is given up. */
    private void doubt() {
      if (socket == null || unheardSince == 0) {
        return;
      }
      long now = eventloop.currentTimeMillis();
      if (askedAt != 0 && now - askedAt > PeerConnectionConstants.SILENCE_TIMEOUT_MS) {
        lose(socket);
      } else if (askedAt == 0 && now - unheardSince > PeerConnectionConstants.SILENCE_TIMEOUT_MS) {
        askedAt = now;
        waiting.add(SIGN_OF_LIFE);
      }
    }

    void heard() {
      unheardSince = 0;
      askedAt = 0;
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
      TcpSocket.connect(eventloop, socketAddress(address), CONNECT_TIMEOUT, SOCKETS)
          .whenComplete(
              (connected, fault) -> {
                connecting = false;
                nextTryAt =
                    eventloop.currentTimeMillis() + PeerConnectionConstants.RECONNECT_DELAY_MS;
                if (fault != null) {
                  dropWaiting();
                  return;
                }
                probe(connected.getSocketChannel());
                socket = connected;
                heard();
                watch(connected);
                flush();
              });
    }

    /** Signs of life alone come back on this connection; its end says that the peer has gone. */
    void watch(ITcpSocket connected) {
      connected
          .read()
          .whenComplete(
              (bytes, fault) -> {
                if (bytes == null) {
                  lose(connected);
                  return;
                }
                bytes.recycle();
                heard();
                watch(connected);
              });
    }

    /** Writes what waits, as much as fits into one write, in as few calls as that. */
    void flush() {
      flushPlanned = false;
      if (writing || waiting.isEmpty() || socket == null) {
        return;
      }
      ByteBuf some =
          ByteBufPool.allocate(
              Math.min(
                  PeerConnectionConstants.MAX_WRITE_BYTES,
                  waitingBytes + HEAD_BYTES * waiting.size()));
      while (!waiting.isEmpty() && some.writeRemaining() > HEAD_BYTES) {
        Frame frame = waiting.peek();
        if (begun == 0) {
          some.writeInt(frame.head);
        }
        int part = Math.min(some.writeRemaining(), frame.bytes.length - begun);
        some.put(frame.bytes, begun, part);
        begun += part;
        if (begun < frame.bytes.length) {
          break;
        }
        waiting.poll();
        waitingBytes -= frame.bytes.length;
        begun = 0;
      }
      if (unheardSince == 0) {
        unheardSince = eventloop.currentTimeMillis();
      }
      writing = true;
      ITcpSocket present = socket;
      var written = present.write(some);
      boolean atOnce = written.isComplete();
      written.whenComplete(
          (done, fault) -> {
            if (fault != null) {
              lose(present);
            } else if (socket == present) {
              writing = false;
              if (!atOnce) {
                // It had to wait for room, so the peer takes bytes.
                heard();
              }
              if (!waiting.isEmpty() && !flushPlanned) {
                flushPlanned = true;
                eventloop.postLast(this::flush);
              }
            }
          });
    }

    void dropWaiting() {
      waiting.clear();
      waitingBytes = 0;
      begun = 0;
    }

    void lose(ITcpSocket lost) {
      if (socket == lost) {
        socket = null;
        writing = false;
        dropWaiting();
        heard();
      }
      lost.close();
    }
  }

  private final class Inbound {
    private static final int SMALL_BYTES = 4 << 10;
    private final ITcpSocket socket;
    private byte[] bytes = new byte[SMALL_BYTES];
    private int length;

    Inbound(ITcpSocket socket) {
      this.socket = socket;
      if (socket instanceof TcpSocket tcp) {
        probe(tcp.getSocketChannel());
      }
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
                if (length + size > bytes.length) {
                  bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + size));
                }
                System.arraycopy(chunk.array(), chunk.head(), bytes, length, size);
                chunk.recycle();
                length += size;
                try {
                  takeFrames();
                  readOn();
                } catch (UnreadableFrameException garbage) {
                  if (garbageFrom.add(garbage.kind.name())) {
                    log.accept(
                        "Garbage on the peer port, connection closed: " + garbage.kind + ".");
                  }
                  socket.close();
                }
              });
    }

    private void takeFrames() throws UnreadableFrameException {
      int at = 0;
      while (length - at >= HEAD_BYTES) {
        int head = ByteBuffer.wrap(bytes, at, HEAD_BYTES).getInt();
        int size = head & ~DEFLATED;
        if (size > SizeLimits.MAX_FRAME_BYTES) {
          throw new UnreadableFrameException(UnreadableFrameException.Kind.TOO_LARGE);
        }
        if (length - at - HEAD_BYTES < size) {
          break;
        }
        if (size == 0) {
          socket.write(ByteBuf.wrapForReading(new byte[HEAD_BYTES]));
        } else {
          byte[] frame =
              head == size
                  ? Arrays.copyOfRange(bytes, at + HEAD_BYTES, at + HEAD_BYTES + size)
                  : deflation.inflate(bytes, at + HEAD_BYTES, size);
          Envelope envelope = codec.decode(frame);
          PeerChannels from = neighbours.get(envelope.fromAddress());
          if (from != null) {
            from.heard();
          }
          receiver.accept(envelope);
        }
        at += HEAD_BYTES + size;
      }
      if (at > 0) {
        length -= at;
        if (bytes.length > PeerConnectionConstants.MAX_WRITE_BYTES && length <= SMALL_BYTES) {
          bytes = Arrays.copyOfRange(bytes, at, at + SMALL_BYTES);
        } else {
          System.arraycopy(bytes, at, bytes, 0, length);
        }
      }
    }
  }

  private final Eventloop eventloop;
  private final Consumer<Envelope> receiver;
  private final Consumer<String> log;
  private final PeerCodec codec = new PeerCodec();
  private final FrameDeflation deflation = new FrameDeflation();

  /** By kind of message, the bytes of its frames as they were written. */
  private final Map<String, LongAdder> bytesOfKind = new ConcurrentHashMap<>();

  private final Map<String, PeerChannels> neighbours = new HashMap<>();
  private final Set<String> garbageFrom = new HashSet<>();

  /**
   * Frames handed to the peer thread and not yet taken by it; bounds what the logic can pile up.
   */
  private final AtomicInteger handed = new AtomicInteger();

  PeerTransport(Eventloop eventloop, Consumer<Envelope> receiver, Consumer<String> log) {
    this.eventloop = eventloop;
    this.receiver = receiver;
    this.log = log;
  }

  void listen(String address) throws IOException {
    SimpleServer.builder(eventloop, Inbound::new)
        .withSocketSettings(SOCKETS)
        .withListenAddress(socketAddress(address))
        .build()
        .listen();
  }

  static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /**
   * The kernel asks after a peer that lost power or lies behind a cut, so that its connections do
   * not stay for ever.
   */
  private static void probe(SocketChannel channel) {
    try {
      if (channel.supportedOptions().contains(ExtendedSocketOptions.TCP_KEEPIDLE)) {
        channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        channel.setOption(
            ExtendedSocketOptions.TCP_KEEPIDLE, PeerConnectionConstants.KEEPALIVE_IDLE_S);
        channel.setOption(
            ExtendedSocketOptions.TCP_KEEPINTERVAL, PeerConnectionConstants.KEEPALIVE_INTERVAL_S);
        channel.setOption(
            ExtendedSocketOptions.TCP_KEEPCOUNT, PeerConnectionConstants.KEEPALIVE_PROBES);
      }
    } catch (IOException closedAlready) {
      // Its next read says so.
    }
  }

  /** Encodes and decodes a message as for a peer and from one, without sending it. */
  void rehearse(Envelope envelope) {
    eventloop.execute(
        () -> {
          try {
            codec.decode(codec.encode(envelope));
          } catch (UnreadableFrameException impossible) {
            throw new IllegalStateException(impossible);
          }
        });
  }

  /** From any thread. Dropped when too much waits for the peer thread. */
  void send(String toAddress, Envelope envelope) {
    if (Thread.currentThread() == eventloop.getEventloopThread()) {
      take(toAddress, envelope);
      return;
    }
    if (handed.incrementAndGet() > DiskConstants.WRITE_RING_SLOTS) {
      handed.decrementAndGet();
      return;
    }
    eventloop.execute(
        () -> {
          handed.decrementAndGet();
          take(toAddress, envelope);
        });
  }

  private void take(String toAddress, Envelope envelope) {
    byte[] frame = codec.encode(envelope);
    PeerChannels neighbour =
        neighbours.computeIfAbsent(
            toAddress,
            address -> new PeerChannels(new PeerChannel(address), new PeerChannel(address)));
    boolean deflates =
        frame.length >= PeerConnectionConstants.MIN_DEFLATE_BYTES
            && envelope.message().shouldDeflate();
    byte[] deflated = deflates ? deflation.deflate(frame) : frame;
    boolean smaller = deflated.length < frame.length;
    byte[] written = smaller ? deflated : frame;
    bytesOfKind
        .computeIfAbsent(MessageNames.of(envelope.message()), kind -> new LongAdder())
        .add(HEAD_BYTES + written.length);
    (written.length < PeerConnectionConstants.LARGE_FRAME_BYTES ? neighbour.small : neighbour.large)
        .add(new Frame(smaller ? written.length | DEFLATED : written.length, written));
  }

  Map<String, Long> bytesOfKind() {
    Map<String, Long> sums = new TreeMap<>();
    bytesOfKind.forEach((kind, sum) -> sums.put(kind, sum.sum()));
    return sums;
  }
}
