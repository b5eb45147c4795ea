package applespindle.testfleet.history;

/** A step of a simulation broke an invariant; the message names key, node and what was seen. */
public final class InvariantViolationException extends RuntimeException {
  /** A violation; the message names the invariant and the nodes. */
  public InvariantViolationException(String message) {
    super(message);
  }
}
