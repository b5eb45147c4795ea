package applespindle.adapters;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.corelogic.constants.WorkerConnectionConstants;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import java.util.Arrays;
import java.util.function.Consumer;

/** Splits an event stream into complete events, bytes unchanged; each ends with its blank line. */
final class EventSplitter {
  private final Consumer<ResponseChunk> events;
  private byte[] bytes = new byte[512];
  private int length;
  private int lineFrom;
  private String eventId = "";

  EventSplitter(Consumer<ResponseChunk> events) {
    this.events = events;
  }

  /** False when an event is larger than any may be. */
  boolean take(byte[] from, int offset, int size) {
    if (length + size > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + size));
    }
    System.arraycopy(from, offset, bytes, length, size);
    int at = length;
    length += size;
    int eventFrom = 0;
    for (; at < length; at++) {
      if (bytes[at] != '\n') {
        continue;
      }
      int lineTo = at > lineFrom && bytes[at - 1] == '\r' ? at - 1 : at;
      if (lineTo > lineFrom) {
        noteId(lineFrom, lineTo);
      } else {
        events.accept(new ResponseChunk(eventId, Arrays.copyOfRange(bytes, eventFrom, at + 1)));
        eventId = "";
        eventFrom = at + 1;
      }
      lineFrom = at + 1;
    }
    if (eventFrom > 0) {
      System.arraycopy(bytes, eventFrom, bytes, 0, length - eventFrom);
      length -= eventFrom;
      lineFrom -= eventFrom;
    }
    return length <= WorkerConnectionConstants.MAX_EVENT_BYTES;
  }

  /** Nothing of a further event has come. */
  boolean isBetweenEvents() {
    return length == 0;
  }

  private void noteId(int from, int to) {
    if (to - from >= 3 && bytes[from] == 'i' && bytes[from + 1] == 'd' && bytes[from + 2] == ':') {
      eventId = new String(bytes, from + 3, to - from - 3, ISO_8859_1).strip();
    }
  }
}
