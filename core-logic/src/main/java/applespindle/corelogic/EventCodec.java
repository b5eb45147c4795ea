package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/** The bytes of a batch's event in its log: JSON, deflated where it is large. */
final class EventCodec {
  private EventCodec() {}

  static byte[] encode(BatchEvent event) {
    return DeflatedEvents.pack(Json.bytes(event));
  }

  static BatchEvent decode(byte[] bytes) {
    try (InputStream in = DeflatedEvents.open(bytes)) {
      return JSON.readValue(in, BatchEvent.class);
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
  }
}
