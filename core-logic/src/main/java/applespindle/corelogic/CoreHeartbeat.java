package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;

import applespindle.corelogic.Message.CorePing;
import applespindle.corelogic.Records.CoreMember;
import applespindle.corelogic.Records.Roster;
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
final class CoreHeartbeat {
  /** What a ping changed about the contact with its sender. */
  record Contact(boolean heardAgain, boolean hearEachOtherAgain) {}

  private final Surroundings surroundings;
  private final Node.Place place;
  private final Bounds bounds;
  private final CoreMembership membership;
  private final CoreFounding founding;
  private final boolean listedFounders;
  private final KeyLeadership keys;
  private final KeyReplicas replicas;
  private final KeyReplicas.Replies sender;
  private final Consumer<Roster> learnRoster;

  CoreHeartbeat(
      Surroundings surroundings,
      Node.Place place,
      Bounds bounds,
      CoreMembership membership,
      CoreFounding founding,
      boolean listedFounders,
      KeyLeadership keys,
      KeyReplicas replicas,
      KeyReplicas.Replies sender,
      Consumer<Roster> learnRoster) {
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
  void send() {
    send(List.copyOf(membership.peers().keySet()));
  }

  /** Pings these addresses; the membership is sent only to those not known to have it. */
  void send(List<String> addresses) {
    Roster roster = membership.current();
    List<String> led = keys.inContact();
    ObjectNode ping = describeSelf(roster, led);
    byte[] body = Json.bytes(ping);
    byte[] withRoster =
        roster.number() == 0 ? body : Json.bytes(ping.set("roster", JSON.valueToTree(roster)));
    for (String address : addresses) {
      CorePeer peer = membership.peers().get(address);
      boolean knowsRoster =
          peer != null && membership.alive(peer) && peer.rosterNumber >= roster.number();
      sender.reply(address, "", new CorePing(knowsRoster ? body : withRoster));
    }
    // To the copies in this process its leaders say so without a message.
    led.forEach(key -> replicas.ownerLives(key, place.id(), place.peerAddress()));
  }

  private ObjectNode describeSelf(Roster roster, List<String> led) {
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
  Contact receive(CorePing ping, String fromAddress) {
    JsonNode body = Json.tree(ping.body());
    CorePeer peer = membership.peer(fromAddress);
    boolean wasAlive = membership.alive(peer);
    boolean wasInContact = membership.inContact(peer);
    read(body, peer);
    if (peer.hearsUs) {
      keys.heardBy(peer.member.id());
    }
    body.path("owns")
        .forEach(key -> replicas.ownerLives(key.asText(), peer.member.id(), fromAddress));
    if (body.has("roster")) {
      learnRoster.accept(JSON.convertValue(body.get("roster"), Roster.class));
    }
    return new Contact(!wasAlive, !wasInContact && membership.inContact(peer));
  }

  private void read(JsonNode body, CorePeer peer) {
    peer.member = JSON.convertValue(body.get("member"), CoreMember.class);
    peer.heardAt = surroundings.now();
    peer.blank = body.path("blank").asBoolean();
    peer.candidate = body.path("candidate").asBoolean();
    peer.voter = body.path("voter").asBoolean();
    peer.proposal =
        body.has("proposal") ? JSON.convertValue(body.get("proposal"), Roster.class) : null;
    peer.accepted = body.path("accepted").asBoolean();
    peer.rosterNumber = body.path("number").asLong();
    peer.hearsUs = false;
    body.path("heard").forEach(id -> peer.hearsUs |= id.asText().equals(place.id()));
  }
}
