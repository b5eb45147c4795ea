package applespindle.corelogic.controlplane;

import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.ShardReplica;
import applespindle.corelogic.metadata.StorageNodeState;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import java.util.Arrays;
import java.util.List;

/** Committed metadata of storage nodes and shards, for tests. */
final class ShardMetadataFixture {
  static final String SHARD = MetadataKeys.SHARD_PREFIX + "0";

  final MetadataTable table = new MetadataTable();
  final StorageNodeDirectory directory = new StorageNodeDirectory(table);
  private long sequence;

  /** Writes the registration of a storage node; not live ends its membership. */
  void register(String id, String zone, String address, boolean live) {
    put(
        MetadataKeys.MEMBER_PREFIX + id,
        new NodeRegistration(id, 1, "name-" + id, zone, "storage", address, "", live));
  }

  /** Registers live storage nodes, each in a zone of its own. */
  void registerLive(String... ids) {
    for (String id : ids) {
      register(id, "zone-" + id, "address-" + id, true);
    }
  }

  void end(String id) {
    register(id, "zone-" + id, "address-" + id, false);
  }

  void mark(String id, String state) {
    put(MetadataKeys.STORAGE_PREFIX + id, new StorageNodeState(id, "name-" + id, state));
  }

  /** The committed replica set of shard 0 with replicas on these nodes. */
  ShardAssignment assign(String... ids) {
    return assignTo(SHARD, ids);
  }

  ShardAssignment assignTo(String key, String... ids) {
    List<ShardReplica> replicas =
        Arrays.stream(ids).map(id -> new ShardReplica(id, "address-" + id, "zone-" + id)).toList();
    ShardAssignment shard = new ShardAssignment(1, replicas, List.of());
    put(key, shard);
    return shard;
  }

  static List<String> ids(List<ShardReplica> replicas) {
    return replicas.stream().map(ShardReplica::id).toList();
  }

  private void put(String key, Object value) {
    sequence++;
    table.put(new MetadataRecord(key, sequence, Json.bytes(value)));
  }
}
