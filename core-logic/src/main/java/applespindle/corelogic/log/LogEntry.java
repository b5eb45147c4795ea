package applespindle.corelogic.log;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One entry of a key's replicated log.
 *
 * @param sequence the position in the log, from 1 without gaps
 * @param epoch the epoch of the leader that appended the entry; never falls along the log
 * @param snapshot whether the event holds all state of the key by itself, so that entries before it
 *     may be dropped once it is committed
 * @param event the event, deflated if it is large ({@link DeflatedEvents}); empty in the entry that
 *     begins a leader's epoch
 */
public record LogEntry(
    long sequence, Epoch epoch, @JsonProperty("whole") boolean snapshot, byte[] event) {
  /** Whether this entry only begins a leader's epoch and changes no state. */
  @JsonIgnore
  public boolean isEpochStart() {
    return event.length == 0;
  }
}
