package applespindle.corelogic;

import applespindle.corelogic.Message.FeedFollow;
import applespindle.corelogic.Message.FeedItem;
import applespindle.corelogic.Message.FeedNews;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Publishes the change feed of this node to whoever polls it. Invariant: a follower that polls from
 * a position of this very feed gets every later change; any other gets a snapshot first.
 */
final class FeedPublisher {
  private record Follower(String id, String address, long until) {}

  /** A poll that came while this node's own view was too old to say that it is fresh. */
  private record UnsurePoll(FeedFollow follow, String fromId) {}

  private final Surroundings surroundings;
  private final Node.Place place;
  private final CoreMembership membership;
  private final CoreTable table;
  private final Journal journal;
  private final FeedFreshness freshness;
  private final KeyReplicas.Replies sender;
  private final Feed feed = new Feed();

  /** By address. */
  private final Map<String, Follower> followers = new LinkedHashMap<>();

  /** By address; responded to again once this node's view is fresh. */
  private final Map<String, UnsurePoll> unsurePolls = new LinkedHashMap<>();

  /** By follower id, when it was last sent a snapshot. */
  private final Map<String, Long> snapshotSentAt = new HashMap<>();

  FeedPublisher(
      Surroundings surroundings,
      Node.Place place,
      CoreMembership membership,
      CoreTable table,
      Journal journal,
      FeedFreshness freshness,
      KeyReplicas.Replies sender) {
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
  void publish(FeedItem item) {
    feed.add(item);
    journal.add("committed", item.key(), "sequence " + item.sequence());
    long now = surroundings.now();
    followers.values().removeIf(follower -> follower.until() < now);
    followers.values().forEach(follower -> push(follower, item));
  }

  private void push(Follower follower, FeedItem item) {
    sender.reply(
        follower.address(),
        follower.id(),
        new FeedNews(
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
  void follow(FeedFollow follow, String fromId, String fromAddress) {
    followers.put(
        fromAddress,
        new Follower(fromId, fromAddress, surroundings.now() + 3 * Constants.FEED_POLL_MS));
    if (freshness.isFresh()) {
      unsurePolls.remove(fromAddress);
    } else {
      unsurePolls.put(fromAddress, new UnsurePoll(follow, fromId));
    }
    boolean known =
        follow.coreId().equals(place.id())
            && follow.incarnation() == place.incarnation()
            && follow.number() <= feed.number();
    List<FeedItem> updates = known ? feed.after(follow.number()) : table.lackedBy(follow);
    if (!known && snapshotUnderWay(fromId, updates)) {
      return;
    }
    // A member that lacks a decision must not count towards the freshness of another one's view.
    boolean confirms = !membership.includes(fromAddress) || !freshness.lacksDecision();
    sender.reply(
        fromAddress,
        fromId,
        new FeedNews(
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
  private boolean snapshotUnderWay(String followerId, List<FeedItem> updates) {
    long now = surroundings.now();
    long bytes = updates.stream().mapToLong(item -> item.value().length).sum();
    long transferMs =
        Math.min(Constants.CHECKPOINT_KEPT_MS, bytes / Constants.CHECKPOINT_BYTES_A_MS);
    snapshotSentAt.values().removeIf(sentAt -> now - sentAt > Constants.CHECKPOINT_KEPT_MS);
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
