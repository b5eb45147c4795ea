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
 * The change feed of a control plane node, with both of its sides: {@link ChangeFeedPublisher}
 * serves the polls of others, {@link ChangeFeedFollower} polls the feeds of the other members, and
 * {@link MetadataFreshness} derives from their updates how old this node's view may be. Owns no
 * state besides these three.
 *
 * <p>Invariant: polls that arrived while this node's view was not fresh are responded to again as
 * soon as an update makes it fresh.
 */
public final class ChangeFeedExchange {
  private final MetadataFreshness freshness;
  private final ChangeFeedPublisher publisher;
  private final ChangeFeedFollower follower;

  /**
   * Creates the feed of one node.
   *
   * @param recordListener receives each record that an update from another member carries
   */
  public ChangeFeedExchange(
      Environment environment,
      NodeIdentity identity,
      QuorumView quorum,
      LogReplicas replicas,
      MetadataTable table,
      TraceLog traceLog,
      MessageSender sender,
      Consumer<MetadataRecord> recordListener) {
    this.freshness = new MetadataFreshness(environment, identity, quorum, replicas);
    this.publisher =
        new ChangeFeedPublisher(environment, identity, quorum, table, traceLog, freshness, sender);
    this.follower =
        new ChangeFeedFollower(environment, identity, quorum, table, sender, recordListener);
  }

  /** How old this node's view of the metadata may be. */
  public MetadataFreshness freshness() {
    return freshness;
  }

  /** The position of the last change published by this node; 0 before the first. */
  public long position() {
    return publisher.position();
  }

  /** Appends a committed change to this node's feed and pushes it to the current followers. */
  public void publish(MetadataRecord metadataRecord) {
    publisher.publish(metadataRecord);
  }

  /**
   * Responds to a follower's poll.
   *
   * @param fromId node id of the follower
   * @param fromAddress peer address of the follower
   */
  public void handlePoll(ChangeFeedPoll poll, String fromId, String fromAddress) {
    publisher.handlePoll(poll, fromId, fromAddress);
  }

  /** Polls the feeds of all other members. */
  public void pollAll() {
    follower.pollAll();
  }

  /** Polls the feed of the member at this peer address; does nothing if there is none. */
  public void poll(String address) {
    follower.poll(address);
  }

  /** Processes an update from the feed of another member; one that leaves a gap is dropped. */
  public void handleUpdate(ChangeFeedUpdate update, String fromAddress) {
    if (follower.handleUpdate(update, fromAddress)) {
      publisher.respondToDeferredPolls();
    }
  }

  /** To be called whenever this node's view may have become fresh by other means than an update. */
  public void respondToDeferredPolls() {
    publisher.respondToDeferredPolls();
  }
}
