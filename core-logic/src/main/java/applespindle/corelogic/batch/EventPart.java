package applespindle.corelogic.batch;

/**
 * Where the contents of one item or result are in the batch's log.
 *
 * @param section the bytes to read
 * @param position of the item or result within the section
 */
public record EventPart(Section section, int position) {
  /**
   * A section of an event that can be decoded by itself.
   *
   * @param sequence of the log entry
   * @param offset of the section in the stored event
   * @param bytes the stored size
   * @param frame whether it is a frame; else it is a complete event
   */
  public record Section(long sequence, int offset, int bytes, boolean frame) {}
}
