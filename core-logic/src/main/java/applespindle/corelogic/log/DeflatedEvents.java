package applespindle.corelogic.log;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Events of a log, deflated where they are large: a large event is compressed once, by the leader
 * that appends it, and not again for each replica, each disk and each election. Plain JSON, as
 * earlier versions wrote it, is still read.
 */
public final class DeflatedEvents {
  /** From this size on an event is deflated. */
  private static final int DEFLATED_FROM_BYTES = 4 << 10;

  /** The first byte of deflated bytes; the JSON of an event begins with a brace. */
  private static final byte ZLIB = 0x78;

  private DeflatedEvents() {}

  /** The bytes as they are, or deflated if they are large. */
  public static byte[] pack(byte[] plain) {
    return plain.length < DEFLATED_FROM_BYTES ? plain : deflate(plain);
  }

  /** The bytes as one deflated stream, however small they are. */
  static byte[] deflate(byte[] plain) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream deflated = new ByteArrayOutputStream(plain.length);
    try (OutputStream out = new DeflaterOutputStream(deflated, deflater)) {
      out.write(plain);
    } catch (IOException error) {
      throw new UncheckedIOException("events can't be deflated in memory", error);
    } finally {
      deflater.end();
    }
    return deflated.toByteArray();
  }

  /** The plain bytes of an event; they are inflated as they are read. */
  public static InputStream open(byte[] bytes) {
    InputStream in = new ByteArrayInputStream(bytes);
    return isDeflated(bytes) ? new InflaterInputStream(in) : in;
  }

  private static boolean isDeflated(LogEntry entry) {
    return entry.eventBytes() > 0 && isDeflated(entry.payload().slice(0, 1));
  }

  private static boolean isDeflated(byte[] bytes) {
    return bytes.length > 0 && bytes[0] == ZLIB;
  }

  /**
   * Whether most bytes of these entries are deflated, so that deflating them again gains nothing.
   */
  public static boolean mostlyDeflated(List<LogEntry> entries) {
    long all = 0;
    long deflated = 0;
    for (LogEntry entry : entries) {
      all += entry.eventBytes();
      deflated += isDeflated(entry) ? entry.eventBytes() : 0;
    }
    return deflated * 2 > all;
  }
}
