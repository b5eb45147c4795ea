package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.replication.ElectionOutcome;
import applespindle.corelogic.replication.LogReplica;
import applespindle.corelogic.replication.LogReplicas;
import java.util.function.BooleanSupplier;

/**
 * Brings a command to the leader of its key: runs it if this node leads the key, forwards it to the
 * leader as far as that is known, and otherwise has the preferred member start an election. It owns
 * no state.
 *
 * <p>Invariant: every command is run, forwarded or rejected exactly once.
 */
final class CommandRouter {
  /** Forwards a command to a node, which responds to its origin. */
  interface Forwarder {
    void forward(PeerRequest request, String toId, String toAddress);
  }

  private final NodeIdentity identity;
  private final QuorumView quorum;
  private final LogReplicas replicas;
  private final LedKeys keys;
  private final ControlManagers managers;
  private final CommandResponder responder;
  private final BooleanSupplier stopping;
  private final Forwarder forwarder;

  CommandRouter(
      ControlPlaneContext context,
      LogReplicas replicas,
      ControlManagers managers,
      BooleanSupplier stopping,
      Forwarder forwarder) {
    this.identity = context.identity();
    this.quorum = context.quorum();
    this.keys = context.keys();
    this.responder = context.responder();
    this.replicas = replicas;
    this.managers = managers;
    this.stopping = stopping;
    this.forwarder = forwarder;
  }

  /** Handles a command on a key; called only while this process is a member of the quorum. */
  void route(PeerRequest request) {
    LedKey ledKey = keys.get(request.key());
    if (ledKey != null) {
      managers.run(request, ledKey);
    } else if (quorum.isIsolated()) {
      responder.reject(request, new ApiError.NoQuorum(request.key()));
    } else {
      forwardOrElect(request);
    }
  }

  /** Forwards to the key's leader, or if there is none, to the member preferred as the next. */
  private void forwardOrElect(PeerRequest request) {
    String preferredId = RendezvousHashing.first(request.key(), quorum.liveMembers());
    LogReplica replica = replicas.replicas().get(request.key());
    if (hasOtherLeader(replica)) {
      forwarder.forward(request, replica.leaderId, replica.leaderAddress);
    } else if (!identity.id().equals(preferredId)) {
      forwarder.forward(request, preferredId, quorum.addressOf(preferredId));
    } else if (stopping.getAsBoolean()) {
      responder.reject(request, new ApiError.NodeStopping());
    } else {
      keys.elect(request.key(), outcome -> electionEnded(request, outcome));
    }
  }

  /** The replica is null if this node has none of the key. */
  private boolean hasOtherLeader(LogReplica replica) {
    return replica != null
        && !replicas.isLeaderTimedOut(replica)
        && !replica.leaderId.equals(identity.id());
  }

  private void electionEnded(PeerRequest request, ElectionOutcome outcome) {
    switch (outcome.result()) {
      case ELECTED -> managers.run(request, keys.get(request.key()));
      case LEADER_ALIVE -> forwarder.forward(request, outcome.leaderId(), outcome.leaderAddress());
      case NO_QUORUM -> responder.reject(request, new ApiError.NoQuorum(request.key()));
    }
  }
}
