package applespindle.corelogic.log;

/** One record of a process's log on disk. */
public record LogRecord(
    Kind kind, String key, Epoch epoch, long sequence, boolean snapshot, byte[] payload) {
  /** What a record says of its key. */
  public enum Kind {
    VOTE,
    ENTRY,
    COMMITTED,
    ONCE_CLAIM,
    MEMBERSHIP,
    CONFIGURATION_VERSION
  }
}
