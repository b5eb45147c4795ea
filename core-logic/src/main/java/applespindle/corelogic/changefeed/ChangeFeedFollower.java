package applespindle.corelogic.changefeed;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.membership.QuorumPeer;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message.ChangeFeedPoll;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import applespindle.corelogic.protocol.MessageSender;
import java.util.function.Consumer;

/**
 * Polls the change feeds of the other core members: the repair of whatever this node missed.
 * Invariant: the position in a feed only moves on by updates that start at or before it, or by a
 * snapshot.
 */
final class ChangeFeedFollower {
  private final Environment surroundings;
  private final NodeIdentity place;
  private final QuorumView membership;
  private final MetadataTable table;
  private final MessageSender sender;
  private final Consumer<MetadataRecord> learn;

  ChangeFeedFollower(
      Environment surroundings,
      NodeIdentity place,
      QuorumView membership,
      MetadataTable table,
      MessageSender sender,
      Consumer<MetadataRecord> learn) {
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

  private void poll(QuorumMember member) {
    QuorumPeer peer = membership.peer(member.peerAddress());
    long bundleSequence =
        table.has(MetadataKeys.CONFIGURATION)
            ? table.get(MetadataKeys.CONFIGURATION).sequence()
            : 0;
    sender.send(
        member.peerAddress(),
        member.id(),
        new ChangeFeedPoll(
            peer.feedId,
            peer.feedIncarnation,
            peer.feedNumber,
            surroundings.now(),
            table.sharedDigest(),
            bundleSequence));
  }

  /** Takes a peer's updates; false if they do not follow on what is known of its feed. */
  boolean receive(ChangeFeedUpdate updates, String fromAddress) {
    QuorumPeer peer = membership.peers().get(fromAddress);
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

  private static boolean continues(ChangeFeedUpdate updates, QuorumPeer peer) {
    return updates.checkpoint()
        || updates.coreId().equals(peer.feedId)
            && updates.incarnation() == peer.feedIncarnation
            && updates.fromNumber() <= peer.feedNumber;
  }
}
