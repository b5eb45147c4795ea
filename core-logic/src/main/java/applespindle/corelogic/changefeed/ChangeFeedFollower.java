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
  private final Environment environment;
  private final NodeIdentity identity;
  private final QuorumView quorum;
  private final MetadataTable table;
  private final MessageSender sender;
  private final Consumer<MetadataRecord> learn;

  ChangeFeedFollower(
      Environment environment,
      NodeIdentity identity,
      QuorumView quorum,
      MetadataTable table,
      MessageSender sender,
      Consumer<MetadataRecord> learn) {
    this.environment = environment;
    this.identity = identity;
    this.quorum = quorum;
    this.table = table;
    this.sender = sender;
    this.learn = learn;
  }

  void pollAll() {
    quorum.membersAndJoining().forEach(member -> poll(member.peerAddress()));
  }

  /** Polls the members and newcomers at this address, this node excepted. */
  void poll(String address) {
    quorum.membersAndJoining().stream()
        .filter(
            member -> member.peerAddress().equals(address) && !member.id().equals(identity.id()))
        .forEach(this::poll);
  }

  private void poll(QuorumMember member) {
    QuorumPeer peer = quorum.peer(member.peerAddress());
    long bundleSequence =
        table.has(MetadataKeys.CONFIGURATION)
            ? table.get(MetadataKeys.CONFIGURATION).sequence()
            : 0;
    sender.send(
        member.peerAddress(),
        member.id(),
        new ChangeFeedPoll(
            peer.feedId(),
            peer.feedIncarnation(),
            peer.feedPosition(),
            environment.nowMs(),
            table.sharedDigest(),
            bundleSequence));
  }

  /** Takes a peer's updates; false if they do not follow on what is known of its feed. */
  boolean handleUpdate(ChangeFeedUpdate update, String fromAddress) {
    QuorumPeer peer = quorum.peers().get(fromAddress);
    if (peer == null || !continues(update, peer)) {
      return false;
    }
    peer.recordFeedUpdate(update);
    update.records().forEach(learn);
    return true;
  }

  private static boolean continues(ChangeFeedUpdate update, QuorumPeer peer) {
    return update.snapshot()
        || update.sourceId().equals(peer.feedId())
            && update.incarnation() == peer.feedIncarnation()
            && update.fromPosition() <= peer.feedPosition();
  }
}
