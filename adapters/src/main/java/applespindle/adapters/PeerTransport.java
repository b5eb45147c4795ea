package applespindle.adapters;

import applespindle.corelogic.constants.DiskConstants;
import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.memory.MemoryHolder;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.MessageNames;
import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * Sends and receives envelopes as frames over TCP between processes. There are many connections in;
 * out to each peer there is one for small frames and, once there are any, one for large ones, so
 * that no small frame waits behind a large one on a slow link. Messages may be lost, and a large
 * one may be overtaken.
 *
 * <p>All on the peer thread, except where a method says otherwise.
 */
final class PeerTransport {
  /** Takes the messages that arrive. */
  interface Receiver {
    /**
     * Takes a message.
     *
     * @param whenHandled to be called once, from any thread, when the message is dealt with or
     *     dropped and takes no memory any more
     */
    void receive(Envelope envelope, Runnable whenHandled);
  }

  /** The two connections out to one peer; each connects once it has something to send. */
  private record PeerChannels(PeerChannel small, PeerChannel large) {
    PeerChannels(
        Eventloop eventloop,
        String address,
        DroppedFrames droppedFrames,
        QueuedBytes queuedFrames) {
      this(
          new PeerChannel(eventloop, address, droppedFrames, null),
          new PeerChannel(eventloop, address, droppedFrames, queuedFrames));
    }

    void add(PeerFrame frame) {
      boolean large = frame.bytes().length >= PeerConnectionConstants.LARGE_FRAME_BYTES;
      (large ? this.large : small).add(frame);
    }

    /** Notes a message from the peer: there is no reason to doubt either connection to it. */
    void noteContact() {
      small.noteContact();
      large.noteContact();
    }
  }

  /** One connection in from a peer. */
  private final class InboundConnection implements FrameReader.Listener {
    private final ITcpSocket socket;
    private final FrameReader reader = new FrameReader(deflation, this);

    /** For the large frame that is being read; null if there is none. */
    private ByteBudget.Reservation reservation;

    InboundConnection(ITcpSocket socket) {
      this.socket = socket;
      if (socket instanceof TcpSocket tcp) {
        PeerSockets.enableKeepalive(tcp.getSocketChannel());
      }
      readNext();
    }

    private void readNext() {
      int frameBytes = reader.incompleteFrameHeapBytes();
      if (reservation != null || frameBytes < PeerConnectionConstants.LARGE_FRAME_BYTES) {
        readChunk();
        return;
      }
      inboundBudget.reserve(
          frameBytes,
          reserved -> {
            reservation = reserved;
            readChunk();
          },
          () -> {});
    }

    /** The frame that was being read will never be complete. */
    private void close() {
      socket.close();
      if (reservation != null) {
        reservation.release();
        reservation = null;
      }
    }

    private void readChunk() {
      socket
          .read()
          .whenComplete(
              (chunk, fault) -> {
                if (fault != null || chunk == null) {
                  close();
                  return;
                }
                reader.add(chunk.array(), chunk.head(), chunk.readRemaining());
                chunk.recycle();
                try {
                  reader.readFrames();
                  readNext();
                } catch (UnreadableFrameException garbage) {
                  logOnce(garbage.kind);
                  close();
                }
              });
    }

    @Override
    public void keepalive() {
      socket.write(ByteBuf.wrapForReading(new byte[PeerFrame.HEADER_BYTES]));
    }

    @Override
    public void frame(byte[] frame) throws UnreadableFrameException {
      Envelope envelope = codec.decode(frame);
      ByteBudget.Reservation held = reservation;
      reservation = null;
      PeerChannels sender = peers.get(envelope.fromAddress());
      if (sender != null) {
        sender.noteContact();
      }
      receiver.receive(envelope, held == null ? () -> {} : () -> eventloop.execute(held::release));
    }
  }

  private final Eventloop eventloop;
  private final Receiver receiver;
  private final ByteBudget inboundBudget;
  private final Consumer<String> log;
  private final PeerCodec codec = new PeerCodec();
  private final FrameDeflation deflation = new FrameDeflation();
  private final PeerFrameEncoder encoder = new PeerFrameEncoder(codec, deflation);

