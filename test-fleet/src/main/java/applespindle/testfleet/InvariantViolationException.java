package applespindle.testfleet;

/** A step of a simulation broke an invariant; the message names key, node and what was seen. */
public final class InvariantViolationException extends RuntimeException {
  InvariantViolationException(String message) {
    super(message);
  }
}
