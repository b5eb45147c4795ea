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
 * The number of unfinished items of every open batch, as the leader of the batch capacity key
 * counts them. It is rebuilt from the key's log, in which a change of one batch is an event and a
 * snapshot of the ledger follows every so many changes.
 *
 * <p>Invariant: a batch is listed only while it has unfinished items, and has a group only while it
 * is listed.
 */
final class BatchCapacityLedger {
  /** An event to append: the change of one batch, or if complete, a snapshot of the ledger. */
  record LedgerEvent(boolean complete, byte[] content) {}

  /** Unfinished items by batch, in the order in which the batches were admitted. */
  private final Map<String, Long> items = new LinkedHashMap<>();

  /** By batch, the group whose ceiling it counts against; absent for batches of prompts. */
  private final Map<String, String> groups = new HashMap<>();

  /** When the leader of each batch last reported, in milliseconds; only for the audit. */
  private final Map<String, Long> touchedAt = new HashMap<>();

  private int changesSinceSnapshot;

  /** Applies an entry of the key's log. */
  void replay(LogEntry entry) {
    if (entry.snapshot()) {
      BatchCapacityUsage snapshot = Json.read(entry.event(), BatchCapacityUsage.class);
      items.clear();
      items.putAll(snapshot.items());
      groups.clear();
      groups.putAll(snapshot.groups());
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
    changesSinceSnapshot++;
    if (changesSinceSnapshot < ReplicationConstants.SNAPSHOT_INTERVAL_ENTRIES) {
      return new LedgerEvent(false, Json.bytes(new BatchCapacityChange(batch, unfinished, group)));
    }
    changesSinceSnapshot = 0;
    return new LedgerEvent(true, Json.bytes(new BatchCapacityUsage(items, groups)));
  }

  /** Unfinished items of the batch; 0 if it is not listed. */
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

  /** Unfinished items of all batches. */
  long waiting() {
    return items.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Notes that a batch's leader reported, or that its audit was requested, at this time. */
  void touch(String batch, long now) {
    touchedAt.put(batch, now);
  }

  /** The batches that were not touched for the audit interval. */
  List<String> untouched(long now) {
    return items.keySet().stream()
        .filter(
            batch ->
                now - touchedAt.computeIfAbsent(batch, unknown -> now)
                    >= BatchConstants.CAPACITY_AUDIT_INTERVAL_MS)
        .toList();
  }
}