  /** By kind of message, the bytes of its frames as they were written, headers included. */
  private final Map<String, LongAdder> bytesOfKind = new ConcurrentHashMap<>();

  private final DroppedFrames droppedFrames = new DroppedFrames();

  /** Of large frames only: heartbeats and votes must not be held up by large records. */
  private final QueuedBytes queuedFrames;

  /** By address. */
  private final Map<String, PeerChannels> peers = new HashMap<>();

  /** What was wrong with frames so far; each kind is logged once. */
  private final Set<UnreadableFrameException.Kind> loggedGarbage =
      EnumSet.noneOf(UnreadableFrameException.Kind.class);

  /** Messages handed to the peer thread and not yet taken by it; at most WRITE_RING_SLOTS. */
  private final AtomicInteger pendingFrames = new AtomicInteger();

  /** A transport whose receiver has dealt with a message when it returns. */
  PeerTransport(
      Eventloop eventloop,
      MemoryAccount memory,
      Consumer<Envelope> receiver,
      Consumer<String> log) {
    this(
        eventloop,
        memory,
        (envelope, whenHandled) -> {
          receiver.accept(envelope);
          whenHandled.run();
        },
        log);
  }

  /** A transport whose large frames are counted in the account of the process. */
  PeerTransport(
      Eventloop eventloop, MemoryAccount memory, Receiver receiver, Consumer<String> log) {
    this.eventloop = eventloop;
    this.inboundBudget =
        ByteBudget.ofPatientSenders(eventloop, memory.open(MemoryHolder.PEER_INBOUND));
    this.queuedFrames = new QueuedBytes(memory.open(MemoryHolder.PEER_OUTBOUND));
    this.receiver = receiver;
    this.log = log;
  }

  /**
   * Listens for connections from peers.
   *
   * @throws IOException if the address can't be listened on
   */
  void listen(String address) throws IOException {
    SimpleServer.builder(eventloop, InboundConnection::new)
        .withSocketSettings(PeerSockets.SETTINGS)
        .withListenAddress(socketAddress(address))
        .build()
        .listen();
  }

  /** Parses an address of the form host:port, where the host is an IP number. */
  static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private void logOnce(UnreadableFrameException.Kind kind) {
    if (loggedGarbage.add(kind)) {
      log.accept("Garbage on the peer port, connection closed: " + kind + ".");
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

  /** Sends a message; from any thread. Dropped when too many wait for the peer thread. */
  void send(String toAddress, Envelope envelope) {
    if (Thread.currentThread() == eventloop.getEventloopThread()) {
      sendNow(toAddress, envelope);
      return;
    }
    if (pendingFrames.incrementAndGet() > DiskConstants.WRITE_RING_SLOTS) {
      pendingFrames.decrementAndGet();
      droppedFrames.add(DroppedFrames.Reason.SENDER_BUSY, 1);
      return;
    }
    eventloop.execute(
        () -> {
          pendingFrames.decrementAndGet();
          sendNow(toAddress, envelope);
        });
  }

  private void sendNow(String toAddress, Envelope envelope) {
    PeerFrame frame = encoder.encode(envelope);
    bytesOfKind
        .computeIfAbsent(MessageNames.of(envelope.message()), kind -> new LongAdder())
        .add(frame.size());
    peers
        .computeIfAbsent(
            toAddress, address -> new PeerChannels(eventloop, address, droppedFrames, queuedFrames))
        .add(frame);
  }

  /** The frames that were never sent, by reason; from any thread. */
  Map<String, Long> droppedFramesByReason() {
    return droppedFrames.byReason();
  }

  /** The large frames that are queued for peers. */
  QueuedBytes queuedFrames() {
    return queuedFrames;
  }

  /** The large frames that are being read or wait for the logic. */
  ByteBudget inboundBudget() {
    return inboundBudget;
  }

  /** By kind of message, the bytes written so far; from any thread. */
  Map<String, Long> bytesOfKind() {
    Map<String, Long> sums = new TreeMap<>();
    bytesOfKind.forEach((kind, sum) -> sums.put(kind, sum.sum()));
    return sums;
  }
}
