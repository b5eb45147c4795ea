package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.replication.ReplicatedLogLeader;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/**
 * A core key that this node leads. Invariant: value and room hold the state after every event that
 * was appended, whether it is committed by now or not; they are lost with the leadership.
 */
final class LedKey {
  final ReplicatedLogLeader leader;

  /** What the last appended event made of the key; null for the batch room, which has a ledger. */
  JsonNode value = JSON.nullNode();

  /** Position of that value in the key's log; takeovers may follow it. */
  long valueSequence;

  /** The ledger of the batch room; empty for every other key. */
  final BatchCapacityLedger capacityLedger = new BatchCapacityLedger();

  /** For the key of a member: when its lease ends, on this node's clock. */
  long leaseExpiresAt;

  /** For a replica set under change: the set number under which each newcomer has copied it. */
  final Map<String, Long> caughtUpVersions = new HashMap<>();

  private Object decoded;
  private JsonNode decodedFrom;

  LedKey(ReplicatedLogLeader key) {
    this.leader = key;
  }

  /** The value as its type, null if there is none yet; decoded once for each value. */
  <T> T as(Class<T> type) {
    if (decodedFrom != value) {
      decodedFrom = value;
      decoded = value.isNull() ? null : JSON.convertValue(value, type);
    }
    return type.cast(decoded);
  }

  /** Applies an entry of the log that was read at the takeover. */
  void replay(LogEntry entry) {
    if (entry.isEpochStart()) {
      return;
    }
    if (leader.key.equals(MetadataKeys.BATCH_CAPACITY)) {
      capacityLedger.replay(entry);
      return;
    }
    value = Json.tree(entry.event());
    valueSequence = entry.sequence();
  }
}
