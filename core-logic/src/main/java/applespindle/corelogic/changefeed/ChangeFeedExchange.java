package applespindle.corelogic.changefeed;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.node.TraceLog;
import applespindle.corelogic.protocol.Message.ChangeFeedPoll;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import applespindle.corelogic.protocol.MessageSender;
import applespindle.corelogic.replication.LogReplicas;
import java.util.function.Consumer;

/**
 * Both sides of a core node's change feed, and how fresh the node's view is by it. Invariant: polls
 * that found this view too old are responded to again as soon as it is fresh.
 */
public final class ChangeFeedExchange {
  private final MetadataFreshness freshness;
  private final ChangeFeedPublisher publisher;
  private final ChangeFeedFollower follower;

  public ChangeFeedExchange(
      Environment surroundings,
      NodeIdentity place,
      QuorumView membership,
      LogReplicas replicas,
      MetadataTable table,
      TraceLog journal,
      MessageSender sender,
      Consumer<MetadataRecord> learn) {
    this.freshness = new MetadataFreshness(surroundings, place, membership, replicas);
    this.publisher =
        new ChangeFeedPublisher(surroundings, place, membership, table, journal, freshness, sender);
    this.follower = new ChangeFeedFollower(surroundings, place, membership, table, sender, learn);
  }

  public MetadataFreshness freshness() {
    return freshness;
  }

  /** The number of the last change published here. */
  public long number() {
    return publisher.number();
  }

  public void publish(MetadataRecord item) {
    publisher.publish(item);
  }

  public void follow(ChangeFeedPoll follow, String fromId, String fromAddress) {
    publisher.follow(follow, fromId, fromAddress);
  }

  public void pollAll() {
    follower.pollAll();
  }

  public void poll(String address) {
    follower.poll(address);
  }

  public void receive(ChangeFeedUpdate updates, String fromAddress) {
    if (follower.receive(updates, fromAddress)) {
      publisher.respondToUnsurePolls();
    }
  }

  /** To be called whenever this node's view may have become fresh. */
  public void respondToUnsurePolls() {
    publisher.respondToUnsurePolls();
  }
}
