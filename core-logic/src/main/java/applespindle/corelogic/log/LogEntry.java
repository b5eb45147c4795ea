package applespindle.corelogic.log;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * One entry of a key's replicated log.
 *
 * @param sequence the position in the log, from 1 without gaps
 * @param epoch the epoch of the leader that appended the entry; never falls along the log
 * @param snapshot whether the event holds all state of the key by itself, so that entries before it
 *     may be dropped once it is committed
 * @param payload the event, deflated if it is large ({@link DeflatedEvents}); empty in the entry
 *     that begins a leader's epoch
 */
@JsonPropertyOrder({"sequence", "epoch", "whole", "event"})
public record LogEntry(
    long sequence,
    Epoch epoch,
    @JsonProperty("whole") boolean snapshot,
    @JsonIgnore Payload payload) {
  /** An entry with an event in the heap; the array is not copied. */
  @JsonCreator
  public LogEntry(
      @JsonProperty("sequence") long sequence,
      @JsonProperty("epoch") Epoch epoch,
      @JsonProperty("whole") boolean snapshot,
      @JsonProperty("event") byte[] event) {
    this(sequence, epoch, snapshot, Payload.of(event));
  }

  /** The bytes of the event, which may be read from the disk for it. */
  @JsonProperty("event")
  public byte[] event() {
    return payload.bytes();
  }

  /** The size of the event; the disk is not read for it. */
  @JsonIgnore
  public int eventBytes() {
    return payload.length();
  }

  /** The same entry with an event that stays readable, see {@link Payload#pinned}. */
  public LogEntry pinned() {
    return new LogEntry(sequence, epoch, snapshot, payload.pinned());
  }

  /** Whether this entry only begins a leader's epoch and changes no state. */
  @JsonIgnore
  public boolean isEpochStart() {
    return payload.length() == 0;
  }
}
