package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The state of a storage node as set by operators. A node without a record is active.
 *
 * <p>Invariant: the replicas of an emptying node move to other nodes, so every shard has all of its
 * replicas when the node is empty.
 *
 * @param id id of the node
 * @param name the configured name, for operators; may be empty
 * @param state one of {@link #ACTIVE}, {@link #DRAINING} and {@link #RETIRED}
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record StorageNodeState(String id, String name, String state) {
  /** The node may hold replicas. */
  public static final String ACTIVE = "active";

  /** The replicas of the node are being moved to other nodes. */
  public static final String DRAINING = "emptying";

  /** The node holds no replicas any more and gets none. */
  public static final String RETIRED = "retired";
}
