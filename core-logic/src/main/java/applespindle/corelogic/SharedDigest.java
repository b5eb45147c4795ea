package applespindle.corelogic;

import applespindle.corelogic.Message.FeedItem;

/**
 * Sum over a table's shared keys of a mix of key and sequence. Two tables with equal ones hold the
 * same values, so that neither side need send them: with hundreds of routes they are hundreds of
 * kilobytes. Members are not among the shared keys: they come and go all the time, and nobody's yes
 * rests on them.
 */
final class SharedDigest {
  private long sum;

  static boolean covers(String key) {
    return !key.startsWith(MetadataKeys.MEMBER_PREFIX);
  }

  /** A value took the place of an older one; known is null where the key is new. */
  void replaced(FeedItem known, FeedItem newer) {
    if (covers(newer.key())) {
      sum += mixOf(newer) - (known == null ? 0 : mixOf(known));
    }
  }

  long value() {
    return sum;
  }

  private static long mixOf(FeedItem item) {
    return Rendezvous.hash(item.key() + " " + item.sequence());
  }
}
