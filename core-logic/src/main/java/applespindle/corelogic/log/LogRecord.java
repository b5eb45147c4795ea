package applespindle.corelogic.log;

/**
 * One record of a process's log on disk. The kind is stored by its position: constants may be added
 * at the end, but not moved or removed.
 *
 * @param kind which of the other components have a meaning, and what it is
 * @param key the key of a replica, the id of a once-claim or the name of a configuration
 * @param epoch the promised epoch or that of an entry; of a once-claim, the token in place of a
 *     node's id; else {@link Epoch#NONE}
 * @param sequence the sequence of an entry or of the last committed one, or a version; else 0
 * @param snapshot whether an entry is a snapshot
 * @param content the event of an entry or the content of a membership; else empty
 */
public record LogRecord(
    Kind kind, String key, Epoch epoch, long sequence, boolean snapshot, Payload content) {
  /** A record with a payload in the heap; the array is not copied. */
  public LogRecord(
      Kind kind, String key, Epoch epoch, long sequence, boolean snapshot, byte[] payload) {
    this(kind, key, epoch, sequence, snapshot, Payload.of(payload));
  }

  /** The bytes of the payload, which may be read from the disk for it. */
  public byte[] payload() {
    return content.bytes();
  }

  /** The size of the payload; the disk is not read for it. */
  public int payloadBytes() {
    return content.length();
  }

  /** What a record says of its key. */
  public enum Kind {
    /** The replica refuses epochs below this one. */
    VOTE,
    /** The replica holds this entry. */
    ENTRY,
    /** The replica's log is committed up to this sequence. */
    COMMITTED,
    /** The once-id is claimed by this token, or free again if the token is empty. */
    ONCE_CLAIM,
    /** A membership of the control plane, or that this process has started for the first time. */
    MEMBERSHIP,
    /** Messages of older versions of the configuration are refused. */
    CONFIGURATION_VERSION
  }
}
