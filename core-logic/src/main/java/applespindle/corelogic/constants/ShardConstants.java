package applespindle.corelogic.constants;

/** Shards and their replicas on storage nodes. Times are monotonic milliseconds. */
public final class ShardConstants {
  /**
   * Shards of the batch records: enough to spread over some tens of storage nodes, few enough to
   * follow.
   */
  public static final int SHARD_COUNT = 16;

  /** Replicas of a shard: survives the loss of any one disk. */
  public static final int DEFAULT_REPLICAS = 3;

  /**
   * A storage node without a grant for this long is replaced if there is a spare. With the grant's
   * length that is longer than a quick restart; with the copying it is shorter than the time until
   * the next may be lost.
   */
  public static final long REPLACEMENT_DELAY_MS = 500;

  /**
   * Shards one core node has under change at once: with three owners a few rounds move all of them
   * within seconds.
   */
  public static final int MAX_CONCURRENT_CHANGES = 4;

  /**
   * How soon the next step of such changes is taken: some that are done together are looked at
   * together.
   */
  public static final long MIN_CHECK_INTERVAL_MS = 10;

  /**
   * At how many of a core node's looks it balances at all, at random: so that two owners seldom do
   * so at once.
   */
  public static final int BALANCE_CHECK_ONE_IN = 8;

  private ShardConstants() {}
}
