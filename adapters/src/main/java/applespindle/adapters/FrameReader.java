package applespindle.adapters;

import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.constants.SizeLimits;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits the bytes of one connection from a peer into frames. Invariant: between calls the buffer
 * holds the beginning of one frame that is not complete yet. On the peer thread.
 */
public final class FrameReader {
  private static final int INITIAL_CAPACITY_BYTES = 4 << 10;

  /** Takes what is read, in order. */
  public interface Listener {
    /** A frame of no bytes, which asks for the same. */
    void keepalive();

    /** A complete frame, inflated. */
    void frame(byte[] frame) throws UnreadableFrameException;
  }

  private final FrameDeflation deflation;
  private final Listener listener;
  private byte[] buffer = new byte[INITIAL_CAPACITY_BYTES];
  private int length;

  /**
   * A reader for one connection; the listener is called on its thread, once for each whole frame.
   */
  public FrameReader(FrameDeflation deflation, Listener listener) {
    this.deflation = deflation;
    this.listener = listener;
  }

  /** Adds the next bytes of the connection; the array stays the caller's. */
  public void add(byte[] bytes, int offset, int size) {
    if (length + size > buffer.length) {
      int frame = PeerFrame.HEADER_BYTES + incompleteFrameBytes();
      int grown = frame > PeerFrame.HEADER_BYTES ? frame : buffer.length * 2;
      buffer = Arrays.copyOf(buffer, Math.max(grown, length + size));
    }
    System.arraycopy(bytes, offset, buffer, length, size);
    length += size;
  }

  /**
   * Passes on all frames that are complete.
   *
   * @throws UnreadableFrameException if a frame is too long or broken; the connection is of no more
   *     use then
   */
  public void readFrames() throws UnreadableFrameException {
    int offset = 0;
    while (length - offset >= PeerFrame.HEADER_BYTES) {
      int header = ByteBuffer.wrap(buffer, offset, PeerFrame.HEADER_BYTES).getInt();
      int size = PeerFrame.length(header);
      if (size > SizeLimits.MAX_FRAME_BYTES) {
        throw new UnreadableFrameException(UnreadableFrameException.Kind.TOO_LARGE);
      }
      if (length - offset - PeerFrame.HEADER_BYTES < size) {
        break;
      }
      readFrame(header, offset + PeerFrame.HEADER_BYTES, size);
      offset += PeerFrame.HEADER_BYTES + size;
    }
    if (offset > 0) {
      discard(offset);
    }
  }

  /**
   * The bytes of heap that it takes to read the frame whose beginning is held and to inflate it, as
   * the frame says; 0 if there is none or its beginning doesn't say it yet.
   */
  int incompleteFrameHeapBytes() {
    int frameBytes = incompleteFrameBytes();
    int header = frameBytes == 0 ? 0 : ByteBuffer.wrap(buffer, 0, PeerFrame.HEADER_BYTES).getInt();
    if (!PeerFrame.isDeflated(header)) {
      return frameBytes;
    }
    return length < PeerFrame.HEADER_BYTES + FrameDeflation.LENGTH_BYTES
        ? 0
        : frameBytes + FrameDeflation.inflatedBytes(buffer, PeerFrame.HEADER_BYTES, frameBytes);
  }

  /**
   * The size of the frame whose beginning is held, as its header says; 0 if there is none or its
   * header is not complete.
   */
  private int incompleteFrameBytes() {
    if (length < PeerFrame.HEADER_BYTES) {
      return 0;
    }
    int header = ByteBuffer.wrap(buffer, 0, PeerFrame.HEADER_BYTES).getInt();
    return Math.min(PeerFrame.length(header), SizeLimits.MAX_FRAME_BYTES);
  }

  private void readFrame(int header, int from, int size) throws UnreadableFrameException {
    if (size == 0) {
      listener.keepalive();
    } else if (PeerFrame.isDeflated(header)) {
      listener.frame(deflation.inflate(buffer, from, size));
    } else {
      listener.frame(Arrays.copyOfRange(buffer, from, from + size));
    }
  }

  /** Drops the frames that were read; a buffer that a large one has grown is not kept. */
  private void discard(int size) {
    length -= size;
    if (buffer.length > PeerConnectionConstants.MAX_WRITE_BYTES
        && length <= INITIAL_CAPACITY_BYTES) {
      buffer = Arrays.copyOfRange(buffer, size, size + INITIAL_CAPACITY_BYTES);
    } else {
      System.arraycopy(buffer, size, buffer, 0, length);
    }
  }
}
