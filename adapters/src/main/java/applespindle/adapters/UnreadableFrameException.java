package applespindle.adapters;

/**
 * Bytes that are no message this build understands. Without a stack trace, as a peer can cause any
 * number of them.
 */
public final class UnreadableFrameException extends Exception {
  /** Why the bytes could not be read. */
  public enum Kind {
    /** Longer than a frame may be, as sent or once inflated. */
    TOO_LARGE,
    /** Too short to hold its own header. */
    TOO_SHORT,
    /** Of another schema, or of a version that is not adjacent to this build's. */
    UNKNOWN_SCHEMA,
    /** Of a type that is not known, or not the one that must stand here. */
    UNKNOWN_MESSAGE,
    /** A field has a value or length that it can't have. */
    BROKEN
  }

  /** Why the bytes could not be read. */
  public final Kind kind;

  UnreadableFrameException(Kind kind) {
    this(kind, null);
  }

  UnreadableFrameException(Kind kind, Throwable cause) {
    super(kind.name(), cause, false, false);
    this.kind = kind;
  }
}
