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
      Environment environment,
      NodeIdentity identity,
      QuorumView quorum,
      LogReplicas replicas,
      MetadataTable table,
      TraceLog traceLog,
      MessageSender sender,
      Consumer<MetadataRecord> learn) {
    this.freshness = new MetadataFreshness(environment, identity, quorum, replicas);
    this.publisher =
        new ChangeFeedPublisher(environment, identity, quorum, table, traceLog, freshness, sender);
    this.follower = new ChangeFeedFollower(environment, identity, quorum, table, sender, learn);
  }

  public MetadataFreshness freshness() {
    return freshness;
  }

  /** The number of the last change published here. */
  public long position() {
    return publisher.position();
  }

  public void publish(MetadataRecord metadataRecord) {
    publisher.publish(metadataRecord);
  }

  public void handlePoll(ChangeFeedPoll poll, String fromId, String fromAddress) {
    publisher.handlePoll(poll, fromId, fromAddress);
  }

  public void pollAll() {
    follower.pollAll();
  }

  public void poll(String address) {
    follower.poll(address);
  }

  public void handleUpdate(ChangeFeedUpdate update, String fromAddress) {
    if (follower.handleUpdate(update, fromAddress)) {
      publisher.respondToDeferredPolls();
    }
  }

  /** To be called whenever this node's view may have become fresh. */
  public void respondToDeferredPolls() {
    publisher.respondToDeferredPolls();
  }
}
