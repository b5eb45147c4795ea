package applespindle.dataplane;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;

/**
 * Writes to a socket and gathers what the present task of the loop and those waiting behind it
 * write, so that it goes out at once. Invariant: at most one write of the socket is in flight; what
 * is written meanwhile is gathered behind it. On the HTTP thread.
 */
final class GatheringWriter {
  /** A writer waits until what was gathered beyond this has gone out. */
  private static final int MAX_GATHERED_BYTES = 64 << 10;

  /** Learns of the end of each write of the socket. */
  interface Listener {
    /** All went out; the promise is that of a waiting writer, or null if none waits. */
    void written(SettablePromise<Void> waitingWriter);

    /** Nothing more goes out; the promise is that of a waiting writer, or null if none waits. */
    void failed(SettablePromise<Void> waitingWriter, Exception fault);
  }

  private final ITcpSocket socket;
  private final NioReactor reactor;
  private final Listener listener;

  /** Handed to this and not to the socket yet; null if there is nothing. */
  private ByteBuf gathered;

  private boolean flushScheduled;
  private boolean writing;

  /** Of a writer that waits until what is gathered has gone out; null if none does. */
  private SettablePromise<Void> waitingWriter;

  GatheringWriter(ITcpSocket socket, NioReactor reactor, Listener listener) {
    this.socket = socket;
    this.reactor = reactor;
    this.listener = listener;
  }

  /**
   * Takes bytes to be written. The promise is complete at once unless much is gathered already, or
   * these are the last bytes of the connection.
   */
  Promise<Void> write(ByteBuf bytes, boolean last) {
    gathered = gathered == null ? bytes : ByteBufPool.append(gathered, bytes);
    if (!flushScheduled && !writing) {
      flushScheduled = true;
      reactor.postLast(this::flush);
    }
    if (!last && gathered.readRemaining() <= MAX_GATHERED_BYTES) {
      return Promise.complete();
    }
    if (waitingWriter == null) {
      waitingWriter = new SettablePromise<>();
    }
    return waitingWriter;
  }

  /** Hands what is gathered to the socket, unless a write is in flight. */
  void flush() {
    flushScheduled = false;
    if (gathered == null || writing || socket.isClosed()) {
      return;
    }
    ByteBuf bytes = gathered;
    gathered = null;
    SettablePromise<Void> waiting = waitingWriter;
    waitingWriter = null;
    writing = true;
    socket
        .write(bytes)
        .subscribe(
            (written, fault) -> {
              writing = false;
              if (fault != null) {
                listener.failed(waiting, fault);
                return;
              }
              if (gathered != null) {
                flush();
              }
              listener.written(waiting);
            });
  }

  /** Whether a write is in flight. */
  boolean isWriting() {
    return writing;
  }

  /** Whether bytes wait for the write in flight or the next. */
  boolean hasGathered() {
    return gathered != null;
  }

  /** Drops what was not handed to the socket. */
  void discard() {
    if (gathered != null) {
      gathered.recycle();
      gathered = null;
    }
  }
}
