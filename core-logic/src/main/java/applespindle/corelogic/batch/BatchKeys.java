package applespindle.corelogic.batch;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.metadata.MetadataKeys;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The ids of batches and the keys of their records: the same at every edge for one submission. */
public final class BatchKeys {
  private static final String PROXIED_ID_PREFIX = "o-";

  /**
   * Begins like every proxied id; what follows is no hexadecimal digit as in ids without tenant.
   */
  private static final String TENANT_ID_PREFIX = PROXIED_ID_PREFIX + "t-";

  private static final String PROMPT_ID_PREFIX = "b-";
  private static final int ID_DIGEST_LENGTH = 32;

  private BatchKeys() {}

  /** The id of a batch of prompts. */
  public static String batchId(String sender, String idempotencyKey) {
    return PROMPT_ID_PREFIX + shortDigest(sender.length() + ":" + sender + idempotencyKey);
  }

  /**
   * The id of a proxied batch; never that of a batch of prompts. Two tenants never share an id, so
   * that neither can reach a batch of the other.
   *
   * @param tenant the name of the tenant that owns the batch; null if none does
   * @param clientId the client's own id for the batch
   */
  public static String proxiedBatchId(String tenant, String clientId) {
    return tenant == null
        ? PROXIED_ID_PREFIX + shortDigest(clientId)
        : TENANT_ID_PREFIX + shortDigest(tenant.length() + ":" + tenant + clientId);
  }

  /** Whether this is the key of a proxied batch. */
  public static boolean isProxied(String key) {
    return key.startsWith(MetadataKeys.BATCH_PREFIX + PROXIED_ID_PREFIX);
  }

  /** The metadata key of the batch's log. */
  public static String keyOf(String batch) {
    return MetadataKeys.BATCH_PREFIX + batch;
  }

  /** The id of the batch with that key. */
  public static String batchOf(String key) {
    return key.substring(MetadataKeys.BATCH_PREFIX.length());
  }

  private static String shortDigest(String text) {
    return digest(text.getBytes(UTF_8)).substring(0, ID_DIGEST_LENGTH);
  }

  /** SHA-256 in hexadecimal digits. */
  public static String digest(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every Java runtime has SHA-256", missing);
    }
  }
}
