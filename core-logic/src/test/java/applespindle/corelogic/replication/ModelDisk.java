package applespindle.corelogic.replication;

import applespindle.corelogic.log.LogRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A replica's log on disk. Writes are synced in order; a crash keeps any number of the first
 * unsynced records and loses the rest.
 */
final class ModelDisk implements StateText.Named {
  private record Pending(List<LogRecord> records, Runnable whenSynced) {}

  private final boolean slow;
  private final String configurationName;
  private final List<LogRecord> synced = new ArrayList<>();
  private final ArrayDeque<Pending> pending = new ArrayDeque<>();

  /** What a start would make of the synced records. */
  private LogReplicas recoverable;

  ModelDisk(boolean slow, String configurationName) {
    this.slow = slow;
    this.configurationName = configurationName;
    recoverable = emptyReplicas();
  }

  private LogReplicas emptyReplicas() {
    return new LogReplicas(
        null, (address, id, message) -> {}, (key, entry) -> {}, key -> configurationName);
  }

  void write(List<LogRecord> records, Runnable whenSynced) {
    pending.add(new Pending(records, whenSynced));
    if (!slow) {
      syncAll();
    }
  }

  boolean hasUnsynced() {
    return !pending.isEmpty();
  }

  /** Syncs the oldest write that isn't yet. */
  void syncOne() {
    Pending oldest = pending.poll();
    oldest.records().forEach(this::keep);
    oldest.whenSynced().run();
  }

  void syncAll() {
    while (hasUnsynced()) {
      syncOne();
    }
  }

  private void keep(LogRecord record) {
    synced.add(record);
    recoverable.recover(record);
  }

  int unsyncedRecords() {
    return pending.stream().mapToInt(each -> each.records().size()).sum();
  }

  /** The process ends; this many unsynced records happen to have reached the disk. */
  void crash(int kept) {
    List<LogRecord> unsynced =
        pending.stream().flatMap(each -> each.records().stream()).limit(kept).toList();
    pending.clear();
    unsynced.forEach(this::keep);
  }

  List<LogRecord> synced() {
    return synced;
  }

  LogReplicas recoverable() {
    return recoverable;
  }

  @Override
  public String stateName() {
    return "disk";
  }

  /** Synced records count by what a start makes of them, unsynced ones as they are. */
  void addTo(StateText text) {
    text.add(recoverable).add(pending);
  }
}
