package applespindle.corelogic.membership;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message.QuorumHeartbeat;
import applespindle.corelogic.protocol.MessageSender;
import applespindle.corelogic.replication.LogReplicas;
import java.util.List;
import java.util.function.Consumer;

/**
 * Sends this node's heartbeats to the other control plane nodes and processes theirs. A heartbeat
 * reports which peers its sender receives heartbeats from, which keys it leads and which membership
 * it knows; see {@link HeartbeatBody}.
 *
 * <p>The exchange owns no state: what heartbeats report is kept in the {@link QuorumPeer}s of the
 * {@link QuorumView}.
 *
 * <p>Invariant: a heartbeat lists a key as led only while its leader on this node is in contact
 * with a majority of the members, because another member may be elected for it after that.
 */
public final class HeartbeatExchange {
  /**
   * How a received heartbeat changed the contact with its sender.
   *
   * @param aliveAgain the sender had timed out, or was unknown, until this heartbeat
   * @param inContactAgain messages pass in both directions again since this heartbeat
   */
  public record ContactChange(boolean aliveAgain, boolean inContactAgain) {}

  private final Environment environment;
  private final NodeIdentity identity;
  private final NodeSettings settings;
  private final QuorumView quorum;
  private final QuorumBootstrap bootstrap;
  private final boolean usesStaticBootstrap;
  private final KeyLeadership keys;
  private final LogReplicas replicas;
  private final MessageSender sender;
  private final Consumer<QuorumMembership> membershipListener;

  /**
   * Creates the exchange of one node.
   *
   * @param usesStaticBootstrap whether the initial members are configured rather than found
   * @param membershipListener receives each membership that a heartbeat carries, newer or not
   */
  public HeartbeatExchange(
      Environment environment,
      NodeIdentity identity,
      NodeSettings settings,
      QuorumView quorum,
      QuorumBootstrap bootstrap,
      boolean usesStaticBootstrap,
      KeyLeadership keys,
      LogReplicas replicas,
      MessageSender sender,
      Consumer<QuorumMembership> membershipListener) {
    this.environment = environment;
    this.identity = identity;
    this.settings = settings;
    this.quorum = quorum;
    this.bootstrap = bootstrap;
    this.usesStaticBootstrap = usesStaticBootstrap;
    this.keys = keys;
    this.replicas = replicas;
    this.sender = sender;
    this.membershipListener = membershipListener;
  }

  /** Sends a heartbeat to every peer. */
  public void send() {
    send(List.copyOf(quorum.peers().keySet()));
  }

  /**
   * Sends a heartbeat to these peer addresses. The membership is included only for receivers that
   * are not known to have it.
   */
  public void send(List<String> addresses) {
    QuorumMembership membership = quorum.current();
    HeartbeatBody body = describeSelf(membership, keys.keysInContactWithQuorum());
    byte[] withoutMembership = Json.bytes(body);
    byte[] withMembership =
        membership.version() == 0 ? withoutMembership : Json.bytes(body.withMembership(membership));
    for (String address : addresses) {
      boolean upToDate = isKnownToHave(address, membership);
      byte[] bytes = upToDate ? withoutMembership : withMembership;
      sender.send(address, "", new QuorumHeartbeat(bytes));
    }
    notifyLocalReplicas(body.ledKeys());
  }

  private boolean isKnownToHave(String address, QuorumMembership membership) {
    QuorumPeer peer = quorum.peers().get(address);
    return peer != null && quorum.isAlive(peer) && peer.membershipVersion() >= membership.version();
  }

  /** Replicas on this node learn of their leader's contact without a message. */
  private void notifyLocalReplicas(List<String> ledKeys) {
    ledKeys.forEach(
        key -> replicas.recordLeaderContact(key, identity.id(), identity.peerAddress()));
  }

  private HeartbeatBody describeSelf(QuorumMembership membership, List<String> ledKeys) {
    boolean formed = membership.version() > 0;
    QuorumMembership proposal = formed ? null : bootstrap.proposal();
    return new HeartbeatBody(
        quorum.self(),
        !formed && (usesStaticBootstrap || bootstrap.mayBootstrap()),
        formed && !quorum.isReplica() && settings.voter(),
        settings.voter(),
        proposal,
        proposal == null ? null : bootstrap.hasAccepted(),
        reachablePeers(),
        membership.version(),
        ledKeys,
        null);
  }

  private List<String> reachablePeers() {
    return quorum.peers().values().stream()
        .filter(quorum::isAlive)
        .map(peer -> peer.member().id())
        .toList();
  }

  /**
   * Processes a peer's heartbeat.
   *
   * @return how the contact with the sender changed
   * @throws java.io.UncheckedIOException if the body is not the JSON of a {@link HeartbeatBody}
   */
  public ContactChange receive(QuorumHeartbeat heartbeat, String fromAddress) {
    HeartbeatBody body = Json.read(heartbeat.body(), HeartbeatBody.class);
    QuorumPeer peer = quorum.peer(fromAddress);
    boolean wasAlive = quorum.isAlive(peer);
    boolean wasInContact = quorum.isInContact(peer);
    peer.recordHeartbeat(body, environment.nowMs(), identity.id());
    if (peer.receivesFromThisNode()) {
      keys.noteContact(peer.member().id());
    }
    body.ledKeys()
        .forEach(key -> replicas.recordLeaderContact(key, peer.member().id(), fromAddress));
    if (body.membership() != null) {
      membershipListener.accept(body.membership());
    }
    return new ContactChange(!wasAlive, !wasInContact && quorum.isInContact(peer));
  }
}
