package applespindle.corelogic.replication;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.EntryChunk;
import applespindle.corelogic.protocol.Message.EntryChunkRequest;
import applespindle.corelogic.protocol.MessageSender;
import java.util.ArrayList;
import java.util.List;

/**
 * Fetches a section of the event of one large entry chunk by chunk. The receiver grants the bytes:
 * only as many chunks are requested as may be on their way at a time, and each arrival requests the
 * next one. Chunks that don't arrive are requested again, from the next source; what has arrived is
 * kept.
 *
 * <p>Invariant: one of the listener's methods runs, once, and nothing is requested after that.
 */
final class EntryTransfer {
  /** Gets the outcome of a transfer. */
  interface Listener {
    /** Whether the event is still needed; asked before chunks are requested again. */
    boolean isWanted();

    /** The section is complete. */
    void fetched(byte[] bytes);

    /** No source holds the entry any more, none answers, or it is not wanted any more. */
    void failed();
  }

  private final Environment environment;
  private final MessageSender sender;
  private final EntrySection section;

  /** The sources that may hold the entry; the first one is asked at present. */
  private final List<NodeAddress> sources;

  private final Listener listener;
  private final byte[] bytes;
  private final boolean[] arrived;
  private int arrivedChunks;

  /** All chunks before this one are requested. */
  private int nextChunk;

  private long progressAtMs;
  private long requestedAtMs;
  private long retryAfterMs = ReplicationConstants.LOG_FETCH_TIMEOUT_MS;
  private boolean ended;

  /** Cancelled at the end, so that it doesn't keep the bytes; null before the start. */
  private Environment.ScheduledTask retry;

  EntryTransfer(
      Environment environment,
      MessageSender sender,
      EntrySection section,
      List<NodeAddress> sources,
      Listener listener) {
    this.environment = environment;
    this.sender = sender;
    this.section = section;
    this.sources = new ArrayList<>(sources);
    this.listener = listener;
    bytes = new byte[section.bytes()];
    int chunkBytes = ReplicationConstants.ENTRY_CHUNK_BYTES;
    arrived = new boolean[(section.bytes() + chunkBytes - 1) / chunkBytes];
  }

  /** Requests the first chunks. */
  void start() {
    progressAtMs = environment.nowMs();
    requestedAtMs = progressAtMs;
    requestNextChunks();
    scheduleRetry();
  }

  private void requestNextChunks() {
    while (nextChunk < arrived.length
        && nextChunk - arrivedChunks < ReplicationConstants.ENTRY_CHUNK_WINDOW) {
      request(nextChunk++);
    }
  }

  private void request(int chunk) {
    NodeAddress source = sources.get(0);
    sender.send(
        source.address(),
        source.id(),
        new EntryChunkRequest(
            section.entry().key(),
            section.entry().sequence(),
            section.entry().epoch(),
            section.offset() + chunk * ReplicationConstants.ENTRY_CHUNK_BYTES,
            chunkBytes(chunk)));
  }

  private int chunkBytes(int chunk) {
    int start = chunk * ReplicationConstants.ENTRY_CHUNK_BYTES;
    return Math.min(ReplicationConstants.ENTRY_CHUNK_BYTES, section.bytes() - start);
  }

  /** Whether the chunk is one of this transfer, or says that the source lacks the entry. */
  boolean expects(EntryChunk chunk) {
    DetachedEntry entry = section.entry();
    boolean sameEntry =
        chunk.key().equals(entry.key())
            && chunk.sequence() == entry.sequence()
            && chunk.epoch().equals(entry.epoch());
    if (!sameEntry || chunk.entryBytes() != entry.bytes()) {
      return sameEntry;
    }
    int start = chunk.offset() - section.offset();
    return start >= 0
        && start < section.bytes()
        && start % ReplicationConstants.ENTRY_CHUNK_BYTES == 0
        && chunk.bytes().length == chunkBytes(start / ReplicationConstants.ENTRY_CHUNK_BYTES);
  }

  /** Takes a chunk, which may have come before, or the answer that a source lacks the entry. */
  void handleChunk(EntryChunk chunk, String sourceId) {
    if (ended) {
      return;
    }
    if (chunk.entryBytes() != section.entry().bytes()) {
      dropSource(sourceId);
      return;
    }
    int start = chunk.offset() - section.offset();
    int index = start / ReplicationConstants.ENTRY_CHUNK_BYTES;
    if (arrived[index]) {
      return;
    }
    System.arraycopy(chunk.bytes(), 0, bytes, start, chunk.bytes().length);
    arrived[index] = true;
    arrivedChunks++;
    progressAtMs = environment.nowMs();
    requestedAtMs = progressAtMs;
    retryAfterMs = ReplicationConstants.LOG_FETCH_TIMEOUT_MS;
    if (arrivedChunks == arrived.length) {
      end();
      listener.fetched(bytes);
    } else {
      requestNextChunks();
    }
  }

  private void dropSource(String sourceId) {
    boolean current = sources.get(0).id().equals(sourceId);
    sources.removeIf(source -> source.id().equals(sourceId));
    if (sources.isEmpty()) {
      fail();
    } else if (current) {
      requestMissingChunks();
    }
  }

  private void requestMissingChunks() {
    requestedAtMs = environment.nowMs();
    for (int chunk = 0; chunk < nextChunk; chunk++) {
      if (!arrived[chunk]) {
        request(chunk);
      }
    }
  }

  private void scheduleRetry() {
    long dueInMs = requestedAtMs + retryAfterMs - environment.nowMs();
    retry = environment.schedule(Math.max(1, dueInMs), this::retryIfDue);
  }

  private void retryIfDue() {
    if (ended) {
      return;
    }
    long now = environment.nowMs();
    boolean silent = now - progressAtMs >= ReplicationConstants.LOG_TRANSFER_TIMEOUT_MS;
    if (silent || !listener.isWanted()) {
      fail();
      return;
    }
    if (now - requestedAtMs >= retryAfterMs) {
      retryAfterMs *= 2;
      sources.add(sources.remove(0));
      requestMissingChunks();
    }
    scheduleRetry();
  }

  private void fail() {
    end();
    listener.failed();
  }

  private void end() {
    ended = true;
    retry.cancel();
  }
}
