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
 * Publishes the change feed of this node to whoever polls it. Invariant: a follower that polls from
 * a position of this very feed gets every later change; any other gets a snapshot first.
 */
final class ChangeFeedPublisher {
  private record Follower(String id, String address, long until) {}

  /** A poll that came while this node's own view was too old to say that it is fresh. */
  private record DeferredPoll(ChangeFeedPoll follow, String fromId) {}

  private final Environment environment;
  private final NodeIdentity identity;
  private final QuorumView quorum;
  private final MetadataTable table;
  private final TraceLog traceLog;
  private final MetadataFreshness freshness;
  private final MessageSender sender;
  private final ChangeFeed feed = new ChangeFeed();

  /** By address. */
  private final Map<String, Follower> followers = new LinkedHashMap<>();

  /** By address; responded to again once this node's view is fresh. */
  private final Map<String, DeferredPoll> unsurePolls = new LinkedHashMap<>();

  /** By follower id, when it was last sent a snapshot. */
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

  /** The number of the last change. */
  long position() {
    return feed.position();
  }

  /** Adds a committed change to the feed and pushes it to the present followers. */
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

  /** Responds to a poll with the changes since its position, or with what its table may lack. */
  void handlePoll(ChangeFeedPoll poll, String fromId, String fromAddress) {
    followers.put(
        fromAddress,
        new Follower(
            fromId, fromAddress, environment.nowMs() + 3 * ChangeFeedConstants.POLL_INTERVAL_MS));
    if (freshness.isFresh()) {
      unsurePolls.remove(fromAddress);
    } else {
      unsurePolls.put(fromAddress, new DeferredPoll(poll, fromId));
    }
    boolean known =
        poll.sourceId().equals(identity.id())
            && poll.incarnation() == identity.incarnation()
            && poll.position() <= feed.position();
    List<MetadataRecord> updates = known ? feed.after(poll.position()) : table.missingFrom(poll);
    if (!known && snapshotUnderWay(fromId, updates)) {
      return;
    }
    // A member that lacks a decision must not count towards the freshness of another one's view.
    boolean confirms = !quorum.includes(fromAddress) || !freshness.hasUndecidedEntries();
    sender.send(
        fromAddress,
        fromId,
        new ChangeFeedUpdate(
            identity.id(),
            identity.incarnation(),
            known ? poll.position() : 0,
            feed.position(),
            !known,
            false,
            freshness.ageMs(),
            confirms ? poll.sentAt() : 0,
            updates));
  }

  /**
   * Whether a snapshot is on its way to this follower already: one that asks again before a large
   * one has arrived over a slow link would be sent it over and over. Small ones are always sent.
   */
  private boolean snapshotUnderWay(String followerId, List<MetadataRecord> updates) {
    long now = environment.nowMs();
    long bytes = updates.stream().mapToLong(metadataRecord -> metadataRecord.value().length).sum();
    long transferMs =
        Math.min(
            ChangeFeedConstants.MAX_SNAPSHOT_TRANSFER_MS,
            bytes / ChangeFeedConstants.SNAPSHOT_BYTES_PER_MS);
    snapshotSentAt
        .values()
        .removeIf(sentAt -> now - sentAt > ChangeFeedConstants.MAX_SNAPSHOT_TRANSFER_MS);
    Long sentAt = snapshotSentAt.get(followerId);
    if (sentAt != null && now - sentAt < transferMs) {
      return true;
    }
    snapshotSentAt.put(followerId, now);
    return false;
  }

  /** Responds again to the polls that came while this node's view was not fresh, if it is now. */
  void respondToDeferredPolls() {
    if (unsurePolls.isEmpty() || !freshness.isFresh()) {
      return;
    }
    Map<String, DeferredPoll> polls = new LinkedHashMap<>(unsurePolls);
    unsurePolls.clear();
    polls.forEach((address, poll) -> handlePoll(poll.follow(), poll.fromId(), address));
  }
}
