package applespindle.corelogic.log;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * One entry of a key's log. A whole entry holds all state of the key by itself: once it is
 * committed, what stands before it may be dropped. An entry with an empty event marks a takeover.
 */
public record LogEntry(long sequence, Epoch epoch, boolean whole, byte[] event) {
  /** Whether this entry marks the start of a leader's epoch and changes nothing. */
  @JsonIgnore
  public boolean isTakeover() {
    return event.length == 0;
  }
}
