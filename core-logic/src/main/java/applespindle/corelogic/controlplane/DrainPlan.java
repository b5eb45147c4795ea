package applespindle.corelogic.controlplane;

import java.util.List;

/**
 * Where a drain of a storage node would move its replicas, as far as is known now.
 *
 * @param node the node's id
 * @param refused whether the drain would be refused because too few other nodes are active
 * @param moves one move for each replica on the node
 */
public record DrainPlan(String node, boolean refused, List<PlannedMove> moves) {
  /**
   * The move of one replica.
   *
   * @param shard the key of the shard
   * @param to the name of the node that would take the replica; empty if there is none now
   * @param waits whether the move has to wait for such a node
   */
  public record PlannedMove(String shard, String to, boolean waits) {}
}
