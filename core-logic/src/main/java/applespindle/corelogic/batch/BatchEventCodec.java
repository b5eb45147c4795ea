package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.log.DeflatedEvents;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/** Encodes the events of a batch's log as JSON, deflated where that is large. */
public final class BatchEventCodec {
  private BatchEventCodec() {}

  /** The bytes to append to the log. */
  public static byte[] encode(BatchEvent event) {
    return DeflatedEvents.pack(Json.bytes(event));
  }

  /** Throws UncheckedIOException if the bytes are not an encoded event. */
  static BatchEvent decode(byte[] bytes) {
    try (InputStream in = DeflatedEvents.open(bytes)) {
      return JSON.readValue(in, BatchEvent.class);
    } catch (IOException error) {
      throw new UncheckedIOException("an event of a batch cannot be decoded", error);
    }
  }
}
