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
  private record UnsurePoll(ChangeFeedPoll follow, String fromId) {}

  private final Environment surroundings;
  private final NodeIdentity place;
  private final QuorumView membership;
  private final MetadataTable table;
  private final TraceLog journal;
  private final MetadataFreshness freshness;
  private final MessageSender sender;
  private final ChangeFeed feed = new ChangeFeed();

  /** By address. */
  private final Map<String, Follower> followers = new LinkedHashMap<>();

  /** By address; responded to again once this node's view is fresh. */
  private final Map<String, UnsurePoll> unsurePolls = new LinkedHashMap<>();

  /** By follower id, when it was last sent a snapshot. */
  private final Map<String, Long> snapshotSentAt = new HashMap<>();

  ChangeFeedPublisher(
      Environment surroundings,
      NodeIdentity place,
      QuorumView membership,
      MetadataTable table,
      TraceLog journal,
      MetadataFreshness freshness,
      MessageSender sender) {
    this.surroundings = surroundings;
    this.place = place;
    this.membership = membership;
    this.table = table;
    this.journal = journal;
    this.freshness = freshness;
    this.sender = sender;
  }

  /** The number of the last change. */
  long number() {
    return feed.number();
  }

  /** Adds a committed change to the feed and pushes it to the present followers. */
  void publish(MetadataRecord item) {
    feed.add(item);
    journal.add("committed", item.key(), "sequence " + item.sequence());
    long now = surroundings.now();
    followers.values().removeIf(follower -> follower.until() < now);
    followers.values().forEach(follower -> push(follower, item));
  }

  private void push(Follower follower, MetadataRecord item) {
    sender.send(
        follower.address(),
        follower.id(),
        new ChangeFeedUpdate(
            place.id(),
            place.incarnation(),
            feed.number() - 1,
            feed.number(),
            false,
            false,
            freshness.ageMs(),
            0,
            List.of(item)));
  }

  /** Responds to a poll with the changes since its position, or with what its table may lack. */
  void follow(ChangeFeedPoll follow, String fromId, String fromAddress) {
    followers.put(
        fromAddress,
        new Follower(
            fromId, fromAddress, surroundings.now() + 3 * ChangeFeedConstants.POLL_INTERVAL_MS));
    if (freshness.isFresh()) {
      unsurePolls.remove(fromAddress);
    } else {
      unsurePolls.put(fromAddress, new UnsurePoll(follow, fromId));
    }
    boolean known =
        follow.coreId().equals(place.id())
            && follow.incarnation() == place.incarnation()
            && follow.number() <= feed.number();
    List<MetadataRecord> updates = known ? feed.after(follow.number()) : table.lackedBy(follow);
    if (!known && snapshotUnderWay(fromId, updates)) {
      return;
    }
    // A member that lacks a decision must not count towards the freshness of another one's view.
    boolean confirms = !membership.includes(fromAddress) || !freshness.lacksDecision();
    sender.send(
        fromAddress,
        fromId,
        new ChangeFeedUpdate(
            place.id(),
            place.incarnation(),
            known ? follow.number() : 0,
            feed.number(),
            !known,
            false,
            freshness.ageMs(),
            confirms ? follow.sentAt() : 0,
            updates));
  }

  /**
   * Whether a snapshot is on its way to this follower already: one that asks again before a large
   * one has arrived over a slow link would be sent it over and over. Small ones are always sent.
   */
  private boolean snapshotUnderWay(String followerId, List<MetadataRecord> updates) {
    long now = surroundings.now();
    long bytes = updates.stream().mapToLong(item -> item.value().length).sum();
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
  void respondToUnsurePolls() {
    if (unsurePolls.isEmpty() || !freshness.isFresh()) {
      return;
    }
    Map<String, UnsurePoll> polls = new LinkedHashMap<>(unsurePolls);
    unsurePolls.clear();
    polls.forEach((address, poll) -> follow(poll.follow(), poll.fromId(), address));
  }
}
