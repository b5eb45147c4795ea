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

  private final Environment surroundings;
  private final NodeIdentity place;
  private final NodeSettings bounds;
  private final QuorumView membership;
  private final QuorumBootstrap founding;
  private final boolean listedFounders;
  private final KeyLeadership keys;
  private final LogReplicas replicas;
  private final MessageSender sender;
  private final Consumer<QuorumMembership> learnRoster;

  public HeartbeatExchange(
      Environment surroundings,
      NodeIdentity place,
      NodeSettings bounds,
      QuorumView membership,
      QuorumBootstrap founding,
      boolean listedFounders,
      KeyLeadership keys,
      LogReplicas replicas,
      MessageSender sender,
      Consumer<QuorumMembership> learnRoster) {
    this.surroundings = surroundings;
    this.place = place;
    this.bounds = bounds;
    this.membership = membership;
    this.founding = founding;
    this.listedFounders = listedFounders;
    this.keys = keys;
    this.replicas = replicas;
    this.sender = sender;
    this.learnRoster = learnRoster;
  }

  /** Pings every peer. */
  public void send() {
    send(List.copyOf(membership.peers().keySet()));
  }

  /** Pings these addresses; the membership is sent only to those not known to have it. */
  public void send(List<String> addresses) {
    QuorumMembership roster = membership.current();
    List<String> led = keys.inContact();
    ObjectNode ping = describeSelf(roster, led);
    byte[] body = Json.bytes(ping);
    byte[] withRoster =
        roster.number() == 0 ? body : Json.bytes(ping.set("roster", JSON.valueToTree(roster)));
    for (String address : addresses) {
      QuorumPeer peer = membership.peers().get(address);
      boolean knowsRoster =
          peer != null && membership.alive(peer) && peer.rosterNumber >= roster.number();
      sender.send(address, "", new QuorumHeartbeat(knowsRoster ? body : withRoster));
    }
    // To the copies in this process its leaders say so without a message.
    led.forEach(key -> replicas.ownerLives(key, place.id(), place.peerAddress()));
  }

  private ObjectNode describeSelf(QuorumMembership roster, List<String> led) {
    ObjectNode ping = JSON.createObjectNode();
    boolean formed = roster.number() > 0;
    ping.set("member", JSON.valueToTree(membership.self()));
    ping.put("blank", !formed && (listedFounders || founding.mayFound()))
        .put("candidate", formed && !membership.isReplica() && bounds.voter())
        .put("voter", bounds.voter());
    if (!formed && founding.proposal() != null) {
      ping.set("proposal", JSON.valueToTree(founding.proposal()));
      ping.put("accepted", founding.hasAccepted());
    }
    ArrayNode heard = ping.putArray("heard");
    membership.peers().values().stream()
        .filter(membership::alive)
        .forEach(peer -> heard.add(peer.member.id()));
    ping.put("number", roster.number());
    ArrayNode owns = ping.putArray("owns");
    led.forEach(owns::add);
    return ping;
  }

  /** Notes what a peer says of itself. */
  public ContactChange receive(QuorumHeartbeat ping, String fromAddress) {
    JsonNode body = Json.tree(ping.body());
    QuorumPeer peer = membership.peer(fromAddress);
    boolean wasAlive = membership.alive(peer);
    boolean wasInContact = membership.inContact(peer);
    read(body, peer);
    if (peer.hearsUs) {
      keys.heardBy(peer.member.id());
    }
    body.path("owns")
        .forEach(key -> replicas.ownerLives(key.asText(), peer.member.id(), fromAddress));
    if (body.has("roster")) {
      learnRoster.accept(JSON.convertValue(body.get("roster"), QuorumMembership.class));
    }
    return new ContactChange(!wasAlive, !wasInContact && membership.inContact(peer));
  }

  private void read(JsonNode body, QuorumPeer peer) {
    peer.member = JSON.convertValue(body.get("member"), QuorumMember.class);
    peer.heardAt = surroundings.now();
    peer.blank = body.path("blank").asBoolean();
    peer.candidate = body.path("candidate").asBoolean();
    peer.voter = body.path("voter").asBoolean();
    peer.proposal =
        body.has("proposal")
            ? JSON.convertValue(body.get("proposal"), QuorumMembership.class)
            : null;
    peer.accepted = body.path("accepted").asBoolean();
    peer.rosterNumber = body.path("number").asLong();
    peer.hearsUs = false;
    body.path("heard").forEach(id -> peer.hearsUs |= id.asText().equals(place.id()));
  }
}
