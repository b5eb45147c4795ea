package applespindle.corelogic.replication;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.EntryChunk;
import applespindle.corelogic.protocol.MessageSender;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The large entries that a joining node fetches, for all its catch-ups together: a few at a time,
 * those of the catch-up that began first before the others, so that the bytes on their way and in
 * memory are bounded however many shards are copied. An entry that several catch-ups or sources
 * name is fetched once.
 *
 * <p>A transfer makes room for the next one only when what was written before is synced, so that a
 * slow disk slows the transfers down.
 */
final class EntryTransfers {
  private record EntryId(String key, long sequence, Epoch epoch) {}

  private final Environment environment;
  private final MessageSender sender;
  private final BoundedTasks transfers =
      new BoundedTasks(ReplicationConstants.MAX_CONCURRENT_ENTRY_TRANSFERS);
  private final Map<EntryId, List<EntryTransfer.Listener>> listeners = new HashMap<>();

  /** The transfers that have begun. */
  private final Map<EntryId, EntryTransfer> begun = new HashMap<>();

  EntryTransfers(Environment environment, MessageSender sender) {
    this.environment = environment;
    this.sender = sender;
  }

  /**
   * Fetches an entry's event.
   *
   * @param priority entries of the lowest number are fetched first
   * @param sources replicas that may hold the entry; the first one is asked first
   * @param listener gets the event or the failure
   */
  void fetch(
      long priority,
      DetachedEntry entry,
      List<NodeAddress> sources,
      EntryTransfer.Listener listener) {
    EntryId id = new EntryId(entry.key(), entry.sequence(), entry.epoch());
    List<EntryTransfer.Listener> present = listeners.get(id);
    if (present != null) {
      present.add(listener);
      return;
    }
    listeners.put(id, new ArrayList<>(List.of(listener)));
    transfers.submit(priority, () -> begin(id, entry, sources));
  }

  private void begin(EntryId id, DetachedEntry entry, List<NodeAddress> sources) {
    if (!isWanted(id)) {
      end(id).forEach(EntryTransfer.Listener::failed);
      return;
    }
    EntryTransfer transfer =
        new EntryTransfer(
            environment,
            sender,
            entry,
            sources,
            new EntryTransfer.Listener() {
              @Override
              public boolean isWanted() {
                return EntryTransfers.this.isWanted(id);
              }

              @Override
              public void fetched(byte[] event) {
                end(id).forEach(each -> each.fetched(event));
              }

              @Override
              public void failed() {
                end(id).forEach(EntryTransfer.Listener::failed);
              }
            });
    begun.put(id, transfer);
    transfer.start();
  }

  private boolean isWanted(EntryId id) {
    return listeners.get(id).stream().anyMatch(EntryTransfer.Listener::isWanted);
  }

  /**
   * Forgets a transfer and returns who waits for it. Its place is free once the disk has caught up
   * with what these write.
   */
  private List<EntryTransfer.Listener> end(EntryId id) {
    begun.remove(id);
    List<EntryTransfer.Listener> waiting = listeners.remove(id);
    environment.schedule(0, () -> environment.write(List.of(), transfers::release));
    return waiting;
  }

  /** Takes a chunk that a source sent. */
  void handleChunk(EntryChunk chunk, String sourceId) {
    EntryTransfer transfer = begun.get(new EntryId(chunk.key(), chunk.sequence(), chunk.epoch()));
    if (transfer != null) {
      transfer.handleChunk(chunk, sourceId);
    }
  }
}
