package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.membership.KeyLeadership;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.node.TraceLog;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.LeadershipTransfer;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.protocol.MessageSender;
import applespindle.corelogic.replication.ElectionOutcome;
import applespindle.corelogic.replication.Elections;
import applespindle.corelogic.replication.LogReplica;
import applespindle.corelogic.replication.LogReplicas;
import applespindle.corelogic.replication.ReplicatedLogLeader;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The core keys that this node leads, and its claims to lead others. Invariant: a key is listed
 * from a won claim until its leadership is lost, transferred or given up; of the live members the
 * first in the key's agreed order claims it, and only once its leader has been silent.
 */
final class LedKeys implements KeyLeadership {
  private final Environment surroundings;
  private final NodeIdentity place;
  private final QuorumView membership;
  private final LogReplicas replicas;
  private final MetadataTable table;
  private final TraceLog journal;
  private final MessageSender sender;
  private final BooleanSupplier stopping;
  private final Consumer<LedKey> whenLed;
  private final Elections claims;
  private final Map<String, LedKey> led = new TreeMap<>();

  LedKeys(
      Environment surroundings,
      NodeIdentity place,
      QuorumView membership,
      LogReplicas replicas,
      MetadataTable table,
      TraceLog journal,
      MessageSender sender,
      BooleanSupplier stopping,
      Consumer<LedKey> whenLed) {
    this.surroundings = surroundings;
    this.place = place;
    this.membership = membership;
    this.replicas = replicas;
    this.table = table;
    this.journal = journal;
    this.sender = sender;
    this.stopping = stopping;
    this.whenLed = whenLed;
    this.claims =
        new Elections(
            surroundings, place.id(), sender, key -> membership.replicaSets(), this::begin, true);
  }

  /** By key, in the order of the keys. */
  Map<String, LedKey> led() {
    return led;
  }

  /** Null if this node does not lead the key. */
  LedKey get(String key) {
    return led.get(key);
  }

  @Override
  public List<String> inContact() {
    return led.values().stream()
        .filter(state -> state.key.hearsMajority())
        .map(state -> state.key.key)
        .toList();
  }

  @Override
  public void heardBy(String replicaId) {
    led.values().forEach(state -> state.key.heardBy(replicaId));
  }

  // ---- taking the leadership

  void claim(String key) {
    claim(key, outcome -> {});
  }

  void claim(String key, Consumer<ElectionOutcome> then) {
    claims.claim(key, false, then);
  }

  /** Takes a key that its leader transfers to this node. */
  void takeOver(String key) {
    claims.claim(key, true, outcome -> {});
  }

  /** Claims a key if nobody is heard to lead it and this node comes first for it. */
  void claimIfVacant(String key) {
    LogReplica copy = replicas.copies().get(key);
    if ((copy == null || replicas.ownerSilent(copy)) && membership.isFirstFor(key)) {
      claim(key);
    }
  }

  /** Claims the keys held here that have lost their leader and for which this node comes first. */
  void claimOrphans() {
    if (!membership.hearsMajority()) {
      return;
    }
    List<String> live = membership.liveMembers();
    replicas
        .copies()
        .forEach(
            (key, copy) -> {
              if (!led.containsKey(key)
                  && replicas.ownerSilent(copy)
                  && (needsLeader(key) || replicas.undecided(key))
                  && place.id().equals(RendezvousHashing.first(key, live))) {
                claim(key);
              }
            });
  }

  /**
   * Keys of members that have gone and of workers that were removed rest until a command asks for
   * them.
   */
  private boolean needsLeader(String key) {
    MetadataRecord item = table.get(key);
    if (item != null && key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      return Json.read(item.value(), NodeRegistration.class).live();
    }
    return item != null || key.equals(MetadataKeys.BATCH_CAPACITY);
  }

  private void begin(ReplicatedLogLeader leadership) {
    LedKey state = new LedKey(leadership);
    leadership.entries().forEach(state::replay);
    state.leaseExpiresAt = surroundings.now() + MembershipConstants.LEASE_DURATION_MS;
    led.put(leadership.key, state);
    leadership.whenLost(
        () -> {
          led.remove(leadership.key);
          journal.add("lost", leadership.key, "");
        });
    journal.add("owned", leadership.key, "epoch " + leadership.epoch().counter());
    whenLed.accept(state);
  }

  // ---- leading

  /** Appends the key's whole new value; the callback runs once it is on a majority. */
  void put(LedKey state, Object value, Consumer<ApiError> then) {
    byte[] event = Json.bytes(value);
    state.value = Json.tree(event);
    state.valueSequence = state.key.append(true, event, then);
  }

  /** Lets every key and every claim go on with the membership as it is known now. */
  void changeSets() {
    List.copyOf(led.values()).forEach(state -> state.key.changeSets(membership.replicaSets()));
    claims.changeSets();
  }

  void promised(VoteResponse message, String fromId) {
    claims.promised(message, fromId);
  }

  void logPart(LogFetchResponse message) {
    claims.logPart(message);
  }

  void appended(AppendResponse message, String fromId) {
    LedKey state = led.get(message.key());
    ReplicatedLogLeader leadership = state != null ? state.key : claims.claiming(message.key());
    if (leadership != null) {
      leadership.appended(message, fromId);
    }
  }

  // ---- giving the leadership up

  /** Gives all keys up at once, without a successor: this node is no replica any more. */
  void abandonAll() {
    List.copyOf(led.values()).forEach(state -> state.key.stop());
    led.clear();
  }

  void transferAll() {
    List.copyOf(led.keySet()).forEach(this::transfer);
  }

  /**
   * Gives a key up and tells the next live member to take it. With no such member the key is kept,
   * unless this process stops.
   */
  void transfer(String key) {
    String successor =
        RendezvousHashing.order(key, membership.liveMembers()).stream()
            .filter(id -> !id.equals(place.id()))
            .findFirst()
            .orElse("");
    if (successor.isEmpty() && !stopping.getAsBoolean()) {
      return;
    }
    ReplicatedLogLeader leadership = led.remove(key).key;
    leadership.stop();
    if (!successor.isEmpty()) {
      sender.send(
          membership.addressOf(successor),
          successor,
          new LeadershipTransfer(key, leadership.epoch(), leadership.lastSequence()));
    }
  }
}
