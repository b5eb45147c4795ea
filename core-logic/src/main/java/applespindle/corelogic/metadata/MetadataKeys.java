package applespindle.corelogic.metadata;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.ShardConstants;

/**
 * The names of the replicated keys. The control plane holds {@link #MEMBERSHIP} and all keys of
 * metadata; storage nodes hold the keys of batches and of once-ids. These names are stored in logs
 * and sent between processes, and never change.
 */
public final class MetadataKeys {
  /** The routing configuration in force. */
  public static final String CONFIGURATION = "bundle";

  /** The external list of workers as one value; workers registered one by one have own keys. */
  public static final String WORKER_LIST = "workers";

  /** Apart from the keys of single workers, which begin with {@link #WORKER_PREFIX}. */
  public static final String WORKER_LIST_VERSION = "worker-list";

  /** The members of the control plane's quorum. */
  public static final String MEMBERSHIP = "roster";

  /** The capacity that each open batch still takes. */
  public static final String BATCH_CAPACITY = "batch-room";

  /** The edges whose acknowledgements count. */
  public static final String EDGE_LIST = "edges";

  public static final String MEMBER_PREFIX = "member/";
  public static final String WORKER_PREFIX = "worker/";
  public static final String SHARD_PREFIX = "shard/";
  public static final String STORAGE_PREFIX = "storage/";
  public static final String BATCH_PREFIX = "batch/";
  public static final String ONCE_PREFIX = "once/";

  private MetadataKeys() {}

  /** The key of the shard that replicates a key of a batch or of a once-id. */
  public static String shardOf(String key) {
    return SHARD_PREFIX + Math.floorMod(RendezvousHashing.hash(key), ShardConstants.SHARD_COUNT);
  }

  /** Whether an update of this key must be in force before it is acknowledged. */
  public static boolean mustBeInForce(String key) {
    return key.equals(CONFIGURATION) || key.equals(EDGE_LIST) || key.startsWith(WORKER_PREFIX);
  }
}
