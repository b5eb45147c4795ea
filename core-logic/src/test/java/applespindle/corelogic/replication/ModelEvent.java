package applespindle.corelogic.replication;

/** What the bounds of a model limit. All else may happen as often as it is possible. */
enum ModelEvent {
  /** A candidate starts an election. */
  ELECTION,
  /** A leader appends a value. */
  APPEND,
  /** A leader begins a confirmed read. */
  READ,
  /** A timer fires. */
  TIMER,
  /** A candidate's clock moves on past every deadline. */
  CLOCK_JUMP,
  /** A message is delivered and stays in flight. */
  DUPLICATE,
  /** A replica crashes and starts again. */
  REPLICA_CRASH,
  /** A candidate crashes and starts again. */
  CANDIDATE_CRASH,
  /** A leader resigns. */
  RESIGNATION,
  /** A step of the one change of the configuration: it becomes pending, then it ends. */
  RECONFIGURATION
}
