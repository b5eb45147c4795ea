package applespindle.corelogic.constants;

/** Shards and their replicas on storage nodes. Times are monotonic milliseconds. */
public final class ShardConstants {
  /**
   * Shards of the batch records: enough to spread over some tens of storage nodes, few enough to
   * keep track of.
   */
  public static final int SHARD_COUNT = 16;

  /** Replicas of a shard: the data survives the loss of any one disk. */
  public static final int DEFAULT_REPLICAS = 3;

  /**
   * Time without a lease after which a storage node is replaced if there is a spare. Together with
   * the lease duration this is longer than a quick restart; with the copying it is shorter than the
   * likely time until the next loss.
   */
  public static final long REPLACEMENT_DELAY_MS = 500;

  /**
   * Shards that one control plane node reconfigures at a time: with three leaders a few rounds move
   * all of them within seconds.
   */
  public static final int MAX_CONCURRENT_CHANGES = 4;

  /**
   * Least time before the next step of a reconfiguration: several that complete together are
   * handled by one check.
   */
  public static final long MIN_CHECK_INTERVAL_MS = 10;

  /**
   * A control plane node balances shards at one in this many of its checks, at random, so that two
   * leaders seldom do so at once.
   */
  public static final int BALANCE_CHECK_ONE_IN = 8;

  private ShardConstants() {}
}
