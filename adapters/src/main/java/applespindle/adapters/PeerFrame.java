package applespindle.adapters;

/**
 * One frame as it is written to a peer: a header of four bytes, which is the length of what follows
 * and whether that is deflated, then the bytes. A frame of no bytes is a keepalive: the other side
 * answers it by the same.
 */
public record PeerFrame(int header, byte[] bytes) {
  public static final int HEADER_BYTES = 4;
  static final PeerFrame KEEPALIVE = new PeerFrame(0, new byte[0]);

  /** A frame of bytes that are written as they are. */
  static PeerFrame plain(byte[] bytes) {
    return new PeerFrame(bytes.length, bytes);
  }

  /** A frame of bytes that {@link FrameDeflation} made. */
  static PeerFrame deflated(byte[] bytes) {
    return new PeerFrame(bytes.length | FrameDeflation.DEFLATED, bytes);
  }

  /** How many bytes follow a header. */
  static int length(int header) {
    return header & ~FrameDeflation.DEFLATED;
  }

  /** Whether the bytes that follow a header are deflated. */
  static boolean isDeflated(int header) {
    return header != length(header);
  }

  /** Bytes on the wire, header included. */
  public int size() {
    return HEADER_BYTES + bytes.length;
  }
}
