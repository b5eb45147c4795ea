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
 * Polls the change feeds of the other control plane members, so that this node learns whatever
 * pushed updates it missed. The position reached in each feed is kept in the {@link QuorumPeer}.
 *
 * <p>Invariant: the position in a feed moves on only by an update that starts at or before it, so
 * that no change is skipped, or by a snapshot.
 */
final class ChangeFeedFollower {
  private final Environment environment;
  private final NodeIdentity identity;
  private final QuorumView quorum;
  private final MetadataTable table;
  private final MessageSender sender;
  private final Consumer<MetadataRecord> recordListener;

  ChangeFeedFollower(
      Environment environment,
      NodeIdentity identity,
      QuorumView quorum,
      MetadataTable table,
      MessageSender sender,
      Consumer<MetadataRecord> recordListener) {
    this.environment = environment;
    this.identity = identity;
    this.quorum = quorum;
    this.table = table;
    this.sender = sender;
    this.recordListener = recordListener;
  }

  /** Polls all members and joining members, this node excepted. */
  void pollAll() {
    quorum.membersAndJoining().forEach(member -> poll(member.peerAddress()));
  }

  /** Polls the members and joining members at this peer address, this node excepted. */
  void poll(String address) {
    quorum.membersAndJoining().stream()
        .filter(
            member -> member.peerAddress().equals(address) && !member.id().equals(identity.id()))
        .forEach(this::poll);
  }

  private void poll(QuorumMember member) {
    QuorumPeer peer = quorum.peer(member.peerAddress());
    long configurationSequence =
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
            configurationSequence));
  }

  /**
   * Processes an update from a peer's feed.
   *
   * @return false if the update was dropped, because its sender is no peer or it leaves a gap after
   *     the position reached in its feed
   */
  boolean handleUpdate(ChangeFeedUpdate update, String fromAddress) {
    QuorumPeer peer = quorum.peers().get(fromAddress);
    if (peer == null || !continues(update, peer)) {
      return false;
    }
    peer.recordFeedUpdate(update);
    update.records().forEach(recordListener);
    return true;
  }

  private static boolean continues(ChangeFeedUpdate update, QuorumPeer peer) {
    return update.snapshot()
        || update.sourceId().equals(peer.feedId())
            && update.incarnation() == peer.feedIncarnation()
            && update.fromPosition() <= peer.feedPosition();
  }
}
