package applespindle.corelogic;

import applespindle.corelogic.Message.FeedFollow;
import applespindle.corelogic.Message.FeedItem;
import applespindle.corelogic.Message.FeedNews;
import java.util.function.Consumer;

/**
 * Both sides of a core node's change feed, and how fresh the node's view is by it. Invariant: polls
 * that found this view too old are responded to again as soon as it is fresh.
 */
final class CoreFeed {
  private final FeedFreshness freshness;
  private final FeedPublisher publisher;
  private final FeedFollower follower;

  CoreFeed(
      Surroundings surroundings,
      Node.Place place,
      CoreMembership membership,
      KeyReplicas replicas,
      CoreTable table,
      Journal journal,
      KeyReplicas.Replies sender,
      Consumer<FeedItem> learn) {
    this.freshness = new FeedFreshness(surroundings, place, membership, replicas);
    this.publisher =
        new FeedPublisher(surroundings, place, membership, table, journal, freshness, sender);
    this.follower = new FeedFollower(surroundings, place, membership, table, sender, learn);
  }

  FeedFreshness freshness() {
    return freshness;
  }

  /** The number of the last change published here. */
  long number() {
    return publisher.number();
  }

  void publish(FeedItem item) {
    publisher.publish(item);
  }

  void follow(FeedFollow follow, String fromId, String fromAddress) {
    publisher.follow(follow, fromId, fromAddress);
  }

  void pollAll() {
    follower.pollAll();
  }

  void poll(String address) {
    follower.poll(address);
  }

  void receive(FeedNews updates, String fromAddress) {
    if (follower.receive(updates, fromAddress)) {
      publisher.respondToUnsurePolls();
    }
  }

  /** To be called whenever this node's view may have become fresh. */
  void respondToUnsurePolls() {
    publisher.respondToUnsurePolls();
  }
}
