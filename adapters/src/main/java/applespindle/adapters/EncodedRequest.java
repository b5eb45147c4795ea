package applespindle.adapters;

import applespindle.corelogic.constants.ClientConnectionConstants;
import io.activej.bytebuf.ByteBuf;

/**
 * A request as it is written to a worker. A large body is not copied for it: it is written part by
 * part from the client's own, which the request keeps for a retry at another worker.
 *
 * @param head the request line and the headers, with the empty line behind them
 */
record EncodedRequest(byte[] head, byte[] body) {
  /** How many writes the request takes. */
  int parts() {
    int bytes = head.length + body.length;
    int most = ClientConnectionConstants.MAX_BODY_WRITE_BYTES;
    return bytes <= most ? 1 : 1 + (body.length + most - 1) / most;
  }

  /** One part; the first is the head, with the body if both are small. */
  ByteBuf part(int index) {
    if (index == 0) {
      return ByteBuf.wrapForReading(parts() == 1 ? joined() : head);
    }
    int from = (index - 1) * ClientConnectionConstants.MAX_BODY_WRITE_BYTES;
    int to = Math.min(body.length, from + ClientConnectionConstants.MAX_BODY_WRITE_BYTES);
    return ByteBuf.wrap(body, from, to);
  }

  private byte[] joined() {
    byte[] joined = new byte[head.length + body.length];
    System.arraycopy(head, 0, joined, 0, head.length);
    System.arraycopy(body, 0, joined, head.length, body.length);
    return joined;
  }
}
