package applespindle.corelogic.metadata;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.ShardConstants;

/**
 * The names of the replicated keys. The control plane's members replicate {@link #MEMBERSHIP} and
 * all keys of metadata; storage nodes replicate the keys of batches and of idempotency ids.
 *
 * <p>Invariant: the names are stored in logs and sent between processes, so they never change.
 */
public final class MetadataKeys {
  /** The current routing configuration. */
  public static final String CONFIGURATION = "bundle";

  /** The external list of workers as one value; workers registered singly have own keys. */
  public static final String WORKER_LIST = "workers";

  /** The version of the worker list; it has no {@link #WORKER_PREFIX}, as it is no worker. */
  public static final String WORKER_LIST_VERSION = "worker-list";

  /** The members of the control plane's quorum. */
  public static final String MEMBERSHIP = "roster";

  /** The capacity that open batches occupy. */
  public static final String BATCH_CAPACITY = "batch-room";

  /** The edges that form a quorum; see {@link EdgeList}. */
  public static final String EDGE_LIST = "edges";

  /**
   * Followed by the name of a duty at the platform. The values concern the control plane alone and
   * are not published.
   */
  public static final String DUTY_PREFIX = "duty/";

  /** The duty of reporting usage. */
  public static final String USAGE_DUTY = DUTY_PREFIX + "usage";

  /** The duty of ordering workers. */
  public static final String SCALE_DUTY = DUTY_PREFIX + "scale";

  /** Followed by a node id: the registration of the node. */
  public static final String MEMBER_PREFIX = "member/";

  /** Followed by a worker id: the registration of the worker. */
  public static final String WORKER_PREFIX = "worker/";

  /** Followed by a shard number: the replicas of the shard. */
  public static final String SHARD_PREFIX = "shard/";

  /** Followed by a storage node's id: its state as set by operators. */
  public static final String STORAGE_PREFIX = "storage/";

  /** Followed by a batch id. */
  public static final String BATCH_PREFIX = "batch/";

  /** Followed by an idempotency id. */
  public static final String ONCE_PREFIX = "once/";

  private MetadataKeys() {}

  /** The metadata key of the shard that holds this key of a batch or of an idempotency id. */
  public static String shardOf(String key) {
    return SHARD_PREFIX + Math.floorMod(RendezvousHashing.hash(key), ShardConstants.SHARD_COUNT);
  }

  /** Whether an update of this key is acknowledged only once edges apply it. */
  public static boolean requiresEdgeAcknowledgement(String key) {
    return key.equals(CONFIGURATION) || key.equals(EDGE_LIST) || key.startsWith(WORKER_PREFIX);
  }
}
