package applespindle.corelogic.changefeed;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.metadata.EdgeList;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.StorageNodeState;
import applespindle.corelogic.protocol.Message.ChangeFeedPoll;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The newest committed value that this node knows of each metadata key. Owns the records, and views
 * of those that are read often, which are decoded once when their record changes.
 *
 * <p>Invariant: the sequence of a key never falls; older values are ignored.
 */
public final class MetadataTable {
  private final Map<String, MetadataRecord> records = new TreeMap<>();
  private final SharedMetadataDigest sharedDigest = new SharedMetadataDigest();
  private final Map<String, NodeRegistration> members = new TreeMap<>();
  private final Map<String, ShardAssignment> shards = new TreeMap<>();
  private final Map<String, StorageNodeState> storageStates = new HashMap<>();
  private EdgeList edges;

  /**
   * By peer address, the id of the node that registered there last. Nodes registered there before
   * are gone for good, because their disk was lost or replaced.
   */
  private final Map<String, String> newestIdByAddress = new HashMap<>();

  /** The live members that are not superseded; null until computed after a change. */
  private List<NodeRegistration> live;

  /**
   * Takes over a committed value.
   *
   * @return false if this or a newer value of the key is known already
   */
  public boolean put(MetadataRecord metadataRecord) {
    MetadataRecord known = records.get(metadataRecord.key());
    if (known != null && known.sequence() >= metadataRecord.sequence()) {
      return false;
    }
    records.put(metadataRecord.key(), metadataRecord);
    sharedDigest.update(known, metadataRecord);
    updateView(metadataRecord);
    return true;
  }

  private void updateView(MetadataRecord metadataRecord) {
    String key = metadataRecord.key();
    byte[] value = metadataRecord.value();
    if (key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      updateMember(Json.read(value, NodeRegistration.class));
    } else if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      shards.put(key, Json.read(value, ShardAssignment.class));
    } else if (key.startsWith(MetadataKeys.STORAGE_PREFIX)) {
      String id = key.substring(MetadataKeys.STORAGE_PREFIX.length());
      storageStates.put(id, Json.read(value, StorageNodeState.class));
    } else if (key.equals(MetadataKeys.EDGE_LIST)) {
      edges = Json.read(value, EdgeList.class);
    }
  }

  private void updateMember(NodeRegistration member) {
    NodeRegistration before = members.put(member.id(), member);
    live = null;
    if (member.live() && before == null) {
      newestIdByAddress.put(member.peerAddress(), member.id());
    } else if (!member.live() && member.id().equals(newestIdByAddress.get(member.peerAddress()))) {
      findLiveMemberAt(member.peerAddress())
          .ifPresent(other -> newestIdByAddress.put(member.peerAddress(), other.id()));
    }
  }

  /** A live member at this address, superseded or not. */
  private Optional<NodeRegistration> findLiveMemberAt(String peerAddress) {
    return members.values().stream()
        .filter(member -> member.live() && member.peerAddress().equals(peerAddress))
        .findFirst();
  }

  /** The newest value of the key; null if none is known. */
  public MetadataRecord get(String key) {
    return records.get(key);
  }

  /** Whether a value of the key is known. */
  public boolean has(String key) {
    return records.containsKey(key);
  }

  /** The newest values of all keys, in order of their keys. */
  Collection<MetadataRecord> all() {
    return records.values();
  }

  /** The digest of the covered keys; see {@link SharedMetadataDigest}. */
  long sharedDigest() {
    return sharedDigest.value();
  }

  /** The values that a follower whose position in the feed is not known here may lack. */
  List<MetadataRecord> missingFrom(ChangeFeedPoll poll) {
    boolean sameShared = poll.sharedDigest() == sharedDigest.value();
    return records.values().stream()
        .filter(
            metadataRecord ->
                !(sameShared && SharedMetadataDigest.covers(metadataRecord.key()))
                    && !poll.holds(metadataRecord))
        .toList();
  }

  /** The newest values of the keys with this prefix, in order of their keys. */
  public Stream<MetadataRecord> withPrefix(String prefix) {
    return records.values().stream()
        .filter(metadataRecord -> metadataRecord.key().startsWith(prefix));
  }

  /** The registration of the node; null if none is known. */
  NodeRegistration member(String id) {
    return members.get(id);
  }

  /** The registrations of all nodes, live or not, in order of their ids. */
  public Collection<NodeRegistration> members() {
    return members.values();
  }

  /** The nodes that hold a lease and are not superseded, in order of their ids. */
  public List<NodeRegistration> live() {
    if (live == null) {
      live =
          members.values().stream()
              .filter(member -> member.live() && !isSuperseded(member.id()))
              .toList();
    }
    return live;
  }

  /** Those of {@link #live()} in this role. */
  public List<NodeRegistration> live(String role) {
    return live().stream().filter(member -> member.role().equals(role)).toList();
  }

  /** Whether another node has registered at this one's peer address since; false if unknown. */
  public boolean isSuperseded(String id) {
    NodeRegistration member = members.get(id);
    return member != null && !id.equals(newestIdByAddress.getOrDefault(member.peerAddress(), id));
  }

  /** The one of {@link #live()} at this peer address. */
  public Optional<NodeRegistration> liveAt(String peerAddress) {
    return live().stream().filter(member -> member.peerAddress().equals(peerAddress)).findFirst();
  }

  /** The shard assignments by metadata key; a live view that callers must not change. */
  public Map<String, ShardAssignment> shards() {
    return shards;
  }

  /** The state of a storage node; active if none was set. */
  public StorageNodeState storageState(String id) {
    return storageStates.getOrDefault(id, new StorageNodeState(id, "", StorageNodeState.ACTIVE));
  }

  /** Whether the storage node is neither being emptied nor retired. */
  public boolean isActive(String id) {
    return storageState(id).state().equals(StorageNodeState.ACTIVE);
  }

  /** The list of edges; null if none is known. */
  EdgeList edges() {
    return edges;
  }
}
