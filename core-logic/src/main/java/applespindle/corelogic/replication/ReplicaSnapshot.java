package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * One key's replica as it is sent to a joining replica.
 *
 * @param promisedEpoch the epoch below which the source refuses messages
 * @param committedSequence how far the source knows the log to be committed
 * @param partial whether the first entry is one that the joining replica said it holds, and entries
 *     before it are left out
 * @param entries contiguous by sequence; not empty if partial
 */
public record ReplicaSnapshot(
    String key,
    @JsonProperty("promised") Epoch promisedEpoch,
    @JsonProperty("committed") long committedSequence,
    boolean partial,
    List<LogEntry> entries) {
  /** The same with other entries. */
  public ReplicaSnapshot withEntries(List<LogEntry> replacement) {
    return new ReplicaSnapshot(key, promisedEpoch, committedSequence, partial, replacement);
  }
}
