package applespindle.corelogic.changefeed;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.protocol.Message.MetadataRecord;

/**
 * Sum over a table's shared keys of a mix of key and sequence. Two tables with equal ones hold the
 * same values, so that neither side need send them: with hundreds of routes they are hundreds of
 * kilobytes. Members are not among the shared keys: they come and go all the time, and nobody's yes
 * rests on them.
 */
public final class SharedMetadataDigest {
  private long sum;

  public static boolean covers(String key) {
    return !key.startsWith(MetadataKeys.MEMBER_PREFIX);
  }

  /** A value took the place of an older one; known is null where the key is new. */
  public void update(MetadataRecord known, MetadataRecord newer) {
    if (covers(newer.key())) {
      sum += mixOf(newer) - (known == null ? 0 : mixOf(known));
    }
  }

  public long value() {
    return sum;
  }

  private static long mixOf(MetadataRecord metadataRecord) {
    return RendezvousHashing.hash(metadataRecord.key() + " " + metadataRecord.sequence());
  }
}
