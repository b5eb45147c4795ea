package applespindle.corelogic;

import applespindle.corelogic.Message.FeedItem;
import applespindle.corelogic.Message.KeyAppended;
import applespindle.corelogic.Message.KeyHandOver;
import applespindle.corelogic.Message.KeyLogPart;
import applespindle.corelogic.Message.KeyPromised;
import applespindle.corelogic.OwnedKey.ClaimOutcome;
import applespindle.corelogic.Records.Member;
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
final class CoreKeys implements KeyLeadership {
  private final Surroundings surroundings;
  private final Node.Place place;
  private final CoreMembership membership;
  private final KeyReplicas replicas;
  private final CoreTable table;
  private final Journal journal;
  private final KeyReplicas.Replies sender;
  private final BooleanSupplier stopping;
  private final Consumer<CoreKeyState> whenLed;
  private final KeyClaims claims;
  private final Map<String, CoreKeyState> led = new TreeMap<>();

  CoreKeys(
      Surroundings surroundings,
      Node.Place place,
      CoreMembership membership,
      KeyReplicas replicas,
      CoreTable table,
      Journal journal,
      KeyReplicas.Replies sender,
      BooleanSupplier stopping,
      Consumer<CoreKeyState> whenLed) {
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
        new KeyClaims(
            surroundings, place.id(), sender, key -> membership.replicaSets(), this::begin, true);
  }

  /** By key, in the order of the keys. */
  Map<String, CoreKeyState> led() {
    return led;
  }

  /** Null if this node does not lead the key. */
  CoreKeyState get(String key) {
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

  void claim(String key, Consumer<ClaimOutcome> then) {
    claims.claim(key, false, then);
  }

  /** Takes a key that its leader transfers to this node. */
  void takeOver(String key) {
    claims.claim(key, true, outcome -> {});
  }

  /** Claims a key if nobody is heard to lead it and this node comes first for it. */
  void claimIfVacant(String key) {
    KeyReplicas.Copy copy = replicas.copies().get(key);
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
                  && place.id().equals(Rendezvous.first(key, live))) {
                claim(key);
              }
            });
  }

  /**
   * Keys of members that have gone and of workers that were removed rest until a command asks for
   * them.
   */
  private boolean needsLeader(String key) {
    FeedItem item = table.get(key);
    if (item != null && key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      return Json.read(item.value(), Member.class).live();
    }
    return item != null || key.equals(MetadataKeys.BATCH_CAPACITY);
  }

  private void begin(OwnedKey leadership) {
    CoreKeyState state = new CoreKeyState(leadership);
    leadership.entries().forEach(state::replay);
    state.leaseExpiresAt = surroundings.now() + Constants.GRANT_LENGTH_MS;
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
  void put(CoreKeyState state, Object value, Consumer<Fault> then) {
    byte[] event = Json.bytes(value);
    state.value = Json.tree(event);
    state.valueSequence = state.key.append(true, event, then);
  }

  /** Lets every key and every claim go on with the membership as it is known now. */
  void changeSets() {
    List.copyOf(led.values()).forEach(state -> state.key.changeSets(membership.replicaSets()));
    claims.changeSets();
  }

  void promised(KeyPromised message, String fromId) {
    claims.promised(message, fromId);
  }

  void logPart(KeyLogPart message) {
    claims.logPart(message);
  }

  void appended(KeyAppended message, String fromId) {
    CoreKeyState state = led.get(message.key());
    OwnedKey leadership = state != null ? state.key : claims.claiming(message.key());
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
        Rendezvous.order(key, membership.liveMembers()).stream()
            .filter(id -> !id.equals(place.id()))
            .findFirst()
            .orElse("");
    if (successor.isEmpty() && !stopping.getAsBoolean()) {
      return;
    }
    OwnedKey leadership = led.remove(key).key;
    leadership.stop();
    if (!successor.isEmpty()) {
      sender.reply(
          membership.addressOf(successor),
          successor,
          new KeyHandOver(key, leadership.epoch(), leadership.lastSequence()));
    }
  }
}
