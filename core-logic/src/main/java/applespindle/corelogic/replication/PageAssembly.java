package applespindle.corelogic.replication;

import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.Payload;
import applespindle.corelogic.metadata.NodeAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Completes one page of a catch-up: the events of its detached entries are taken from this node's
 * own replicas, where these hold them already, or fetched.
 *
 * <p>Invariant: one of the listener's methods runs, once.
 */
final class PageAssembly {
  /** Gets the page. */
  interface Listener {
    /** The snapshots of the page with all events. */
    void complete(List<ReplicaSnapshot> snapshots);

    /** An event is not to be had; the page has to be requested again. */
    void failed();
  }

  private record EntryPosition(String key, long sequence) {}

  private final LogReplicas replicas;
  private final ReplicaCatchUp.Page page;
  private final Listener listener;
  private final Map<EntryPosition, DetachedEntry> detached = new HashMap<>();
  private final Map<EntryPosition, Payload> fetched = new HashMap<>();
  private int missing;
  private boolean failed;

  PageAssembly(LogReplicas replicas, ReplicaCatchUp.Page page, Listener listener) {
    this.replicas = replicas;
    this.page = page;
    this.listener = listener;
    page.detachedEntries().forEach(entry -> detached.put(positionOf(entry), entry));
  }

  private static EntryPosition positionOf(DetachedEntry entry) {
    return new EntryPosition(entry.key(), entry.sequence());
  }

  /**
   * Fetches what is missing, or completes the page at once if nothing is.
   *
   * @param priority of the catch-up, among those of this node
   * @param stillPending whether the catch-up is still under way
   */
  void start(
      EntryTransfers transfers,
      long priority,
      List<NodeAddress> sources,
      BooleanSupplier stillPending) {
    List<DetachedEntry> toFetch =
        page.detachedEntries().stream().filter(entry -> heldEvent(entry).isEmpty()).toList();
    missing = toFetch.size();
    if (missing == 0) {
      complete();
    }
    for (DetachedEntry entry : toFetch) {
      EntrySection section = EntrySection.whole(entry);
      transfers.fetch(priority, section, sources, fetchListener(entry, stillPending));
    }
  }

  private EntryTransfer.Listener fetchListener(DetachedEntry entry, BooleanSupplier stillPending) {
    return new EntryTransfer.Listener() {
      @Override
      public boolean isWanted() {
        return !failed && stillPending.getAsBoolean();
      }

      @Override
      public void fetched(byte[] event) {
        fetched.put(positionOf(entry), Payload.of(event));
        missing--;
        if (missing == 0 && !failed) {
          complete();
        }
      }

      @Override
      public void failed() {
        fail();
      }
    };
  }

  private void fail() {
    if (!failed) {
      failed = true;
      listener.failed();
    }
  }

  private void complete() {
    List<ReplicaSnapshot> snapshots = new ArrayList<>();
    for (ReplicaSnapshot snapshot : page.snapshots()) {
      Optional<List<LogEntry>> entries = withEvents(snapshot);
      if (entries.isEmpty()) {
        fail();
        return;
      }
      snapshots.add(snapshot.withEntries(entries.get()));
    }
    listener.complete(snapshots);
  }

  /** The entries of a snapshot with their events; empty if one is not held any more. */
  private Optional<List<LogEntry>> withEvents(ReplicaSnapshot snapshot) {
    List<LogEntry> entries = new ArrayList<>();
    for (LogEntry entry : snapshot.entries()) {
      EntryPosition position = new EntryPosition(snapshot.key(), entry.sequence());
      DetachedEntry apart = detached.get(position);
      if (apart == null) {
        entries.add(entry);
        continue;
      }
      Optional<Payload> event =
          Optional.ofNullable(fetched.get(position)).or(() -> heldEvent(apart));
      if (event.isEmpty()) {
        return Optional.empty();
      }
      entries.add(new LogEntry(entry.sequence(), entry.epoch(), entry.snapshot(), event.get()));
    }
    return Optional.of(entries);
  }

  private Optional<Payload> heldEvent(DetachedEntry entry) {
    return replicas.heldEntry(entry.key(), entry.sequence(), entry.epoch()).map(LogEntry::payload);
  }
}
