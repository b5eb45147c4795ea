package applespindle.corelogic;

/**
 * One entry of a key's log. A whole entry holds all state of the key by itself: once it is
 * committed, what stands before it may be dropped. An entry with an empty event marks a takeover.
 */
public record Entry(long sequence, Epoch epoch, boolean whole, byte[] event) {
  boolean isTakeover() {
    return event.length == 0;
  }
}
