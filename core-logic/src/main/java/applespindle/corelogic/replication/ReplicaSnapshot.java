package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import java.util.List;

/**
 * One key as it is sent to a newcomer. partial: the first entry is one that whoever asked said it
 * holds, and nothing before it is here.
 */
public record ReplicaSnapshot(
    String key, Epoch promised, long committed, boolean partial, List<LogEntry> entries) {}
