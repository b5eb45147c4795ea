package applespindle.corelogic.membership;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message.QuorumHeartbeat;
import applespindle.corelogic.protocol.MessageSender;
import applespindle.corelogic.replication.LogReplicas;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;

/**
 * The pings by which core processes show each other that they live, whom they hear, what they lead
 * and which membership they know. Invariant: a ping names a key as led only while its leader here
 * is in contact with a majority, since others may claim it after that.
 */
public final class HeartbeatExchange {
  /** What a ping changed about the contact with its sender. */
  public record ContactChange(boolean heardAgain, boolean hearEachOtherAgain) {}

  private final Environment environment;
  private final NodeIdentity identity;
  private final NodeSettings settings;
  private final QuorumView quorum;
  private final QuorumBootstrap bootstrap;
  private final boolean listedFounders;
  private final KeyLeadership keys;
  private final LogReplicas replicas;
  private final MessageSender sender;
  private final Consumer<QuorumMembership> learnRoster;

  public HeartbeatExchange(
      Environment environment,
      NodeIdentity identity,
      NodeSettings settings,
      QuorumView quorum,
      QuorumBootstrap bootstrap,
      boolean listedFounders,
      KeyLeadership keys,
      LogReplicas replicas,
      MessageSender sender,
      Consumer<QuorumMembership> learnRoster) {
    this.environment = environment;
    this.identity = identity;
    this.settings = settings;
    this.quorum = quorum;
    this.bootstrap = bootstrap;
    this.listedFounders = listedFounders;
    this.keys = keys;
    this.replicas = replicas;
    this.sender = sender;
    this.learnRoster = learnRoster;
  }

  /** Pings every peer. */
  public void send() {
    send(List.copyOf(quorum.peers().keySet()));
  }

  /** Pings these addresses; the membership is sent only to those not known to have it. */
  public void send(List<String> addresses) {
    QuorumMembership membership = quorum.current();
    List<String> led = keys.keysInContactWithQuorum();
    ObjectNode ping = describeSelf(membership, led);
    byte[] body = Json.bytes(ping);
    byte[] withRoster =
        membership.number() == 0
            ? body
            : Json.bytes(ping.set("roster", JSON.valueToTree(membership)));
    for (String address : addresses) {
      QuorumPeer peer = quorum.peers().get(address);
      boolean knowsRoster =
          peer != null && quorum.isAlive(peer) && peer.membershipVersion >= membership.number();
      sender.send(address, "", new QuorumHeartbeat(knowsRoster ? body : withRoster));
    }
    // To the copies in this process its leaders say so without a message.
    led.forEach(key -> replicas.noteLeaderContact(key, identity.id(), identity.peerAddress()));
  }

  private ObjectNode describeSelf(QuorumMembership membership, List<String> led) {
    ObjectNode ping = JSON.createObjectNode();
    boolean formed = membership.number() > 0;
    ping.set("member", JSON.valueToTree(quorum.self()));
    ping.put("blank", !formed && (listedFounders || bootstrap.mayBootstrap()))
        .put("candidate", formed && !quorum.isReplica() && settings.voter())
        .put("voter", settings.voter());
    if (!formed && bootstrap.proposal() != null) {
      ping.set("proposal", JSON.valueToTree(bootstrap.proposal()));
      ping.put("accepted", bootstrap.hasAccepted());
    }
    ArrayNode heard = ping.putArray("heard");
    quorum.peers().values().stream()
        .filter(quorum::isAlive)
        .forEach(peer -> heard.add(peer.member.id()));
    ping.put("number", membership.number());
    ArrayNode owns = ping.putArray("owns");
    led.forEach(owns::add);
    return ping;
  }

  /** Notes what a peer says of itself. */
  public ContactChange receive(QuorumHeartbeat ping, String fromAddress) {
    JsonNode body = Json.tree(ping.body());
    QuorumPeer peer = quorum.peer(fromAddress);
    boolean wasAlive = quorum.isAlive(peer);
    boolean wasInContact = quorum.isInContact(peer);
    read(body, peer);
    if (peer.hearsThisNode) {
      keys.noteContact(peer.member.id());
    }
    body.path("owns")
        .forEach(key -> replicas.noteLeaderContact(key.asText(), peer.member.id(), fromAddress));
    if (body.has("roster")) {
      learnRoster.accept(JSON.convertValue(body.get("roster"), QuorumMembership.class));
    }
    return new ContactChange(!wasAlive, !wasInContact && quorum.isInContact(peer));
  }

  private void read(JsonNode body, QuorumPeer peer) {
    peer.member = JSON.convertValue(body.get("member"), QuorumMember.class);
    peer.lastHeardAt = environment.nowMs();
    peer.uninitialized = body.path("blank").asBoolean();
    peer.joinCandidate = body.path("candidate").asBoolean();
    peer.voter = body.path("voter").asBoolean();
    peer.proposal =
        body.has("proposal")
            ? JSON.convertValue(body.get("proposal"), QuorumMembership.class)
            : null;
    peer.accepted = body.path("accepted").asBoolean();
    peer.membershipVersion = body.path("number").asLong();
    peer.hearsThisNode = false;
    body.path("heard").forEach(id -> peer.hearsThisNode |= id.asText().equals(identity.id()));
  }
}
