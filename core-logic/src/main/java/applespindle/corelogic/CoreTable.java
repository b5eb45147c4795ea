package applespindle.corelogic;

import applespindle.corelogic.Message.FeedFollow;
import applespindle.corelogic.Message.FeedItem;
import applespindle.corelogic.Records.EdgeList;
import applespindle.corelogic.Records.Member;
import applespindle.corelogic.Records.Shard;
import applespindle.corelogic.Records.StorageState;
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
final class CoreTable {
  private final Map<String, FeedItem> items = new TreeMap<>();
  private final SharedDigest sharedDigest = new SharedDigest();
  private final Map<String, Member> members = new TreeMap<>();
  private final Map<String, Shard> shards = new TreeMap<>();
  private final Map<String, StorageState> storageStates = new HashMap<>();
  private EdgeList edges;

  /**
   * By peer address, the member that joined there last. One before it is gone for good: its disk
   * was lost or replaced.
   */
  private final Map<String, String> newestAt = new HashMap<>();

  private List<Member> live;

  /** False if this or a newer value is known. */
  boolean put(FeedItem item) {
    FeedItem known = items.get(item.key());
    if (known != null && known.sequence() >= item.sequence()) {
      return false;
    }
    items.put(item.key(), item);
    sharedDigest.replaced(known, item);
    String key = item.key();
    if (key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      fold(Json.read(item.value(), Member.class));
    } else if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      shards.put(key, Json.read(item.value(), Shard.class));
    } else if (key.startsWith(MetadataKeys.STORAGE_PREFIX)) {
      storageStates.put(
          key.substring(MetadataKeys.STORAGE_PREFIX.length()),
          Json.read(item.value(), StorageState.class));
    } else if (key.equals(MetadataKeys.EDGE_LIST)) {
      edges = Json.read(item.value(), EdgeList.class);
    }
    return true;
  }

  private void fold(Member member) {
    Member before = members.put(member.id(), member);
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

  FeedItem get(String key) {
    return items.get(key);
  }

  boolean has(String key) {
    return items.containsKey(key);
  }

  Collection<FeedItem> all() {
    return items.values();
  }

  long sharedDigest() {
    return sharedDigest.value();
  }

  /** What a follower whose place in the feed is not known here may lack. */
  List<FeedItem> lackedBy(FeedFollow follow) {
    boolean sameShared = follow.sharedDigest() == sharedDigest.value();
    return items.values().stream()
        .filter(item -> !(sameShared && SharedDigest.covers(item.key())) && !follow.holds(item))
        .toList();
  }

  Stream<FeedItem> under(String prefix) {
    return items.values().stream().filter(item -> item.key().startsWith(prefix));
  }

  Member member(String id) {
    return members.get(id);
  }

  Collection<Member> members() {
    return members.values();
  }

  List<Member> live() {
    if (live == null) {
      live =
          members.values().stream()
              .filter(member -> member.live() && !displaced(member.id()))
              .toList();
    }
    return live;
  }

  List<Member> live(String role) {
    return live().stream().filter(member -> member.role().equals(role)).toList();
  }

  /** Another member has joined at this one's address since. */
  boolean displaced(String id) {
    Member member = members.get(id);
    return member != null && !id.equals(newestAt.getOrDefault(member.peerAddress(), id));
  }

  Optional<Member> liveAt(String peerAddress) {
    return live().stream().filter(member -> member.peerAddress().equals(peerAddress)).findFirst();
  }

  /** By key. */
  Map<String, Shard> shards() {
    return shards;
  }

  StorageState storageState(String id) {
    return storageStates.getOrDefault(id, new StorageState(id, "", StorageState.ACTIVE));
  }

  boolean active(String id) {
    return storageState(id).state().equals(StorageState.ACTIVE);
  }

  EdgeList edges() {
    return edges;
  }
}
