package applespindle.dataplane;

import applespindle.adapters.QueuedBytes;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayDeque;

/**
 * A body on its way to one client, chunk by chunk; closed by the server when the client has gone.
 * Invariant: chunks are queued only while no read is pending. On the HTTP thread.
 */
final class ChunkStream extends AbstractChannelSupplier<ByteBuf> {
  private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
  private final Runnable onClientDisconnected;
  private final int maxQueuedChunks;
  private final int maxQueuedBytes;
  private final QueuedBytes queuedForAllClients;
  private int queuedBytes;
  private SettablePromise<ByteBuf> pendingRead;
  private boolean ended;
  private Exception truncation;

  /**
   * A client that does not read, with so many chunks or bytes queued for it, counts as gone.
   *
   * @param queuedForAllClients where the bytes queued for all clients are counted; beyond its limit
   *     a client for which more would be queued counts as gone
   */
  ChunkStream(
      Runnable whenClientGone,
      int maxQueuedChunks,
      int maxQueuedBytes,
      QueuedBytes queuedForAllClients) {
    this.onClientDisconnected = whenClientGone;
    this.maxQueuedChunks = maxQueuedChunks;
    this.maxQueuedBytes = maxQueuedBytes;
    this.queuedForAllClients = queuedForAllClients;
  }

  /** Adds a chunk; nothing is added to a body that has ended. */
  void push(byte[] chunk) {
    if (chunk.length == 0 || truncation != null || ended) {
      return;
    }
    if (pendingRead != null) {
      SettablePromise<ByteBuf> present = pendingRead;
      pendingRead = null;
      present.trySet(ByteBuf.wrapForReading(chunk));
    } else if (queue.size() < maxQueuedChunks
        && queuedBytes < maxQueuedBytes
        && queuedForAllClients.tryAdd(chunk.length)) {
      queue.add(chunk);
      queuedBytes += chunk.length;
    } else {
      closeEx(new StreamTruncatedException());
    }
  }

  private void countTaken() {
    queuedForAllClients.remove(queuedBytes);
    queuedBytes = 0;
  }

  /** Ends the body properly. */
  void end() {
    ended = true;
    if (pendingRead != null) {
      pendingRead.trySet(null);
    }
  }

  /** Ends the connection without the format's end, so that nobody takes the body for complete. */
  void truncate() {
    truncation = new StreamTruncatedException();
    if (pendingRead != null) {
      pendingRead.trySetException(truncation);
    }
  }

  /** All queued chunks are written at once. */
  @Override
  protected Promise<ByteBuf> doGet() {
    if (!queue.isEmpty()) {
      return Promise.of(takeWaiting());
    }
    if (truncation != null) {
      return Promise.ofException(truncation);
    }
    if (ended) {
      return Promise.of(null);
    }
    pendingRead = new SettablePromise<>();
    return pendingRead;
  }

  private ByteBuf takeWaiting() {
    byte[] bytes = queue.poll();
    if (!queue.isEmpty()) {
      byte[] joined = new byte[queuedBytes];
      int offset = 0;
      for (byte[] chunk = bytes; chunk != null; chunk = queue.poll()) {
        System.arraycopy(chunk, 0, joined, offset, chunk.length);
        offset += chunk.length;
      }
      bytes = joined;
    }
    countTaken();
    return ByteBuf.wrapForReading(bytes);
  }

  @Override
  protected void onClosed(Exception fault) {
    queue.clear();
    countTaken();
    if (pendingRead != null) {
      pendingRead.trySetException(fault);
    }
    if (!ended && truncation == null) {
      onClientDisconnected.run();
    }
  }

  private static final class StreamTruncatedException extends Exception {
    StreamTruncatedException() {
      super("client gone or body truncated", null, false, false);
    }
  }
}
