package applespindle.adapters;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.log.LogRecord;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.HexFormat;
import java.util.zip.InflaterInputStream;

/**
 * One line of text for a record of a log, field by field. The words are the fixtures' own and do
 * not follow names in the code.
 */
final class StoredRecordText {
  /** First byte of a deflated payload. */
  private static final byte ZLIB = 0x78;

  static String of(LogRecord record) {
    return String.join(
        " ",
        kind(record),
        "key=" + record.key(),
        "epoch=" + record.epoch().counter() + "/" + record.epoch().node(),
        "sequence=" + record.sequence(),
        "whole=" + record.snapshot(),
        "payload=" + payload(record.payload()));
  }

  private static String kind(LogRecord record) {
    return switch (record.kind()) {
      case VOTE -> "promise";
      case ENTRY -> "entry";
      case COMMITTED -> "committed";
      case ONCE_CLAIM -> "once";
      case MEMBERSHIP -> "roster";
      case CONFIGURATION_VERSION -> "set";
    };
  }

  private static String payload(byte[] bytes) {
    if (bytes.length == 0) {
      return "none";
    }
    if (bytes[0] == '{') {
      return new String(bytes, UTF_8);
    }
    if (bytes[0] != ZLIB) {
      return "hex:" + HexFormat.of().formatHex(bytes);
    }
    try (InputStream inflated = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
      return "deflated:" + new String(inflated.readAllBytes(), UTF_8);
    } catch (IOException broken) {
      throw new IllegalStateException(broken);
    }
  }

  private StoredRecordText() {}
}
