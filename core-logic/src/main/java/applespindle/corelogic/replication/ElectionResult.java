package applespindle.corelogic.replication;

/** How an election of this node as a key's leader ended. */
public enum ElectionResult {
  ELECTED,
  LEADER_ALIVE,
  NO_QUORUM
}
