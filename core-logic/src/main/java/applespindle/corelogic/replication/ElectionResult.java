package applespindle.corelogic.replication;

/** How an election with this node as the candidate ended. */
public enum ElectionResult {
  /** This node leads the key. */
  ELECTED,
  /** A replica has heard from another leader within its timeout. */
  LEADER_ALIVE,
  /** No quorum voted in time, or the leadership was lost before it was established. */
  NO_QUORUM
}
