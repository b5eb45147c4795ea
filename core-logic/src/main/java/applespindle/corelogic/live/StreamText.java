package applespindle.corelogic.live;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;

/**
 * The text of one item's event stream, assembled over one or more attempts.
 *
 * <p>Holds the data of every complete event once, in order. Invariant: after an event with id n,
 * only an attempt that was asked to resume after n may add events. Confined to the logic thread.
 */
public final class StreamText {
  private static final String DATA_FIELD = "data:";

  private final StringBuilder text = new StringBuilder();
  private boolean hasData;
  private String lastEventId = "";

  /** False once an event without an id was added: no attempt can be asked to resume after it. */
  private boolean resumable = true;

  /** Creates an empty text for an attempt from the start. */
  public StreamText() {}

  /**
   * Creates the text that earlier attempts have brought.
   *
   * @param lastEventId id of the last event in the text; empty if there is none
   */
  public StreamText(String lastEventId, String text) {
    this.lastEventId = lastEventId;
    this.text.append(text);
    hasData = !text.isEmpty();
  }

  /** Adds a complete event unless it was added already. */
  public void add(ResponseChunk event) {
    if (event.eventId().isEmpty()) {
      resumable = false;
    } else if (!isAfter(event.eventId(), lastEventId)) {
      return;
    } else {
      lastEventId = event.eventId();
    }
    for (String line : new String(event.bytes(), UTF_8).split("\r\n|\n|\r")) {
      if (line.equals("data") || line.startsWith(DATA_FIELD)) {
        text.append(hasData ? "\n" : "").append(dataOf(line));
        hasData = true;
      }
    }
  }

  /** The value of a data line: what follows the colon, without one leading space. */
  private static String dataOf(String line) {
    String value = line.length() <= DATA_FIELD.length() ? "" : line.substring(DATA_FIELD.length());
    return value.startsWith(" ") ? value.substring(1) : value;
  }

  /** Ids that are numbers increase; of other ids only a repetition of the last is recognised. */
  private static boolean isAfter(String eventId, String earlierId) {
    try {
      return earlierId.isEmpty() || Long.parseLong(eventId) > Long.parseLong(earlierId);
    } catch (NumberFormatException notNumbered) {
      return !eventId.equals(earlierId);
    }
  }

  /**
   * Id of the event after which another attempt may resume; empty if it must start from the
   * beginning with a new text.
   */
  public String resumeAfter() {
    return resumable ? lastEventId : "";
  }

  /** The data of all events, joined by line feeds. */
  public String text() {
    return text.toString();
  }
}
