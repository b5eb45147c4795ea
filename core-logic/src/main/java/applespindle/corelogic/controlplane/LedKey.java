package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.replication.ReplicatedLogLeader;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A key of the control plane that this node leads, with the state that its log describes.
 *
 * <p>State owned: the key's value, or for the batch capacity key its ledger; the end of the lease
 * if the key is that of a member; the caught-up reports if the key is that of a replica set.
 * Invariants: value and ledger include every event that was appended, committed or not; all of the
 * state ends with the leadership, and the next leader builds its own from the log.
 */
final class LedKey {
  private final ReplicatedLogLeader leader;

  /**
   * The last appended event, shared with the log; null before the first and always for the batch
   * capacity key. It is decoded when it is asked for, as a large value must not be held twice.
   */
  private byte[] valueEvent;

  /** The sequence of the value in the key's log; takeover entries may follow it. */
  private long valueSequence;

  /** The ledger of the batch capacity key; empty for every other key. */
  private final BatchCapacityLedger capacityLedger = new BatchCapacityLedger();

  /** For the key of a member: when its lease ends, in milliseconds of this node's clock. */
  private long leaseExpiresAtMs;

  /** For a changing replica set: the latest set number under which each node has caught up. */
  private final Map<String, Long> caughtUpVersions = new HashMap<>();

  /** The value as last decoded; null while it is not. */
  private Object decoded;

  LedKey(ReplicatedLogLeader leader) {
    this.leader = leader;
  }

  String key() {
    return leader.key;
  }

  ReplicatedLogLeader leader() {
    return leader;
  }

  // ---- value

  /** The value as JSON; JSON null if there is none yet. */
  JsonNode value() {
    return valueEvent == null ? JSON.nullNode() : Json.tree(valueEvent);
  }

  boolean hasValue() {
    return valueEvent != null;
  }

  /** The sequence of the value in the key's log. */
  long valueSequence() {
    return valueSequence;
  }

  /** The value as this type, null if there is none yet; decoded once for each value. */
  <T> T as(Class<T> type) {
    if (!type.isInstance(decoded)) {
      decoded = valueEvent == null ? null : Json.read(valueEvent, type);
    }
    return type.cast(decoded);
  }

  /** Applies an entry of the log that was read at the takeover. */
  void replay(LogEntry entry) {
    if (entry.isEpochStart()) {
      return;
    }
    if (key().equals(MetadataKeys.BATCH_CAPACITY)) {
      capacityLedger.replay(entry);
      return;
    }
    setValue(entry.event());
    valueSequence = entry.sequence();
  }

  /**
   * Appends a complete new value. The callback gets null once a majority has stored it, or an error
   * if that took too long or the leadership was lost.
   */
  void append(Object newValue, Consumer<ApiError> then) {
    byte[] event = Json.bytes(newValue);
    setValue(event);
    valueSequence = leader.append(true, event, then);
  }

  private void setValue(byte[] event) {
    valueEvent = event;
    decoded = null;
  }

  /**
   * The callback gets null once everything appended before is committed and a majority has
   * confirmed that this node still leads the key, or an error otherwise.
   */
  void confirmLeadership(Consumer<ApiError> then) {
    leader.confirmLeadership(then);
  }

  BatchCapacityLedger capacityLedger() {
    return capacityLedger;
  }

  // ---- lease of a member

  /** Lets the lease end at this time, in milliseconds of this node's clock. */
  void setLeaseExpiry(long expiresAtMs) {
    leaseExpiresAtMs = expiresAtMs;
  }

  void extendLease(long durationMs) {
    leaseExpiresAtMs += durationMs;
  }

  boolean isLeaseExpired(long nowMs) {
    return nowMs >= leaseExpiresAtMs;
  }

  // ---- catching up of a replica set's new members

  /** Records that a node has copied the data under this number of the replica set. */
  void recordCaughtUp(CaughtUpReport report) {
    caughtUpVersions.put(report.id(), report.number());
  }

  /** True if the node reported that it caught up under exactly this number of the replica set. */
  boolean hasCaughtUp(String id, long number) {
    return caughtUpVersions.getOrDefault(id, 0L) == number;
  }

  /** Called when a change of the replica set begins. */
  void forgetCaughtUpReports() {
    caughtUpVersions.clear();
  }
}
