package applespindle.corelogic.controlplane;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.BatchCapacityChange;
import applespindle.corelogic.metadata.BatchCapacityUsage;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The unfinished items of every open batch, as the leader of the batch room's key counts them.
 * Invariant: a batch is listed only while it has unfinished items, and has a group only while it is
 * listed.
 */
final class BatchCapacityLedger {
  /** An event to append: one batch's change, or now and then the whole ledger. */
  record LedgerEvent(boolean whole, byte[] content) {}

  private final Map<String, Long> items = new LinkedHashMap<>();

  /** By batch, the group whose ceiling it counts against; absent for batches of prompts. */
  private final Map<String, String> groups = new HashMap<>();

  /** When the leader of each batch last spoke of it; only for the audit. */
  private final Map<String, Long> touchedAt = new HashMap<>();

  private int changesSinceWhole;

  void replay(LogEntry entry) {
    if (entry.snapshot()) {
      BatchCapacityUsage whole = Json.read(entry.event(), BatchCapacityUsage.class);
      items.clear();
      items.putAll(whole.items());
      groups.clear();
      groups.putAll(whole.groups());
      return;
    }
    BatchCapacityChange change = Json.read(entry.event(), BatchCapacityChange.class);
    apply(change.batch(), change.items(), change.group());
  }

  private void apply(String batch, long unfinished, String group) {
    if (unfinished == 0) {
      items.remove(batch);
      groups.remove(batch);
      return;
    }
    items.put(batch, unfinished);
    if (!group.isEmpty()) {
      groups.put(batch, group);
    }
  }

  /** Sets a batch's unfinished items; the event that records this is to be appended at once. */
  LedgerEvent set(String batch, long unfinished, String group) {
    apply(batch, unfinished, group);
    if (unfinished == 0) {
      touchedAt.remove(batch);
    }
    changesSinceWhole++;
    if (changesSinceWhole < ReplicationConstants.SNAPSHOT_INTERVAL_ENTRIES) {
      return new LedgerEvent(false, Json.bytes(new BatchCapacityChange(batch, unfinished, group)));
    }
    changesSinceWhole = 0;
    return new LedgerEvent(true, Json.bytes(new BatchCapacityUsage(items, groups)));
  }

  long itemsOf(String batch) {
    return items.getOrDefault(batch, 0L);
  }

  /** The group of a listed batch; empty for batches of prompts and for unknown ones. */
  String groupOf(String batch) {
    return groups.getOrDefault(batch, "");
  }

  /** Unfinished items of one group; the empty group is that of the batches of prompts. */
  long waitingOf(String group) {
    return items.entrySet().stream()
        .filter(entry -> groupOf(entry.getKey()).equals(group))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  long waiting() {
    return items.values().stream().mapToLong(Long::longValue).sum();
  }

  void touch(String batch, long now) {
    touchedAt.put(batch, now);
  }

  /** Batches whose leader has not spoken of them for the audit interval. */
  List<String> untouched(long now) {
    return items.keySet().stream()
        .filter(
            batch ->
                now - touchedAt.computeIfAbsent(batch, unseen -> now)
                    >= BatchConstants.CAPACITY_AUDIT_INTERVAL_MS)
        .toList();
  }
}
