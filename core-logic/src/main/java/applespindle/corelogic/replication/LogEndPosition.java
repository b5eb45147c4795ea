package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;

/** The last entry that a replica holds. Logs that hold the same one are the same up to it. */
public record LogEndPosition(long sequence, Epoch epoch) {}
