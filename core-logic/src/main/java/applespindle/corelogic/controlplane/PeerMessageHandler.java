package applespindle.corelogic.controlplane;

import applespindle.corelogic.changefeed.ChangeFeedExchange;
import applespindle.corelogic.changefeed.UpdateAcknowledgements;
import applespindle.corelogic.membership.HeartbeatExchange;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.AppliedPositions;
import applespindle.corelogic.protocol.Message.ChangeFeedPoll;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.Message.LeadershipTransfer;
import applespindle.corelogic.protocol.Message.LogFetchRequest;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.QuorumHeartbeat;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.replication.LogReplicas;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Passes each message of another process to the part of this process that handles it. It owns no
 * state.
 *
 * <p>Invariants: requests of other leaders reach the log replicas only while this process is a
 * replica; a leadership is accepted only by a member that is not stopping; a message without a
 * handler here is ignored.
 */
final class PeerMessageHandler {
  private final QuorumView quorum;
  private final HeartbeatExchange heartbeat;
  private final ChangeFeedExchange feed;
  private final UpdateAcknowledgements updateAcknowledgements;
  private final LedKeys keys;
  private final LogReplicas replicas;
  private final BooleanSupplier started;
  private final BooleanSupplier stopping;

  PeerMessageHandler(
      ControlPlaneContext context,
      HeartbeatExchange heartbeat,
      ChangeFeedExchange feed,
      LogReplicas replicas,
      BooleanSupplier started,
      BooleanSupplier stopping) {
    this.quorum = context.quorum();
    this.updateAcknowledgements = context.updateAcknowledgements();
    this.keys = context.keys();
    this.heartbeat = heartbeat;
    this.feed = feed;
    this.replicas = replicas;
    this.started = started;
    this.stopping = stopping;
  }

  /** Handles a message; the id is the sender's. */
  void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof QuorumHeartbeat received) {
      handleHeartbeat(received, fromAddress);
    } else if (message instanceof ChangeFeedPoll poll) {
      feed.handlePoll(poll, fromId, fromAddress);
    } else if (message instanceof ChangeFeedUpdate update) {
      feed.handleUpdate(update, fromAddress);
    } else if (message instanceof AppliedPositions positions) {
      updateAcknowledgements.handleAppliedPositions(positions);
    } else if (message instanceof VoteResponse vote) {
      keys.handleVoteResponse(vote, fromId);
    } else if (message instanceof LogFetchResponse fetched) {
      keys.handleLogFetchResponse(fetched);
    } else if (message instanceof AppendResponse appended) {
      keys.handleAppendResponse(appended, fromId);
    } else if (message instanceof LeadershipTransfer transfer) {
      handleTransfer(transfer);
    } else if (quorum.isReplica()) {
      handleAsReplica(message, fromId, fromAddress);
    }
  }

  private void handleTransfer(LeadershipTransfer transfer) {
    if (quorum.isMember() && !stopping.getAsBoolean() && keys.get(transfer.key()) == null) {
      keys.acceptTransfer(transfer.key());
    }
  }

  private void handleAsReplica(Message message, String fromId, String fromAddress) {
    if (message instanceof AppendRequest append) {
      replicas.handleAppendRequest(append, fromId, fromAddress);
      feed.respondToDeferredPolls();
    } else if (message instanceof VoteRequest vote) {
      replicas.handleVoteRequest(vote, fromId, fromAddress);
    } else if (message instanceof LogFetchRequest fetch) {
      replicas.handleLogFetchRequest(fetch, fromId, fromAddress);
    }
  }

  /**
   * Heartbeats are usually sent at intervals. A member that is in contact again after a start or a
   * partition gets one at once, because the rest of the fleet waits until the members are in
   * contact with each other.
   */
  private void handleHeartbeat(QuorumHeartbeat received, String fromAddress) {
    HeartbeatExchange.ContactChange contact = heartbeat.receive(received, fromAddress);
    if (!started.getAsBoolean() || !quorum.isMember() || !quorum.includes(fromAddress)) {
      return;
    }
    if (contact.aliveAgain()) {
      heartbeat.send(List.of(fromAddress));
      feed.poll(fromAddress);
    }
    if (contact.inContactAgain() && !stopping.getAsBoolean()) {
      keys.electForLeaderlessKeys();
    }
  }
}
