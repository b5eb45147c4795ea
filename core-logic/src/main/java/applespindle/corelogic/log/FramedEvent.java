package applespindle.corelogic.log;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * The stored form of a large event: a header, which says all that a leader keeps in its heap, and
 * after it frames with the large values. Each frame is compressed by itself, so that one can be
 * read by its offset without the others.
 *
 * <p>Layout: the header as one deflated stream, the frames, and a trailer with the size of the
 * header and a mark. A reader that takes the bytes for a deflated event reads the header. The
 * header tells the sizes of the frames.
 */
public final class FramedEvent {
  private static final long MARK = 0x6672616d65730001L;
  private static final int TRAILER_BYTES = Integer.BYTES + Long.BYTES;

  private FramedEvent() {}

  /**
   * Joins a header and frames.
   *
   * @param plainHeader not deflated yet
   * @param frames as they are to be stored
   */
  public static byte[] join(byte[] plainHeader, List<byte[]> frames) {
    byte[] header = DeflatedEvents.deflate(plainHeader);
    int size = header.length + TRAILER_BYTES;
    for (byte[] frame : frames) {
      size += frame.length;
    }
    ByteBuffer out = ByteBuffer.allocate(size);
    out.put(header);
    frames.forEach(out::put);
    return out.putInt(header.length).putLong(MARK).array();
  }

  /**
   * The size of the header, which is the offset of the first frame; 0 if the bytes are an event of
   * another form.
   *
   * @param payload of which the end can be read
   */
  public static int headerBytes(Payload payload) {
    if (payload.length() < TRAILER_BYTES) {
      return 0;
    }
    int trailerAt = payload.length() - TRAILER_BYTES;
    ByteBuffer trailer = ByteBuffer.wrap(payload.slice(trailerAt, TRAILER_BYTES));
    int headerBytes = trailer.getInt();
    boolean framed = trailer.getLong() == MARK && headerBytes > 0 && headerBytes <= trailerAt;
    return framed ? headerBytes : 0;
  }

  /**
   * The offset of the first frame by the sizes in the header.
   *
   * @param eventBytes the size of the event
   * @param frameBytes the size of all frames
   */
  public static int firstFrameOffset(int eventBytes, int frameBytes) {
    return eventBytes - TRAILER_BYTES - frameBytes;
  }
}
