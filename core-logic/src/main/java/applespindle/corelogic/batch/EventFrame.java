package applespindle.corelogic.batch;

import applespindle.corelogic.log.DeflatedEvents;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The stored form of one frame of a large event: consecutive parts, deflated together.
 *
 * <p>Layout before it is deflated: {@link #VERSION}, then for each part the sizes of its JSON and
 * of its bytes as 32-bit integers and both of them.
 */
final class EventFrame {
  /** The first byte, which differs from that of deflated bytes. */
  private static final byte VERSION = 1;

  private static final int PART_PREFIX_BYTES = 2 * Integer.BYTES;

  /**
   * The contents of one item or result.
   *
   * @param json empty if there is none
   * @param bytes empty if there are none
   */
  record Part(byte[] json, byte[] bytes) {
    int size() {
      return PART_PREFIX_BYTES + json.length + bytes.length;
    }
  }

  private EventFrame() {}

  static byte[] encode(List<Part> parts) {
    int size = 1 + parts.stream().mapToInt(Part::size).sum();
    ByteBuffer out = ByteBuffer.allocate(size).put(VERSION);
    for (Part part : parts) {
      out.putInt(part.json().length).putInt(part.bytes().length);
      out.put(part.json()).put(part.bytes());
    }
    return DeflatedEvents.pack(out.array());
  }

  /** Throws UncheckedIOException if the bytes are not an encoded frame. */
  static List<Part> decode(byte[] stored) {
    ByteBuffer in = ByteBuffer.wrap(inflate(stored));
    if (in.get() != VERSION) {
      throw new UncheckedIOException(new IOException("a frame of an event cannot be decoded"));
    }
    List<Part> parts = new ArrayList<>();
    while (in.hasRemaining()) {
      byte[] json = new byte[in.getInt()];
      byte[] bytes = new byte[in.getInt()];
      in.get(json).get(bytes);
      parts.add(new Part(json, bytes));
    }
    return parts;
  }

  /**
   * The bytes of one part, which are inflated into the only array that is made of them.
   *
   * @param offset how many bytes of the array are left free before them
   * @return null if the part has no bytes
   */
  static byte[] decodeBytes(byte[] stored, int position, int offset) {
    try (DataInputStream in = new DataInputStream(DeflatedEvents.open(stored))) {
      if (in.readByte() != VERSION) {
        throw new IOException("a frame of an event cannot be decoded");
      }
      for (int part = 0; part < position; part++) {
        in.skipNBytes((long) in.readInt() + in.readInt());
      }
      int jsonBytes = in.readInt();
      int size = in.readInt();
      if (size == 0) {
        return null;
      }
      in.skipNBytes(jsonBytes);
      byte[] bytes = new byte[offset + size];
      in.readFully(bytes, offset, size);
      return bytes;
    } catch (IOException error) {
      throw new UncheckedIOException("a frame of an event cannot be inflated", error);
    }
  }

  private static byte[] inflate(byte[] stored) {
    try (InputStream in = DeflatedEvents.open(stored)) {
      return in.readAllBytes();
    } catch (IOException error) {
      throw new UncheckedIOException("a frame of an event cannot be inflated", error);
    }
  }
}
