package applespindle.corelogic.replication;

/** What the bounds of a model limit. All else may happen as often as it is possible. */
enum ModelEvent {
  /** A claimant begins to claim. */
  ELECTION,
  /** A leader appends a value. */
  APPEND,
  /** A leader begins a confirmed read. */
  READ,
  /** A timer fires. */
  TIMER,
  /** A claimant's clock moves on past every deadline. */
  CLOCK_JUMP,
  /** A message is delivered and stays in flight. */
  DUPLICATE,
  /** A replica crashes and starts again. */
  REPLICA_CRASH,
  /** A claimant crashes and starts again. */
  CANDIDATE_CRASH,
  /** A leader gives the register up. */
  RESIGNATION,
  /** A step of the one change of membership: it becomes pending, then it ends. */
  RECONFIGURATION
}
