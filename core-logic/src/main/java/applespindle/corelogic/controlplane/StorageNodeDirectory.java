package applespindle.corelogic.controlplane;

import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.StorageNodeState;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The storage nodes and the number of shard replicas on each, derived from the committed metadata
 * that this process knows. It owns no state; the answers may be older than the committed state of
 * the fleet, so a decision that must not be wrong reads the key at its leader instead.
 */
final class StorageNodeDirectory {
  static final String STORAGE_ROLE = "storage";

  /** Reported in place of "emptying" once no shard names the draining node any more. */
  private static final String DRAINED = "emptied";

  private final MetadataTable table;

  StorageNodeDirectory(MetadataTable table) {
    this.table = table;
  }

  /** Live storage nodes by id, in the order of the ids. */
  Map<String, NodeRegistration> live() {
    Map<String, NodeRegistration> live = new TreeMap<>();
    table.live(STORAGE_ROLE).forEach(member -> live.put(member.id(), member));
    return live;
  }

  /** Live storage nodes that accept new replicas: those neither draining nor retired. */
  List<NodeRegistration> active() {
    return table.live(STORAGE_ROLE).stream().filter(member -> table.isActive(member.id())).toList();
  }

  /** Number of current replicas by node id; a node without replicas is absent. */
  Map<String, Long> replicaCounts() {
    Map<String, Long> replicaCounts = new HashMap<>();
    for (ShardAssignment shard : table.shards().values()) {
      shard.replicas().forEach(replica -> replicaCounts.merge(replica.id(), 1L, Long::sum));
    }
    return replicaCounts;
  }

  /** Number of shards whose current or next replica set names the node. */
  int shardsNaming(String id) {
    return (int) table.shards().values().stream().filter(shard -> names(shard, id)).count();
  }

  /** True if the shard's current or next replica set names the node. */
  static boolean names(ShardAssignment shard, String id) {
    return shard.replicas().stream().anyMatch(replica -> replica.id().equals(id))
        || shard.nextReplicas().stream().anyMatch(replica -> replica.id().equals(id));
  }

  /**
   * Number of active storage nodes besides this one. A node that holds replicas and is unreachable
   * counts as well, because it is expected to come back.
   */
  int activeBesides(String id) {
    Set<String> others = new HashSet<>();
    active().forEach(member -> others.add(member.id()));
    replicaCounts().keySet().stream()
        .filter(each -> table.isActive(each) && !table.isSuperseded(each))
        .forEach(others::add);
    others.remove(id);
    return others.size();
  }

  /**
   * The id of the node with this id or name, empty if none is known. Several processes may have
   * used one name: the live one is preferred, then one that was not superseded at its address, then
   * the one with the most replicas.
   */
  Optional<String> findId(String idOrName) {
    Map<String, Long> replicaCounts = replicaCounts();
    return table.members().stream()
        .filter(member -> isStorage(member) && matches(member, idOrName))
        .max(
            Comparator.comparing((NodeRegistration member) -> member.id().equals(idOrName))
                .thenComparing(member -> member.live() && !table.isSuperseded(member.id()))
                .thenComparing(member -> !table.isSuperseded(member.id()))
                .thenComparing(member -> replicaCounts.getOrDefault(member.id(), 0L))
                .thenComparing(NodeRegistration::id))
        .map(NodeRegistration::id);
  }

  private static boolean isStorage(NodeRegistration member) {
    return member.role().equals(STORAGE_ROLE);
  }

  private static boolean matches(NodeRegistration member, String idOrName) {
    return member.id().equals(idOrName) || member.name().equals(idOrName);
  }

  /** Every storage node that ever registered, in the order of the ids. */
  List<StorageNodeSummary> summaries() {
    return table.members().stream()
        .filter(StorageNodeDirectory::isStorage)
        .map(this::summary)
        .toList();
  }

  private StorageNodeSummary summary(NodeRegistration member) {
    long shards = shardsNaming(member.id());
    String state = table.storageState(member.id()).state();
    boolean drained = state.equals(StorageNodeState.DRAINING) && shards == 0;
    return new StorageNodeSummary(
        member.id(),
        member.name(),
        member.zone(),
        member.live(),
        shards,
        drained ? DRAINED : state);
  }
}
