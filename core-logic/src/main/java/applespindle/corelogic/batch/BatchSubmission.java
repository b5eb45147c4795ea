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
   * First byte of an encoded submission without a tenant. An earlier version sent JSON instead,
   * which never starts with this byte, nor with {@link #ENCODED_WITH_TENANT}.
   */
  private static final byte ENCODED = 1;

  /** First byte of an encoded submission whose tenant's name follows the configuration's number. */
  private static final byte ENCODED_WITH_TENANT = 2;

  /** The same batch in the product's own format. */
  public static BatchSubmission of(ProxiedBatch batch) {
    return new BatchSubmission(batch.id(), batch.host(), batch.path(), Json.bytes(batch));
  }

  /**
   * A submission that is sent to the leader, with the number of the sender's configuration.
   *
   * @param tenant the name of the tenant that submits it, as the sender resolved its key; null if
   *     there is none. The key itself is never sent on
   */
  public record Forwarded(BatchSubmission submission, String tenant, long configurationNumber) {
    /** A submission without a tenant. */
    public Forwarded(BatchSubmission submission, long configurationNumber) {
      this(submission, null, configurationNumber);
    }

    /** The body of the request to the leader. */
    public byte[] encode() {
      byte[] owner = bytes(tenant == null ? "" : tenant);
      byte[] id = bytes(submission.id);
      byte[] host = bytes(submission.host);
      byte[] path = bytes(submission.path);
      int size =
          1
              + Long.BYTES
              + (tenant == null ? 3 : 4) * Integer.BYTES
              + owner.length
              + id.length
              + host.length
              + path.length
              + submission.body.length;
      ByteBuffer out = ByteBuffer.allocate(size);
      out.put(tenant == null ? ENCODED : ENCODED_WITH_TENANT).putLong(configurationNumber);
      if (tenant != null) {
        putText(out, owner);
      }
      putText(out, id);
      putText(out, host);
      putText(out, path);
      return out.put(submission.body).array();
    }

    /** Null where the bytes are not an encoded submission. */
    static Forwarded decode(byte[] bytes) {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      byte form = in.hasRemaining() ? in.get() : 0;
      if (form != ENCODED && form != ENCODED_WITH_TENANT) {
        return null;
      }
      long configurationNumber = in.getLong();
      String tenant = form == ENCODED_WITH_TENANT ? text(in) : null;
      String id = text(in);
      String host = text(in);
      String path = text(in);
      byte[] body = new byte[in.remaining()];
      in.get(body);
      return new Forwarded(new BatchSubmission(id, host, path, body), tenant, configurationNumber);
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
