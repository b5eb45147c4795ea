package applespindle.corelogic.changefeed;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.protocol.Message.MetadataRecord;

/**
 * A digest of a metadata table: the sum of a hash of key and sequence over all covered keys. Two
 * tables with equal digests hold the same values of these keys, so a snapshot can leave them out;
 * with hundreds of routes they are hundreds of kilobytes.
 *
 * <p>Registrations of nodes are not covered: they change often, and no acknowledgement depends on
 * them.
 */
public final class SharedMetadataDigest {
  private long sum;

  /** Whether the digest covers this key. */
  public static boolean covers(String key) {
    return !key.startsWith(MetadataKeys.MEMBER_PREFIX);
  }

  /**
   * Takes a new value into the digest.
   *
   * @param known the value that it replaces; null if the key is new
   */
  public void update(MetadataRecord known, MetadataRecord newer) {
    if (covers(newer.key())) {
      sum += hashOf(newer) - (known == null ? 0 : hashOf(known));
    }
  }

  /** The digest; 0 for a table without covered keys. */
  public long value() {
    return sum;
  }

  private static long hashOf(MetadataRecord metadataRecord) {
    return RendezvousHashing.hash(metadataRecord.key() + " " + metadataRecord.sequence());
  }
}
