package applespindle.corelogic.replication;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.EntryChunk;
import applespindle.corelogic.protocol.MessageSender;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The sections of large entries that a node fetches: a few at a time, those of the lowest priority
 * number before the others, so that the bytes on their way and in memory are bounded however many
 * are wanted. A section that several callers want is fetched once.
 */
final class EntryTransfers {
  /** Identifies an entry among those of all logs. */
  record EntryId(String key, long sequence, Epoch epoch) {
    static EntryId of(String key, LogEntry entry) {
      return new EntryId(key, entry.sequence(), entry.epoch());
    }
  }

  /** Decides when the place of a transfer that has ended is free for the next one. */
  interface Pacing {
    /** Runs the release once there is room for another transfer. */
    void releaseWhenReady(Runnable release);
  }

  private final Environment environment;
  private final MessageSender sender;
  private final BoundedTasks transfers;
  private final Pacing pacing;
  private final Map<EntrySection, List<EntryTransfer.Listener>> listeners = new HashMap<>();

  /** The transfers that have begun. */
  private final Map<EntrySection, EntryTransfer> begun = new LinkedHashMap<>();

  EntryTransfers(Environment environment, MessageSender sender, int concurrent, Pacing pacing) {
    this.environment = environment;
    this.sender = sender;
    this.transfers = new BoundedTasks(concurrent);
    this.pacing = pacing;
  }

  /**
   * The transfers of a joining node: the next one begins only when what was written before is
   * synced, so that a slow disk slows them down.
   */
  static EntryTransfers pacedByDisk(Environment environment, MessageSender sender) {
    return new EntryTransfers(
        environment,
        sender,
        ReplicationConstants.MAX_CONCURRENT_ENTRY_TRANSFERS,
        release -> environment.schedule(0, () -> environment.write(List.of(), release)));
  }

  /**
   * Fetches a section of an entry's event.
   *
   * @param priority entries of the lowest number are fetched first
   * @param sources replicas that may hold the entry; the first one is asked first
   * @param listener gets the bytes or the failure
   */
  void fetch(
      long priority,
      EntrySection section,
      List<NodeAddress> sources,
      EntryTransfer.Listener listener) {
    List<EntryTransfer.Listener> present = listeners.get(section);
    if (present != null) {
      present.add(listener);
      return;
    }
    listeners.put(section, new ArrayList<>(List.of(listener)));
    transfers.submit(priority, () -> begin(section, sources));
  }

  private void begin(EntrySection section, List<NodeAddress> sources) {
    if (!isWanted(section)) {
      end(section).forEach(EntryTransfer.Listener::failed);
      return;
    }
    EntryTransfer transfer =
        new EntryTransfer(
            environment,
            sender,
            section,
            sources,
            new EntryTransfer.Listener() {
              @Override
              public boolean isWanted() {
                return EntryTransfers.this.isWanted(section);
              }

              @Override
              public void fetched(byte[] event) {
                end(section).forEach(each -> each.fetched(event));
              }

              @Override
              public void failed() {
                end(section).forEach(EntryTransfer.Listener::failed);
              }
            });
    begun.put(section, transfer);
    transfer.start();
  }

  private boolean isWanted(EntrySection section) {
    return listeners.get(section).stream().anyMatch(EntryTransfer.Listener::isWanted);
  }

  /** Forgets a transfer and returns who waits for it. */
  private List<EntryTransfer.Listener> end(EntrySection section) {
    begun.remove(section);
    List<EntryTransfer.Listener> waiting = listeners.remove(section);
    pacing.releaseWhenReady(transfers::release);
    return waiting;
  }

  /** Takes a chunk that a source sent. */
  void handleChunk(EntryChunk chunk, String sourceId) {
    for (EntryTransfer transfer : List.copyOf(begun.values())) {
      if (transfer.expects(chunk)) {
        transfer.handleChunk(chunk, sourceId);
      }
    }
  }
}
