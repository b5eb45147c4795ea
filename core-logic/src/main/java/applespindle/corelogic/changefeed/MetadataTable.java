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
 * The newest committed value known of each core key; sequences never fall. What is looked at often
 * is folded once, at its change.
 */
public final class MetadataTable {
  private final Map<String, MetadataRecord> items = new TreeMap<>();
  private final SharedMetadataDigest sharedDigest = new SharedMetadataDigest();
  private final Map<String, NodeRegistration> members = new TreeMap<>();
  private final Map<String, ShardAssignment> shards = new TreeMap<>();
  private final Map<String, StorageNodeState> storageStates = new HashMap<>();
  private EdgeList edges;

  /**
   * By peer address, the member that joined there last. One before it is gone for good: its disk
   * was lost or replaced.
   */
  private final Map<String, String> newestAt = new HashMap<>();

  private List<NodeRegistration> live;

  /** False if this or a newer value is known. */
  public boolean put(MetadataRecord metadataRecord) {
    MetadataRecord known = items.get(metadataRecord.key());
    if (known != null && known.sequence() >= metadataRecord.sequence()) {
      return false;
    }
    items.put(metadataRecord.key(), metadataRecord);
    sharedDigest.update(known, metadataRecord);
    String key = metadataRecord.key();
    if (key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      fold(Json.read(metadataRecord.value(), NodeRegistration.class));
    } else if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      shards.put(key, Json.read(metadataRecord.value(), ShardAssignment.class));
    } else if (key.startsWith(MetadataKeys.STORAGE_PREFIX)) {
      storageStates.put(
          key.substring(MetadataKeys.STORAGE_PREFIX.length()),
          Json.read(metadataRecord.value(), StorageNodeState.class));
    } else if (key.equals(MetadataKeys.EDGE_LIST)) {
      edges = Json.read(metadataRecord.value(), EdgeList.class);
    }
    return true;
  }

  private void fold(NodeRegistration member) {
    NodeRegistration before = members.put(member.id(), member);
    live = null;
    if (member.live() && before == null) {
      newestAt.put(member.peerAddress(), member.id());
    } else if (!member.live() && member.id().equals(newestAt.get(member.peerAddress()))) {
      members.values().stream()
          .filter(each -> each.live() && each.peerAddress().equals(member.peerAddress()))
          .findFirst()
          .ifPresent(each -> newestAt.put(member.peerAddress(), each.id()));
    }
  }

  public MetadataRecord get(String key) {
    return items.get(key);
  }

  public boolean has(String key) {
    return items.containsKey(key);
  }

  Collection<MetadataRecord> all() {
    return items.values();
  }

  long sharedDigest() {
    return sharedDigest.value();
  }

  /** What a follower whose place in the feed is not known here may lack. */
  List<MetadataRecord> missingFrom(ChangeFeedPoll poll) {
    boolean sameShared = poll.sharedDigest() == sharedDigest.value();
    return items.values().stream()
        .filter(
            metadataRecord ->
                !(sameShared && SharedMetadataDigest.covers(metadataRecord.key()))
                    && !poll.holds(metadataRecord))
        .toList();
  }

  public Stream<MetadataRecord> withPrefix(String prefix) {
    return items.values().stream()
        .filter(metadataRecord -> metadataRecord.key().startsWith(prefix));
  }

  NodeRegistration member(String id) {
    return members.get(id);
  }

  public Collection<NodeRegistration> members() {
    return members.values();
  }

  public List<NodeRegistration> live() {
    if (live == null) {
      live =
          members.values().stream()
              .filter(member -> member.live() && !isSuperseded(member.id()))
              .toList();
    }
    return live;
  }

  public List<NodeRegistration> live(String role) {
    return live().stream().filter(member -> member.role().equals(role)).toList();
  }

  /** Another member has joined at this one's address since. */
  public boolean isSuperseded(String id) {
    NodeRegistration member = members.get(id);
    return member != null && !id.equals(newestAt.getOrDefault(member.peerAddress(), id));
  }

  public Optional<NodeRegistration> liveAt(String peerAddress) {
    return live().stream().filter(member -> member.peerAddress().equals(peerAddress)).findFirst();
  }

  /** By key. */
  public Map<String, ShardAssignment> shards() {
    return shards;
  }

  public StorageNodeState storageState(String id) {
    return storageStates.getOrDefault(id, new StorageNodeState(id, "", StorageNodeState.ACTIVE));
  }

  public boolean isActive(String id) {
    return storageState(id).state().equals(StorageNodeState.ACTIVE);
  }

  EdgeList edges() {
    return edges;
  }
}
