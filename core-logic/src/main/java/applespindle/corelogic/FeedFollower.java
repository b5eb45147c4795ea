package applespindle.corelogic;

import applespindle.corelogic.Message.FeedFollow;
import applespindle.corelogic.Message.FeedItem;
import applespindle.corelogic.Message.FeedNews;
import applespindle.corelogic.Records.CoreMember;
import java.util.function.Consumer;

/**
 * Polls the change feeds of the other core members: the repair of whatever this node missed.
 * Invariant: the position in a feed only moves on by updates that start at or before it, or by a
 * snapshot.
 */
final class FeedFollower {
  private final Surroundings surroundings;
  private final Node.Place place;
  private final CoreMembership membership;
  private final CoreTable table;
  private final KeyReplicas.Replies sender;
  private final Consumer<FeedItem> learn;

  FeedFollower(
      Surroundings surroundings,
      Node.Place place,
      CoreMembership membership,
      CoreTable table,
      KeyReplicas.Replies sender,
      Consumer<FeedItem> learn) {
    this.surroundings = surroundings;
    this.place = place;
    this.membership = membership;
    this.table = table;
    this.sender = sender;
    this.learn = learn;
  }

  void pollAll() {
    membership.membersAndNewcomers().forEach(member -> poll(member.peerAddress()));
  }

  /** Polls the members and newcomers at this address, this node excepted. */
  void poll(String address) {
    membership.membersAndNewcomers().stream()
        .filter(member -> member.peerAddress().equals(address) && !member.id().equals(place.id()))
        .forEach(this::poll);
  }

  private void poll(CoreMember member) {
    CorePeer peer = membership.peer(member.peerAddress());
    long bundleSequence =
        table.has(MetadataKeys.CONFIGURATION)
            ? table.get(MetadataKeys.CONFIGURATION).sequence()
            : 0;
    sender.reply(
        member.peerAddress(),
        member.id(),
        new FeedFollow(
            peer.feedId,
            peer.feedIncarnation,
            peer.feedNumber,
            surroundings.now(),
            table.sharedDigest(),
            bundleSequence));
  }

  /** Takes a peer's updates; false if they do not follow on what is known of its feed. */
  boolean receive(FeedNews updates, String fromAddress) {
    CorePeer peer = membership.peers().get(fromAddress);
    if (peer == null || !continues(updates, peer)) {
      return false;
    }
    if (updates.echoedAt() != 0) {
      peer.newsAt = Math.max(peer.newsAt, updates.echoedAt());
    }
    peer.feedId = updates.coreId();
    peer.feedIncarnation = updates.incarnation();
    peer.feedNumber = updates.number();
    updates.items().forEach(learn);
    return true;
  }

  private static boolean continues(FeedNews updates, CorePeer peer) {
    return updates.checkpoint()
        || updates.coreId().equals(peer.feedId)
            && updates.incarnation() == peer.feedIncarnation
            && updates.fromNumber() <= peer.feedNumber;
  }
}
