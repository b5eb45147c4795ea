package applespindle.adapters;

import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.constants.SizeLimits;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Deflates frames and inflates them: the length of the complete frame, then its bytes deflated. Not
 * safe for use by several threads.
 */
public final class FrameDeflation {
  /**
   * A flag in a frame's header, beside the length: what follows is the length of the inflated
   * frame, then the frame deflated.
   */
  public static final int DEFLATED = 1 << 31;

  static final int LENGTH_BYTES = 4;

  /** Made at the first large frame: a process that meets none keeps no memory for them. */
  private Deflater deflater;

  private Inflater inflater;

  /** Deflates a frame; one that gets no shorter comes back as it is. */
  public byte[] deflate(byte[] frame) {
    if (deflater == null) {
      deflater = new Deflater(Deflater.BEST_SPEED);
    }
    byte[] out = new byte[frame.length];
    ByteBuffer.wrap(out).putInt(frame.length);
    deflater.reset();
    deflater.setInput(frame);
    deflater.finish();
    int length = deflater.deflate(out, LENGTH_BYTES, out.length - LENGTH_BYTES);
    return deflater.finished() && LENGTH_BYTES + length < frame.length
        ? Arrays.copyOf(out, LENGTH_BYTES + length)
        : frame;
  }

  private static int mostInflatedBytes(int size) {
    return (int)
        Math.min(
            SizeLimits.MAX_FRAME_BYTES, (long) PeerConnectionConstants.MAX_INFLATE_RATIO * size);
  }

  /** The size of a deflated frame once it is inflated, as it says, within what is accepted. */
  static int inflatedBytes(byte[] bytes, int from, int size) {
    int length = ByteBuffer.wrap(bytes, from, LENGTH_BYTES).getInt();
    return Math.max(0, Math.min(length, mostInflatedBytes(size)));
  }

  /**
   * Inflates a frame.
   *
   * @param from where the deflated frame begins in bytes
   * @param size how many bytes it has there
   * @throws UnreadableFrameException if it is broken, or longer than a frame may be
   */
  public byte[] inflate(byte[] bytes, int from, int size) throws UnreadableFrameException {
    if (size <= LENGTH_BYTES) {
      throw new UnreadableFrameException(UnreadableFrameException.Kind.BROKEN);
    }
    int length = ByteBuffer.wrap(bytes, from, LENGTH_BYTES).getInt();
    if (length <= 0 || length > mostInflatedBytes(size)) {
      throw new UnreadableFrameException(UnreadableFrameException.Kind.TOO_LARGE);
    }
    if (inflater == null) {
      inflater = new Inflater();
    }
    inflater.reset();
    inflater.setInput(bytes, from + LENGTH_BYTES, size - LENGTH_BYTES);
    byte[] frame = new byte[length];
    try {
      boolean complete = inflater.inflate(frame) == length && inflater.inflate(new byte[1]) == 0;
      if (!complete || !inflater.finished() || inflater.getRemaining() > 0) {
        throw new UnreadableFrameException(UnreadableFrameException.Kind.BROKEN);
      }
    } catch (DataFormatException broken) {
      throw new UnreadableFrameException(UnreadableFrameException.Kind.BROKEN, broken);
    }
    return frame;
  }
}
