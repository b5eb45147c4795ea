package applespindle.corelogic.replication;

/**
 * The end of an election, with who leads the key as far as is known.
 *
 * @param leaderId empty if no quorum answered
 * @param leaderAddress empty if no quorum answered, or if this node leads
 */
public record ElectionOutcome(ElectionResult result, String leaderId, String leaderAddress) {}
