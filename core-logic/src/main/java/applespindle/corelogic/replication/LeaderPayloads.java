package applespindle.corelogic.replication;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.FramedEvent;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.memory.HolderAccount;
import applespindle.corelogic.memory.MemoryHolder;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.EntryChunk;
import applespindle.corelogic.protocol.MessageSender;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The events of all logs that a node without a disk leads. The newest applied ones are kept in the
 * heap, bounded in bytes for all logs together; of the others only the header stays, and what is
 * needed of them is fetched from a replica, which has synced them.
 *
 * <p>Invariant: an entry is released only after it is committed and applied, so that a quorum of
 * the replicas holds its bytes.
 */
public final class LeaderPayloads implements EventRetention {
  private final HolderAccount cache;
  private final HolderAccount uncommitted;
  private final EntryTransfers transfers;

  /** The applied entries that are wholly in the heap, oldest first. */
  private final Map<EntryTransfers.EntryId, LogEntry> resident = new LinkedHashMap<>();

  /** The appended entries that are not applied yet. */
  private final Map<EntryTransfers.EntryId, LogEntry> unapplied = new LinkedHashMap<>();

  private long fetches;
  private long fetchedBytes;
  private long failedFetches;

  /** The events of one node, in the account of its memory. */
  public LeaderPayloads(Environment environment, MessageSender sender) {
    this.cache = environment.memory().openCache(MemoryHolder.LED_EVENTS);
    this.uncommitted = environment.memory().open(MemoryHolder.UNCOMMITTED_EVENTS);
    environment.memory().onEviction(this::evict);
    this.transfers =
        new EntryTransfers(
            environment,
            sender,
            ReplicationConstants.MAX_CONCURRENT_SECTION_READS,
            release -> environment.schedule(0, release));
  }

  /**
   * Of a framed event only the header is kept: an election may bring more than there is room for.
   */
  @Override
  public void received(LogEntry entry) {
    if (entry.eventBytes() >= ReplicationConstants.MIN_RELEASED_EVENT_BYTES) {
      int headerBytes = FramedEvent.headerBytes(entry.payload());
      if (headerBytes > 0) {
        entry.payload().retainStart(headerBytes);
      }
    }
  }

  @Override
  public void appended(String key, LogEntry entry) {
    unapplied.put(EntryTransfers.EntryId.of(key, entry), entry);
    uncommitted.hold(entry.eventBytes());
  }

  @Override
  public void applied(String key, LogEntry entry) {
    if (unapplied.remove(EntryTransfers.EntryId.of(key, entry)) != null) {
      uncommitted.release(entry.eventBytes());
    }
    if (entry.eventBytes() < ReplicationConstants.MIN_RELEASED_EVENT_BYTES
        || !entry.payload().isInHeap()) {
      return;
    }
    while (!cache.tryCache(entry.eventBytes())) {
      if (resident.isEmpty()) {
        release(entry);
        return;
      }
      releaseOldest();
    }
    resident.put(EntryTransfers.EntryId.of(key, entry), entry);
  }

  /** Releases what other holders need. */
  private void evict() {
    while (!resident.isEmpty() && cache.process().excessBytes() > 0) {
      releaseOldest();
    }
  }

  private void releaseOldest() {
    Iterator<LogEntry> oldestFirst = resident.values().iterator();
    LogEntry oldest = oldestFirst.next();
    oldestFirst.remove();
    release(oldest);
    cache.evicted(oldest.eventBytes());
  }

  private static void release(LogEntry entry) {
    entry.payload().retainStart(FramedEvent.headerBytes(entry.payload()));
  }

  @Override
  public void forget(String key) {
    cache.release(removeAll(resident, key));
    uncommitted.release(removeAll(unapplied, key));
  }

  /** Removes the entries of a log, and returns their size. */
  private static long removeAll(Map<EntryTransfers.EntryId, LogEntry> entries, String key) {
    long removedBytes = 0;
    Iterator<Map.Entry<EntryTransfers.EntryId, LogEntry>> each = entries.entrySet().iterator();
    while (each.hasNext()) {
      Map.Entry<EntryTransfers.EntryId, LogEntry> entry = each.next();
      if (entry.getKey().key().equals(key)) {
        removedBytes += entry.getValue().eventBytes();
        each.remove();
      }
    }
    return removedBytes;
  }

  @Override
  public void read(
      String key,
      LogEntry entry,
      int offset,
      int bytes,
      List<NodeAddress> replicas,
      Consumer<byte[]> callback) {
    if (offset + bytes <= entry.payload().heldStart().length) {
      callback.accept(entry.payload().slice(offset, bytes));
      return;
    }
    DetachedEntry detached =
        new DetachedEntry(key, entry.sequence(), entry.epoch(), entry.eventBytes());
    fetch(new EntrySection(detached, offset, bytes), replicas, callback);
  }

  /**
   * Reads a section of a committed entry of a log that may be led elsewhere from one of its
   * replicas.
   *
   * @param callback gets the bytes, or null if no replica sent them in time
   */
  public void fetch(EntrySection section, List<NodeAddress> replicas, Consumer<byte[]> callback) {
    fetches++;
    transfers.fetch(
        0,
        section,
        replicas,
        new EntryTransfer.Listener() {
          @Override
          public boolean isWanted() {
            return true;
          }

          @Override
          public void fetched(byte[] section) {
            fetchedBytes += section.length;
            callback.accept(section);
          }

          @Override
          public void failed() {
            failedFetches++;
            callback.accept(null);
          }
        });
  }

  /** Takes a part of an entry that a replica sent. */
  public void handleChunk(EntryChunk chunk, String replicaId) {
    transfers.handleChunk(chunk, replicaId);
  }

  /** The bytes of applied events in the heap. */
  public long residentBytes() {
    return cache.heldBytes();
  }

  /** The bytes of events that are appended and not applied yet. */
  public long unappliedBytes() {
    return uncommitted.heldBytes();
  }

  /** Whether events of a further batch may be appended: those on their way are bounded. */
  public boolean hasRoomForEvents() {
    return uncommitted.heldBytes() < uncommitted.limitBytes();
  }

  /** From how many bytes of events that are not applied on no further batch is taken. */
  public long maxUnappliedBytes() {
    return uncommitted.limitBytes();
  }

  /** The most bytes of applied events in the heap. */
  public long maxBytes() {
    return cache.limitBytes();
  }

  /** How many sections were fetched from replicas, or tried to. */
  public long fetches() {
    return fetches;
  }

  /** The bytes of the sections that were fetched. */
  public long fetchedBytes() {
    return fetchedBytes;
  }

  /** How many sections no replica sent in time. */
  public long failedFetches() {
    return failedFetches;
  }
}
