package applespindle.corelogic.live;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;

/**
 * The text of one item's event stream, put together over one or more runs. Holds the data of every
 * whole event once, in order; after event n only a run that was asked to go on behind n may add to
 * it.
 */
public final class StreamText {
  private static final String DATA_FIELD = "data:";

  private final StringBuilder text = new StringBuilder();
  private boolean hasData;
  private String lastEventId = "";

  /** False once an event without an id was taken: no run can be asked to go on behind it. */
  private boolean resumable = true;

  public StreamText() {}

  /** What was brought up to an event; nothing if that is empty. */
  public StreamText(String lastEventId, String text) {
    this.lastEventId = lastEventId;
    this.text.append(text);
    hasData = !text.isEmpty();
  }

  /** Takes a whole event; one that is held already is passed over. */
  public void add(ResponseChunk event) {
    if (event.eventId().isEmpty()) {
      resumable = false;
    } else if (!isBehind(event.eventId(), lastEventId)) {
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

  /** The value of a data line: what stands behind the colon, less one leading space. */
  private static String dataOf(String line) {
    String value = line.length() <= DATA_FIELD.length() ? "" : line.substring(DATA_FIELD.length());
    return value.startsWith(" ") ? value.substring(1) : value;
  }

  /** Ids that are numbers rise; of others only a repeat is told. */
  private static boolean isBehind(String eventId, String earlierId) {
    try {
      return earlierId.isEmpty() || Long.parseLong(eventId) > Long.parseLong(earlierId);
    } catch (NumberFormatException notNumbered) {
      return !eventId.equals(earlierId);
    }
  }

  /** Behind which event another run may go on; empty: only from the start, with a new text. */
  public String resumeAfter() {
    return resumable ? lastEventId : "";
  }

  public String text() {
    return text.toString();
  }
}
