package applespindle.adapters;

/** A disk that can't be trusted or used; its cause, if any, is that of the failed operation. */
public final class DiskException extends RuntimeException {
  /** How the disk failed. */
  public enum Kind {
    /** A file that must be complete is not. */
    CORRUPT,
    /** The folder can't be opened, read or written to. */
    UNREADABLE,
    /** Another process has the folder open. */
    IN_USE,
    /** A sync failed, so that it is not known what is on the disk. */
    SYNC_FAILED
  }

  public final Kind kind;

  DiskException(Kind kind, String file, Throwable cause) {
    super(kind + " " + file, cause);
    this.kind = kind;
  }
}
