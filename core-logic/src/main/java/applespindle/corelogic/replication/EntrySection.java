package applespindle.corelogic.replication;

/**
 * A section of an entry's event that is fetched from a replica.
 *
 * @param offset of the section in the event, in bytes
 * @param bytes the size of the section
 */
public record EntrySection(DetachedEntry entry, int offset, int bytes) {
  /** The whole event. */
  static EntrySection whole(DetachedEntry entry) {
    return new EntrySection(entry, 0, entry.bytes());
  }
}
