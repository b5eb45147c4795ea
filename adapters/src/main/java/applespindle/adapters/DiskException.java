package applespindle.adapters;

/** A disk that can not be trusted or used. */
public final class DiskException extends RuntimeException {
  /** How the disk failed. */
  public enum Kind {
    CORRUPT,
    UNREADABLE,
    IN_USE,
    SYNC_FAILED
  }

  public final Kind kind;

  DiskException(Kind kind, String file, Throwable cause) {
    super(kind + " " + file, cause);
    this.kind = kind;
  }
}
