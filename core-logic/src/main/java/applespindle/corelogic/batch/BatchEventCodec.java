package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.log.DeflatedEvents;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/** The bytes of a batch's event in its log: JSON, deflated where it is large. */
public final class BatchEventCodec {
  private BatchEventCodec() {}

  public static byte[] encode(BatchEvent event) {
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
