package applespindle.adapters;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.zip.CRC32C;

/**
 * The frame round each record in a file of the log: length of the payload and CRC32C of type and
 * payload, both in four bytes, then a byte for the type, then the payload.
 */
final class LogFrame {
  /** Length, checksum and type. */
  static final int HEADER_BYTES = 4 + 4 + 1;

  static final byte TYPE_RECORD = 1;
  static final byte TYPE_END_OF_CHECKPOINT = 2;

  /**
   * Reads the next frame.
   *
   * @param remaining bytes that are left of the file
   * @return type and payload, or null if no complete frame with the right checksum stands here
   */
  static byte[] read(DataInputStream bytes, long remaining) throws IOException {
    if (remaining < HEADER_BYTES) {
      return null;
    }
    int length = bytes.readInt();
    int checksum = bytes.readInt();
    if (length < 0 || length + (long) HEADER_BYTES > remaining) {
      return null;
    }
    byte[] content = new byte[length + 1];
    bytes.readFully(content);
    return checksum(content) == checksum ? content : null;
  }

  /** The checksum of type and payload. */
  static int checksum(byte[] content) {
    CRC32C crc = new CRC32C();
    crc.update(content);
    return (int) crc.getValue();
  }

  /** The same of a type and a payload that stand apart. */
  static int checksum(byte type, byte[] payload) {
    CRC32C crc = new CRC32C();
    crc.update(type);
    crc.update(payload);
    return (int) crc.getValue();
  }

  private LogFrame() {}
}
