package applespindle.testfleet.soak;

import applespindle.adapters.FrameDeflation;
import applespindle.adapters.PeerCodec;
import applespindle.adapters.UnreadableFrameException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;

/**
 * Finds out from the first frame on a connection between processes which of them opened it; on the
 * relays' thread only.
 */
final class PeerSender implements RelayedConnection.Sender {
  private static final int HEAD_BYTES = 4;
  private static final String UNKNOWN = "unknown";
  private final Map<String, String> processes;
  private final PeerCodec codec = new PeerCodec();
  private final FrameDeflation deflation = new FrameDeflation();

  PeerSender(Map<String, String> processes) {
    this.processes = processes;
  }

  @Override
  public String name(byte[] begun) {
    if (begun.length < HEAD_BYTES) {
      return null;
    }
    int head = ByteBuffer.wrap(begun).getInt();
    int size = head & ~FrameDeflation.DEFLATED;
    if (begun.length - HEAD_BYTES < size) {
      return null;
    }
    try {
      byte[] frame =
          head == size
              ? Arrays.copyOfRange(begun, HEAD_BYTES, HEAD_BYTES + size)
              : deflation.inflate(begun, HEAD_BYTES, size);
      return processes.getOrDefault(codec.decode(frame).fromAddress(), UNKNOWN);
    } catch (UnreadableFrameException garbage) {
      return UNKNOWN;
    }
  }
}
