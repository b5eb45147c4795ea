package applespindle.corelogic.changefeed;

import applespindle.corelogic.constants.ChangeFeedConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.node.TraceLog;
import applespindle.corelogic.protocol.Message.ChangeFeedPoll;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import applespindle.corelogic.protocol.MessageSender;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Publishes the change feed of this node. Owns the feed, the followers that changes are pushed to,
 * and the polls that are to be responded to again.
 *
 * <p>A poll makes its sender a follower for three poll intervals. While this node's own view is not
 * fresh, a poll is responded to at once and again when the view becomes fresh.
 *
 * <p>Invariants: a follower that polls from a position of this very feed gets every later change;
 * any other gets a snapshot of what its table lacks. A response to another member confirms its
 * poll, so that its view may count as fresh, only if this node's view lacks no decision.
 */
final class ChangeFeedPublisher {
  private static final int FOLLOWER_TIMEOUT_POLLS = 3;

  /** A node that changes are pushed to until the given time. */
  private record Follower(String id, String address, long until) {}

  /** A poll that arrived while this node's own view was not fresh. */
  private record DeferredPoll(ChangeFeedPoll poll, String fromId) {}

  private final Environment environment;
  private final NodeIdentity identity;
  private final QuorumView quorum;
  private final MetadataTable table;
  private final TraceLog traceLog;
  private final MetadataFreshness freshness;
  private final MessageSender sender;
  private final ChangeFeed feed = new ChangeFeed();

  /** By peer address. */
  private final Map<String, Follower> followers = new LinkedHashMap<>();

  /** By peer address; responded to again once this node's view is fresh. */
  private final Map<String, DeferredPoll> deferredPolls = new LinkedHashMap<>();

  /** By follower id, when a snapshot was last sent to it. */
  private final Map<String, Long> snapshotSentAt = new HashMap<>();

  ChangeFeedPublisher(
      Environment environment,
      NodeIdentity identity,
      QuorumView quorum,
      MetadataTable table,
      TraceLog traceLog,
      MetadataFreshness freshness,
      MessageSender sender) {
    this.environment = environment;
    this.identity = identity;
    this.quorum = quorum;
    this.table = table;
    this.traceLog = traceLog;
    this.freshness = freshness;
    this.sender = sender;
  }

  /** The position of the last change; 0 before the first. */
  long position() {
    return feed.position();
  }

  /** Adds a committed change to the feed and pushes it to the current followers. */
  void publish(MetadataRecord metadataRecord) {
    feed.add(metadataRecord);
    traceLog.add("committed", metadataRecord.key(), "sequence " + metadataRecord.sequence());
    long now = environment.nowMs();
    followers.values().removeIf(follower -> follower.until() < now);
    followers.values().forEach(follower -> push(follower, metadataRecord));
  }

  private void push(Follower follower, MetadataRecord metadataRecord) {
    sender.send(
        follower.address(),
        follower.id(),
        new ChangeFeedUpdate(
            identity.id(),
            identity.incarnation(),
            feed.position() - 1,
            feed.position(),
            false,
            false,
            freshness.ageMs(),
            0,
            List.of(metadataRecord)));
  }

  /** Responds to a poll with the changes since its position, or with a snapshot. */
  void handlePoll(ChangeFeedPoll poll, String fromId, String fromAddress) {
    addFollower(fromId, fromAddress);
    deferUnlessFresh(poll, fromId, fromAddress);
    boolean positionKnown = isPositionKnown(poll);
    List<MetadataRecord> records =
        positionKnown ? feed.after(poll.position()) : table.missingFrom(poll);
    if (!positionKnown && isSnapshotInTransfer(fromId, records)) {
      return;
    }
    sender.send(
        fromAddress,
        fromId,
        new ChangeFeedUpdate(
            identity.id(),
            identity.incarnation(),
            positionKnown ? poll.position() : 0,
            feed.position(),
            !positionKnown,
            false,
            freshness.ageMs(),
            mayConfirm(fromAddress) ? poll.sentAt() : 0,
            records));
  }

  private void addFollower(String id, String address) {
    long until =
        environment.nowMs() + FOLLOWER_TIMEOUT_POLLS * ChangeFeedConstants.POLL_INTERVAL_MS;
    followers.put(address, new Follower(id, address, until));
  }

  private void deferUnlessFresh(ChangeFeedPoll poll, String fromId, String fromAddress) {
    if (freshness.isFresh()) {
      deferredPolls.remove(fromAddress);
    } else {
      deferredPolls.put(fromAddress, new DeferredPoll(poll, fromId));
    }
  }

  /** Whether the poll's position is one of this feed, of this run of the process. */
  private boolean isPositionKnown(ChangeFeedPoll poll) {
    return poll.sourceId().equals(identity.id())
        && poll.incarnation() == identity.incarnation()
        && poll.position() <= feed.position();
  }

  /** A member that lacks a decision must not count towards the freshness of another's view. */
  private boolean mayConfirm(String followerAddress) {
    return !quorum.includes(followerAddress) || !freshness.hasUndecidedEntries();
  }

  /**
   * Whether a snapshot is still being transferred to this follower. A follower that polls again
   * before a large snapshot has arrived over a slow link would otherwise be sent it repeatedly.
   * Remembers that a snapshot is sent now if none is in transfer.
   */
  private boolean isSnapshotInTransfer(String followerId, List<MetadataRecord> records) {
    long now = environment.nowMs();
    snapshotSentAt
        .values()
        .removeIf(sentAt -> now - sentAt > ChangeFeedConstants.MAX_SNAPSHOT_TRANSFER_MS);
    Long sentAt = snapshotSentAt.get(followerId);
    if (sentAt != null && now - sentAt < transferMs(records)) {
      return true;
    }
    snapshotSentAt.put(followerId, now);
    return false;
  }

  /** How long the transfer of these records takes at most on a slow link. */
  private static long transferMs(List<MetadataRecord> records) {
    long bytes = records.stream().mapToLong(metadataRecord -> metadataRecord.value().length).sum();
    return Math.min(
        ChangeFeedConstants.MAX_SNAPSHOT_TRANSFER_MS,
        bytes / ChangeFeedConstants.SNAPSHOT_BYTES_PER_MS);
  }

  /** Responds again to the deferred polls if this node's view is fresh now. */
  void respondToDeferredPolls() {
    if (deferredPolls.isEmpty() || !freshness.isFresh()) {
      return;
    }
    Map<String, DeferredPoll> polls = new LinkedHashMap<>(deferredPolls);
    deferredPolls.clear();
    polls.forEach((address, deferred) -> handlePoll(deferred.poll(), deferred.fromId(), address));
  }
}
