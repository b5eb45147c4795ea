package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * One key as it is sent to a newcomer. partial: the first entry is one that whoever asked said it
 * holds, and nothing before it is here.
 */
public record ReplicaSnapshot(
    String key,
    @JsonProperty("promised") Epoch promisedEpoch,
    @JsonProperty("committed") long committedSequence,
    boolean partial,
    List<LogEntry> entries) {}
