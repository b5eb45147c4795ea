package applespindle.corelogic.log;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One entry of a key's log. A whole entry holds all state of the key by itself: once it is
 * committed, what stands before it may be dropped. An entry with an empty event marks a takeover.
 */
public record LogEntry(
    long sequence, Epoch epoch, @JsonProperty("whole") boolean snapshot, byte[] event) {
  /** Whether this entry marks the start of a leader's epoch and changes nothing. */
  @JsonIgnore
  public boolean isEpochStart() {
    return event.length == 0;
  }
}
