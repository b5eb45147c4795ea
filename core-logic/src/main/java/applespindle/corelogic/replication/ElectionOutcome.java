package applespindle.corelogic.replication;

/**
 * The end of an election: who leads the key as far as is known. The owner is empty where no quorum
 * answered; its address is empty where it is this node.
 */
public record ElectionOutcome(ElectionResult result, String leaderId, String leaderAddress) {}
