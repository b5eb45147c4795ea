package applespindle.corelogic.controlplane;

/**
 * One row of the operators' list of storage nodes.
 *
 * @param live whether the node's lease is valid
 * @param shards the number of shards whose current or next replica set names the node
 * @param state "active", "emptying" while the node is draining, "emptied" once it is drained, or
 *     "retired"
 */
public record StorageNodeSummary(
    String id, String name, String zone, boolean live, long shards, String state) {}
