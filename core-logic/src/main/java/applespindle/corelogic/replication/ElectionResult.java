package applespindle.corelogic.replication;

/** How an election of this node as a key's leader ended. */
public enum ElectionResult {
  OWNED,
  BUSY,
  NO_MAJORITY
}
