package applespindle.corelogic.batch;

import applespindle.corelogic.common.Json;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A proxied batch as its client wrote it. The edge that receives it does not read the body; only
 * the batch's leader does, once.
 *
 * @param id the client's own: the same id again is the same batch
 * @param body in the deployment's {@link BatchFormat}
 */
public record BatchSubmission(String id, String host, String path, byte[] body) {
  /**
   * First byte of an encoded submission. The previous version sent JSON instead, which never starts
   * with this byte.
   */
  private static final byte ENCODED = 1;

  /** The same batch in the product's own format. */
  public static BatchSubmission of(ProxiedBatch batch) {
    return new BatchSubmission(batch.id(), batch.host(), batch.path(), Json.bytes(batch));
  }

  /** A submission that is sent to the leader, with the number of the sender's configuration. */
  public record Forwarded(BatchSubmission submission, long configurationNumber) {
    /** The body of the request to the leader. */
    public byte[] encode() {
      byte[] id = bytes(submission.id);
      byte[] host = bytes(submission.host);
      byte[] path = bytes(submission.path);
      int size =
          1
              + Long.BYTES
              + 3 * Integer.BYTES
              + id.length
              + host.length
              + path.length
              + submission.body.length;
      ByteBuffer out = ByteBuffer.allocate(size);
      out.put(ENCODED).putLong(configurationNumber);
      putText(out, id);
      putText(out, host);
      putText(out, path);
      return out.put(submission.body).array();
    }

    /** Null where the bytes are not an encoded submission. */
    static Forwarded decode(byte[] bytes) {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      if (!in.hasRemaining() || in.get() != ENCODED) {
        return null;
      }
      long configurationNumber = in.getLong();
      String id = text(in);
      String host = text(in);
      String path = text(in);
      byte[] body = new byte[in.remaining()];
      in.get(body);
      return new Forwarded(new BatchSubmission(id, host, path, body), configurationNumber);
    }

    private static byte[] bytes(String text) {
      return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void putText(ByteBuffer out, byte[] text) {
      out.putInt(text.length).put(text);
    }

    private static String text(ByteBuffer in) {
      byte[] text = new byte[in.getInt()];
      in.get(text);
      return new String(text, StandardCharsets.UTF_8);
    }
  }
}
