package applespindle.corelogic.replication;

/** A run of the model reached a state that a replicated log must never be in. */
final class InvariantViolation extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What must hold in every state. */
  enum Invariant {
    /** At most one value is committed at a sequence number. */
    ONE_VALUE,
    /** An acknowledged value is in the recoverable state of a majority of the replicas in force. */
    ACKNOWLEDGED_KEPT,
    /** A replica's promised epoch never falls, and a restart keeps what was sent to others. */
    PROMISE_KEPT,
    /** A confirmed read sees all that was acknowledged or read before it began. */
    READ_CURRENT,
    /** A leader's view holds each value of the log at its position, in order. */
    VIEW_IS_LOG,
    /** The logic throws no exception. */
    NO_EXCEPTION
  }

  private final transient Invariant invariant;

  InvariantViolation(Invariant invariant, String detail) {
    super(invariant + ": " + detail);
    this.invariant = invariant;
  }

  Invariant invariant() {
    return invariant;
  }
}
