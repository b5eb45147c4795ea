package applespindle.adapters;

/** Bytes that are no message of ours. */
public final class UnreadableFrameException extends Exception {
  /** Why the bytes could not be read. */
  public enum Kind {
    TOO_LARGE,
    TOO_SHORT,
    UNKNOWN_SCHEMA,
    UNKNOWN_MESSAGE,
    BROKEN
  }

  public final Kind kind;

  UnreadableFrameException(Kind kind) {
    super(kind.name(), null, false, false);
    this.kind = kind;
  }
}
