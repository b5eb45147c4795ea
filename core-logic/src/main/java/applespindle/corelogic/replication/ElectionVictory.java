package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import java.util.List;
import java.util.Map;

/**
 * What a candidate that has its quorum of votes starts to lead with.
 *
 * @param epoch the epoch that a quorum has voted for
 * @param log the most recent log among the voters; empty if no voter has an entry
 * @param lastSequenceByVoter by replica id of each voter, the last sequence of its log
 * @param establishBeforeMs when the leader's first entry has to be committed, in the environment's
 *     milliseconds
 */
record ElectionVictory(
    Epoch epoch,
    List<LogEntry> log,
    Map<String, Long> lastSequenceByVoter,
    long establishBeforeMs) {}
