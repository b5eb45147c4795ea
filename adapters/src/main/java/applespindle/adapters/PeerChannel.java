package applespindle.adapters;

import applespindle.corelogic.constants.PeerConnectionConstants;
import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import java.time.Duration;
import java.util.ArrayDeque;

/**
 * One connection out to a peer and the queue of frames for it. It connects when there is something
 * to send, drops what waits when the connection is lost, and gives a connection up on which nothing
 * comes back though asked for. On the peer thread.
 */
final class PeerChannel {
  private static final Duration CONNECT_TIMEOUT =
      Duration.ofMillis(PeerConnectionConstants.CONNECT_TIMEOUT_MS);

  private final Eventloop eventloop;
  private final String address;
  private final DroppedFrames droppedFrames;

  /** Null for a channel whose frames are not counted. */
  private final QueuedBytes queuedOfAllPeers;

  /** Invariant: at most one write is in flight; the frames that follow wait here in order. */
  private final ArrayDeque<PeerFrame> queue = new ArrayDeque<>();

  /** How many bytes of the first frame in the queue are written already. */
  private int firstFrameWritten;

  /** Sum of the bytes of the queued frames, without their headers. */
  private int queuedBytes;

  /** Null while there is no connection. */
  private ITcpSocket socket;

  private boolean connecting;
  private boolean writing;
  private boolean flushScheduled;

  /** Before this time no new connection is tried. */
  private long nextConnectAt;

  /** Since when bytes are written without any sign of the peer; 0 if there was one since. */
  private long unansweredSince;

  /** When the peer was asked for a keepalive; 0 if none is awaited. */
  private long keepaliveSentAt;

  /**
   * @param queuedOfAllPeers where the bytes queued for all peers are counted and bounded; null if
   *     those of this channel are not
   */
  PeerChannel(
      Eventloop eventloop,
      String address,
      DroppedFrames droppedFrames,
      QueuedBytes queuedOfAllPeers) {
    this.eventloop = eventloop;
    this.address = address;
    this.droppedFrames = droppedFrames;
    this.queuedOfAllPeers = queuedOfAllPeers;
  }

  /** Queues a frame; drops it if too many bytes wait already or no connection can be made. */
  void add(PeerFrame frame) {
    if (!reserveRoom(frame.bytes().length)) {
      droppedFrames.add(DroppedFrames.Reason.QUEUE_FULL, 1);
      return;
    }
    checkSilence();
    queue.add(frame);
    queuedBytes += frame.bytes().length;
    if (socket == null) {
      connect();
    } else if (!writing) {
      scheduleFlush();
    }
  }

  private boolean reserveRoom(int bytes) {
    boolean fitsHere =
        queue.isEmpty() || queuedBytes + bytes <= PeerConnectionConstants.MAX_QUEUED_BYTES;
    return fitsHere && (queuedOfAllPeers == null || queuedOfAllPeers.tryAdd(bytes));
  }

  private void countRemoved(int bytes) {
    queuedBytes -= bytes;
    if (queuedOfAllPeers != null) {
      queuedOfAllPeers.remove(bytes);
    }
  }

  /** Notes that the peer has shown a sign of life, here or on another connection. */
  void noteContact() {
    unansweredSince = 0;
    keepaliveSentAt = 0;
  }

  /**
   * A partition is silent: asks for a keepalive once nothing has come for long, and closes the
   * connection when none comes.
   */
  private void checkSilence() {
    if (socket == null || unansweredSince == 0) {
      return;
    }
    long now = eventloop.currentTimeMillis();
    if (keepaliveSentAt != 0
        && now - keepaliveSentAt > PeerConnectionConstants.SILENCE_TIMEOUT_MS) {
      close(socket);
    } else if (keepaliveSentAt == 0
        && now - unansweredSince > PeerConnectionConstants.SILENCE_TIMEOUT_MS) {
      keepaliveSentAt = now;
      queue.add(PeerFrame.KEEPALIVE);
    }
  }

  private void connect() {
    if (connecting) {
      return;
    }
    if (eventloop.currentTimeMillis() < nextConnectAt) {
      clearQueue(DroppedFrames.Reason.NOT_CONNECTED);
      return;
    }
    connecting = true;
    TcpSocket.connect(
            eventloop, PeerTransport.socketAddress(address), CONNECT_TIMEOUT, PeerSockets.SETTINGS)
        .whenComplete(
            (connected, fault) -> {
              connecting = false;
              nextConnectAt =
                  eventloop.currentTimeMillis() + PeerConnectionConstants.RECONNECT_DELAY_MS;
              if (fault != null) {
                clearQueue(DroppedFrames.Reason.CONNECTION_LOST);
                return;
              }
              PeerSockets.enableKeepalive(connected.getSocketChannel());
              socket = connected;
              noteContact();
              readContact(connected);
              flush();
            });
  }

  /** Only keepalives come back on this connection; its end says that the peer has gone. */
  private void readContact(ITcpSocket connected) {
    connected
        .read()
        .whenComplete(
            (bytes, fault) -> {
              if (bytes == null) {
                close(connected);
                return;
              }
              bytes.recycle();
              noteContact();
              readContact(connected);
            });
  }

  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      eventloop.postLast(this::flush);
    }
  }

  /** Writes what is queued, as much as fits into one write. */
  private void flush() {
    flushScheduled = false;
    if (writing || queue.isEmpty() || socket == null) {
      return;
    }
    ByteBuf bytes = takeQueued();
    if (unansweredSince == 0) {
      unansweredSince = eventloop.currentTimeMillis();
    }
    writing = true;
    ITcpSocket present = socket;
    var written = present.write(bytes);
    boolean immediate = written.isComplete();
    written.whenComplete(
        (done, fault) -> {
          if (fault != null) {
            close(present);
          } else if (socket == present) {
            writing = false;
            if (!immediate) {
              // The write had to wait for room, so the peer takes bytes.
              noteContact();
            }
            if (!queue.isEmpty()) {
              scheduleFlush();
            }
          }
        });
  }

  /** Fills a buffer from the queue; a frame that does not fit is continued by the next call. */
  private ByteBuf takeQueued() {
    ByteBuf bytes =
        ByteBufPool.allocate(
            Math.min(
                PeerConnectionConstants.MAX_WRITE_BYTES,
                queuedBytes + PeerFrame.HEADER_BYTES * queue.size()));
    while (!queue.isEmpty() && bytes.writeRemaining() > PeerFrame.HEADER_BYTES) {
      PeerFrame frame = queue.peek();
      if (firstFrameWritten == 0) {
        bytes.writeInt(frame.header());
      }
      int size = Math.min(bytes.writeRemaining(), frame.bytes().length - firstFrameWritten);
      bytes.put(frame.bytes(), firstFrameWritten, size);
      firstFrameWritten += size;
      if (firstFrameWritten < frame.bytes().length) {
        break;
      }
      queue.poll();
      countRemoved(frame.bytes().length);
      firstFrameWritten = 0;
    }
    return bytes;
  }

  private void clearQueue(DroppedFrames.Reason reason) {
    droppedFrames.add(reason, queue.size());
    queue.clear();
    countRemoved(queuedBytes);
    firstFrameWritten = 0;
  }

  private void close(ITcpSocket closed) {
    if (socket == closed) {
      socket = null;
      writing = false;
      clearQueue(DroppedFrames.Reason.CONNECTION_LOST);
      noteContact();
    }
    closed.close();
  }
}
