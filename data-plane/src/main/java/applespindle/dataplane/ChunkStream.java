package applespindle.dataplane;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayDeque;

/**
 * A body on its way to one client, piece by piece; closed by the server when the client has gone.
 */
final class ChunkStream extends AbstractChannelSupplier<ByteBuf> {
  private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
  private final Runnable whenClientGone;
  private final int waitingMost;
  private final int waitingBytesMost;
  private int waitingBytes;
  private SettablePromise<ByteBuf> asked;
  private boolean ended;
  private Exception cut;

  /** A client that does not read, with so many pieces or bytes waiting for it, counts as gone. */
  ChunkStream(Runnable whenClientGone, int waitingMost, int waitingBytesMost) {
    this.whenClientGone = whenClientGone;
    this.waitingMost = waitingMost;
    this.waitingBytesMost = waitingBytesMost;
  }

  void push(byte[] piece) {
    if (piece.length == 0 || cut != null || ended) {
      return;
    }
    if (asked != null) {
      SettablePromise<ByteBuf> present = asked;
      asked = null;
      present.trySet(ByteBuf.wrapForReading(piece));
    } else if (waiting.size() < waitingMost && waitingBytes < waitingBytesMost) {
      waiting.add(piece);
      waitingBytes += piece.length;
    } else {
      closeEx(new StreamTruncatedException());
    }
  }

  void end() {
    ended = true;
    if (asked != null) {
      asked.trySet(null);
    }
  }

  /** Ends the connection without the format's end, so that nobody takes the body for whole. */
  void cut() {
    cut = new StreamTruncatedException();
    if (asked != null) {
      asked.trySetException(cut);
    }
  }

  /** All pieces that wait are written at once. */
  @Override
  protected Promise<ByteBuf> doGet() {
    if (!waiting.isEmpty()) {
      return Promise.of(takeWaiting());
    }
    if (cut != null) {
      return Promise.ofException(cut);
    }
    if (ended) {
      return Promise.of(null);
    }
    asked = new SettablePromise<>();
    return asked;
  }

  private ByteBuf takeWaiting() {
    byte[] bytes = waiting.poll();
    if (!waiting.isEmpty()) {
      byte[] joined = new byte[waitingBytes];
      int place = 0;
      for (byte[] piece = bytes; piece != null; piece = waiting.poll()) {
        System.arraycopy(piece, 0, joined, place, piece.length);
        place += piece.length;
      }
      bytes = joined;
    }
    waitingBytes = 0;
    return ByteBuf.wrapForReading(bytes);
  }

  @Override
  protected void onClosed(Exception fault) {
    if (asked != null) {
      asked.trySetException(fault);
    }
    if (!ended && cut == null) {
      whenClientGone.run();
    }
  }

  private static final class StreamTruncatedException extends Exception {
    StreamTruncatedException() {
      super("client gone or body cut", null, false, false);
    }
  }
}
