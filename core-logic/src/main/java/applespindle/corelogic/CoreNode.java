package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;
import static applespindle.corelogic.Records.Worker.GONE;
import static applespindle.corelogic.Records.Worker.LEAVING;
import static applespindle.corelogic.Records.Worker.READY;

import applespindle.corelogic.DiskRecord.Kind;
import applespindle.corelogic.Message.Ask;
import applespindle.corelogic.Message.CorePing;
import applespindle.corelogic.Message.FeedFollow;
import applespindle.corelogic.Message.FeedItem;
import applespindle.corelogic.Message.FeedNews;
import applespindle.corelogic.Message.KeyAppend;
import applespindle.corelogic.Message.KeyAppended;
import applespindle.corelogic.Message.KeyHandOver;
import applespindle.corelogic.Message.KeyLogAsk;
import applespindle.corelogic.Message.KeyLogPart;
import applespindle.corelogic.Message.KeyPromise;
import applespindle.corelogic.Message.KeyPromised;
import applespindle.corelogic.Message.KeysAsked;
import applespindle.corelogic.Message.KeysKnown;
import applespindle.corelogic.Records.CoreMember;
import applespindle.corelogic.Records.EdgeList;
import applespindle.corelogic.Records.ListVersion;
import applespindle.corelogic.Records.Member;
import applespindle.corelogic.Records.Room;
import applespindle.corelogic.Records.RoomChange;
import applespindle.corelogic.Records.Roster;
import applespindle.corelogic.Records.SignedBundle;
import applespindle.corelogic.Records.StorageState;
import applespindle.corelogic.Records.Worker;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The control plane's process: replicas and owners of the core keys, grants of members, the feed.
 */
public final class CoreNode extends Node {
  static final String BUNDLE = "bundle";
  private static final String ROOM = "batch-room";
  private static final String ROSTER = "roster";
  private static final String EDGES = "edges";

  /** The outside list of workers as one value; workers told one by one have keys of their own. */
  static final String WORKERS = "workers";

  /** Apart from the keys of single workers, which begin with worker/. */
  public static final String LIST_VERSION = "worker-list";

  /** The name under which all core keys change their replicas together. */
  private static final String CORE_SET = "core";

  private static final byte[] EMPTY = {'{', '}'};
  private static final String PART = "core";

  /** A core key this node owns: the state after every event it appended, answered or not. */
  static final class Owned {
    final OwnedKey key;

    /** What the last appended event made of the key; lost with the ownership. */
    JsonNode value = JSON.nullNode();

    final Map<String, Long> room = new LinkedHashMap<>();

    /** By batch, the group whose ceiling it counts against; absent for batches of prompts. */
    final Map<String, String> roomGroups = new HashMap<>();

    /** When each ledger entry was last spoken of by its leader; only for the audit. */
    final Map<String, Long> roomTouchedAt = new HashMap<>();

    /** Place of that value in the key's log; takeovers may stand behind it. */
    long valueSequence;

    int eventsSinceWhole;
    long grantExpiresAt;

    /** For a shard under change: who said under which set number that it has copied. */
    final Map<String, Long> copied = new HashMap<>();

    private Object decoded;
    private JsonNode decodedFrom;

    Owned(OwnedKey key) {
      this.key = key;
    }

    /** The value as its type, null if there is none yet; read once for each value. */
    <T> T as(Class<T> type) {
      if (decodedFrom != value) {
        decodedFrom = value;
        decoded = value.isNull() ? null : JSON.convertValue(value, type);
      }
      return type.cast(decoded);
    }
  }

  static final class Peer {
    long heardAt = Long.MIN_VALUE / 2;
    long newsAt = Long.MIN_VALUE / 2;
    CoreMember member;

    /** Knows of no roster at all. */
    boolean blank;

    /** Knows the roster, is not in it, and could be. */
    boolean candidate;

    boolean voter;

    /**
     * The roster it proposes or passes on while it knows of none, and whether it has accepted it.
     */
    Roster proposal;

    boolean accepted;
    long rosterNumber;
    boolean hearsUs;
    String feedId = "";
    long feedIncarnation;
    long feedNumber;
  }

  private record Follower(String id, String address, long until) {}

  /** Asked while no majority of the core was heard: its answer could not say that it is fresh. */
  private long lastLookAt = Long.MIN_VALUE / 2;

  /** By follower, when it was last sent the whole table. */
  private final Map<String, Long> checkpointSentAt = new HashMap<>();

  private record Unsure(FeedFollow follow, String fromId) {}

  private final Bounds bounds;

  /** Peer addresses of the first members; empty where these are found by the seeds. */
  private final List<String> founders;

  private final CoreFounding founding;
  private final BundleDuty bundles;
  private final WorkerListDuty workerList;
  private final StorageSets storage;
  private final KeyReplicas replicas;
  private final ReplicaCopier copier;
  final Map<String, Owned> owned = new TreeMap<>();
  private final KeyClaims claims;

  /** By peer address, as a founder's id is not known before it speaks. */
  private final Map<String, Peer> peers = new TreeMap<>();

  final CoreTable table = new CoreTable();

  private final Feed feed = new Feed();
  private boolean started;
  private long startedAt;
  private long searches;
  private final Map<String, Long> coreSilentSince = new HashMap<>();
  private final Map<String, Follower> followers = new LinkedHashMap<>();
  private final Map<String, Unsure> unsure = new LinkedHashMap<>();
  private final NewsInForce inForce;
  private final RoomPace roomPace;
  private final EdgeListing edgeListing;
  private final LossMargin lossMargin;

  public CoreNode(
      Surroundings surroundings,
      Place place,
      Map<String, String> operatorKeys,
      List<String> founders) {
    this(surroundings, place, operatorKeys, founders, Bounds.DEFAULT);
  }

  public CoreNode(
      Surroundings surroundings,
      Place place,
      Map<String, String> operatorKeys,
      List<String> founders,
      Bounds bounds) {
    super(surroundings, place);
    this.bounds = bounds;
    this.founders = founders;
    this.founding =
        new CoreFounding(
            surroundings, place, bounds, self(), peers, this::alive, this::learnRoster);
    this.bundles = new BundleDuty(bounds, operatorKeys);
    this.workerList =
        new WorkerListDuty(
            surroundings,
            bounds,
            state -> owned.get(WORKERS) == state,
            this::put,
            () -> passOn(WORKERS));
    this.storage = new StorageSets(surroundings, this, bounds);
    this.replicas = new KeyReplicas(surroundings, this::send, this::committed, key -> CORE_SET);
    this.claims =
        new KeyClaims(surroundings, place.id(), this::send, key -> coreSets(), this::begin, true);
    this.copier = new ReplicaCopier(surroundings, this, replicas, new HashMap<>(), id -> "");
    this.edgeListing = new EdgeListing(surroundings);
    this.lossMargin = new LossMargin(bounds.lossesToBear());
    this.roomPace = new RoomPace(surroundings);
    this.inForce =
        new NewsInForce(
            surroundings,
            bounds.edgesConfirm(),
            this::edgesThatCount,
            () -> isMember() && feedAge() < Constants.CORE_SILENT_MS,
            address -> send(address, "", new KeysAsked(surroundings.now())));
  }

  @Override
  protected void boundsChanged(Bounds newer) {
    workerList.boundsChanged(newer);
  }

  public KeyReplicas replicas() {
    return replicas;
  }

  @Override
  public void recover(DiskRecord record) {
    if (CoreFounding.owns(record)) {
      founding.recover(record);
    } else if (record.kind() == Kind.ROSTER) {
      learnRoster(Json.read(record.payload(), Roster.class));
    } else {
      replicas.recover(record);
    }
  }

  @Override
  public List<DiskRecord> checkpoint() {
    List<DiskRecord> records = new ArrayList<>();
    if (roster.number() > 0) {
      records.add(rosterRecord());
    } else {
      records.addAll(founding.records());
    }
    records.addAll(replicas.checkpoint());
    return records;
  }

  private DiskRecord rosterRecord() {
    return new DiskRecord(
        Kind.ROSTER, ROSTER, Epoch.NONE, roster.number(), true, Json.bytes(roster));
  }

  private boolean isMember() {
    return names(roster.members(), place.id());
  }

  /** A member, or the newcomer of a change under way, which takes entries but owns nothing yet. */
  private boolean isReplica() {
    return isMember() || names(roster.next(), place.id());
  }

  private static boolean names(List<CoreMember> members, String id) {
    return members.stream().anyMatch(member -> member.id().equals(id));
  }

  private ReplicaSets coreSets() {
    return new ReplicaSets(
        roster.number(), coreReplicas(roster.members()), coreReplicas(roster.next()));
  }

  private static List<OwnedKey.Replica> coreReplicas(List<CoreMember> members) {
    return members.stream()
        .map(member -> new OwnedKey.Replica(member.id(), member.peerAddress()))
        .toList();
  }

  @Override
  protected void learnRoster(Roster told) {
    long before = roster.number();
    super.learnRoster(told);
    if (roster.number() == before || !started) {
      return;
    }
    meetRoster();
    peers.entrySet().removeIf(each -> !inRoster(each.getKey()) && !alive(each.getValue()));
    if (isReplica() || bounds.voter()) {
      surroundings.write(List.of(rosterRecord()), () -> {});
    }
    if (!isReplica()) {
      List.copyOf(owned.values()).forEach(state -> state.key.stop());
      owned.clear();
      return;
    }
    replicas.learnSet(CORE_SET, roster.number(), this::copyIfNewcomer);
    List.copyOf(owned.values()).forEach(state -> state.key.changeSets(coreSets()));
    claims.changeSets();
  }

  private void meetRoster() {
    membersAndNewcomers()
        .forEach(member -> peers.computeIfAbsent(member.peerAddress(), unseen -> new Peer()));
    peers.remove(place.peerAddress());
  }

  private boolean inRoster(String peerAddress) {
    return roster.members().stream().anyMatch(member -> member.peerAddress().equals(peerAddress))
        || roster.next().stream().anyMatch(member -> member.peerAddress().equals(peerAddress));
  }

  private void copyIfNewcomer() {
    long number = roster.number();
    if (isMember() || !isReplica()) {
      return;
    }
    journal.add("copying", CORE_SET, "set " + number);
    copier.copyIn(
        CORE_SET,
        number,
        coreReplicas(roster.members()),
        () -> roster.number() == number && !stopped(),
        () -> sayCopied(number));
  }

  private void sayCopied(long number) {
    if (roster.number() != number || stopped()) {
      return;
    }
    ask(
        attempt -> {
          CoreMember member = roster.members().get(attempt % roster.members().size());
          return new Target(member.id(), member.peerAddress());
        },
        "copied",
        ROSTER,
        JSON.createObjectNode().put("id", place.id()).put("number", number),
        Constants.ASK_EXPIRY_MS,
        response -> {});
    surroundings.after(Constants.COPIED_REPEAT_MS, () -> sayCopied(number));
  }

  @Override
  public void start() {
    started = true;
    startedAt = surroundings.now();
    replicas.recovered();
    copyIfNewcomer();
    for (String address : founders.isEmpty() && roster.number() == 0 ? seeds : founders) {
      if (!address.equals(place.peerAddress())) {
        peers.put(address, new Peer());
      }
    }
    meetRoster();
    if (founders.isEmpty() && roster.number() == 0) {
      founding.start();
    }
    if (isMember()) {
      ping();
      followPeers();
    }
    every(Constants.CORE_PING_MS, this::tick);
    every(Constants.CORE_SEARCH_MS, this::searchCore);
    every(Constants.FEED_POLL_MS, this::followPeers);
  }

  // ---- the roster and the other core nodes

  private void tick() {
    if (bounds.voter() || roster.number() == 0 && founding.coordinates()) {
      ping();
    }
    if (roster.number() == 0) {
      if (founders.isEmpty()) {
        founding.tick();
      } else {
        formRoster();
      }
    }
    if (isMember() && !stopping) {
      claimOrphans();
      changeRoster();
      expireMembers();
      listEdges();
      listWorkers();
      storage.tick();
      auditRoom();
      lossMargin.look(
          LossMargin.bearable(coreSets(), liveCore()::contains),
          storage.lossesBearable(),
          surroundings.now());
    }
    inForce.tick();
  }

  private void ping() {
    ping(List.copyOf(peers.keySet()));
  }

  private void ping(List<String> addresses) {
    ObjectNode ping = JSON.createObjectNode();
    ping.set("member", JSON.valueToTree(self()));
    ping.put("blank", roster.number() == 0 && (!founders.isEmpty() || founding.mayFound()))
        .put("candidate", roster.number() > 0 && !isReplica() && bounds.voter())
        .put("voter", bounds.voter());
    if (roster.number() == 0 && founding.proposal() != null) {
      ping.set("proposal", JSON.valueToTree(founding.proposal()));
      ping.put("accepted", founding.hasAccepted());
    }
    ArrayNode heard = ping.putArray("heard");
    peers.values().stream().filter(this::alive).forEach(peer -> heard.add(peer.member.id()));
    ping.put("number", roster.number());
    ArrayNode owns = ping.putArray("owns");
    List<String> inContact = ownedInContact();
    inContact.forEach(owns::add);
    byte[] body = Json.bytes(ping);
    byte[] withRoster =
        roster.number() == 0 ? body : Json.bytes(ping.set("roster", JSON.valueToTree(roster)));
    for (String address : addresses) {
      Peer peer = peers.get(address);
      boolean knowsRoster = peer != null && alive(peer) && peer.rosterNumber >= roster.number();
      send(address, "", new CorePing(knowsRoster ? body : withRoster));
    }
    // This process's own copies of the keys it owns: to itself it says so without a message.
    inContact.forEach(key -> replicas.ownerLives(key, place.id(), place.peerAddress()));
  }

  /** Others may claim a key whose owner hears no majority: it is not said to be owned any more. */
  private List<String> ownedInContact() {
    return owned.values().stream()
        .filter(state -> state.key.hearsMajority())
        .map(state -> state.key.key)
        .toList();
  }

  /**
   * Seeds may be stale, down, or as new as this process: whoever is known is asked. A seed that is
   * no member may have forgotten the core, and others that know only this seed rely on it: it is
   * told now and then.
   */
  private void searchCore() {
    boolean oneInSome = ++searches % Constants.CORE_TELL_ONE_IN == 0;
    if (isMember() && oneInSome) {
      seeds.stream()
          .filter(seed -> !inRoster(seed) && !seed.equals(place.peerAddress()))
          .forEach(seed -> send(seed, "", new Message.CoreIs(roster.number(), Json.bytes(roster))));
    }
    boolean unheard =
        isMember() ? feedAge() > Constants.CORE_SILENT_MS : bounds.voter() && liveCore().isEmpty();
    boolean lost = roster.number() == 0 || unheard;
    if (lost || !isMember() && oneInSome) {
      Set<String> known = new LinkedHashSet<>(seeds);
      roster.members().forEach(member -> known.add(member.peerAddress()));
      known.remove(place.peerAddress());
      known.forEach(address -> send(address, "", new Message.WhereIsCore()));
    }
  }

  private CoreMember self() {
    return new CoreMember(
        place.id(), place.peerAddress(), place.httpAddress(), place.zone(), place.name());
  }

  private boolean alive(Peer peer) {
    return peer.member != null && surroundings.now() - peer.heardAt < Constants.CORE_SILENT_MS;
  }

  private void pinged(CorePing ping, String fromAddress) {
    JsonNode body = Json.tree(ping.body());
    Peer peer = peers.computeIfAbsent(fromAddress, unseen -> new Peer());
    boolean unheard = !alive(peer);
    boolean hearingEachOther = hearingEachOther(peer);
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
    if (peer.hearsUs) {
      owned.values().forEach(state -> state.key.heardBy(peer.member.id()));
    }
    body.path("owns")
        .forEach(key -> replicas.ownerLives(key.asText(), peer.member.id(), fromAddress));
    if (body.has("roster")) {
      learnRoster(JSON.convertValue(body.get("roster"), Roster.class));
    }
    if (started && isMember() && inRoster(fromAddress)) {
      if (unheard) {
        heardAgain(fromAddress);
      }
      if (!hearingEachOther && hearingEachOther(peer) && !stopping) {
        claimOrphans();
      }
    }
  }

  /**
   * After a start or a cut a member is answered at once: what the rest of the fleet waits for is
   * that members hear each other.
   */
  private void heardAgain(String address) {
    ping(List.of(address));
    followPeer(address);
  }

  /** Where messages pass one way only, neither side counts on the other. */
  private boolean hearingEachOther(Peer peer) {
    return alive(peer) && peer.hearsUs;
  }

  private boolean hearsMajority() {
    return liveCore().size() * 2 > roster.members().size();
  }

  /**
   * A member that hears no majority can neither own nor read: it says so at once. A process that
   * started just now waits for the first greetings instead.
   */
  private boolean cutOff() {
    return isMember()
        && !hearsMajority()
        && surroundings.now() - startedAt >= Constants.CORE_SILENT_MS;
  }

  /**
   * Only the first founder forms roster 1, and only while each other founder, hearing this very
   * process, says that it is blank: so none of them is in a roster already.
   */
  private void formRoster() {
    if (founders.isEmpty() || !founders.get(0).equals(place.peerAddress())) {
      return;
    }
    List<CoreMember> members = new ArrayList<>(List.of(self()));
    for (String address : founders.subList(1, founders.size())) {
      Peer peer = peers.get(address);
      if (!alive(peer) || !peer.blank || !peer.hearsUs) {
        return;
      }
      members.add(peer.member);
    }
    Roster formed = new Roster(1, members, List.of());
    surroundings.log(PART, "Roster 1 formed.");
    learnRoster(formed);
  }

  /**
   * The owner of the roster replaces a member that has been silent for long by a candidate, one at
   * a time: first both sets, then, once the newcomer has copied, the new one. Each step is taken
   * only when the one before is committed and in use here.
   */
  private void changeRoster() {
    Owned state = owned.get(ROSTER);
    if (state == null) {
      boolean first = place.id().equals(Rendezvous.first(ROSTER, liveCore()));
      KeyReplicas.Copy copy = replicas.copies().get(ROSTER);
      if (first && (copy == null || replicas.ownerSilent(copy))) {
        claims.claim(ROSTER, false, outcome -> {});
      }
      return;
    }
    Roster inForce = state.value.isNull() ? roster : state.as(Roster.class);
    if (inForce.number() != roster.number()) {
      return;
    }
    if (!inForce.next().isEmpty()) {
      CoreMember newcomer =
          inForce.next().stream()
              .filter(member -> !inForce.members().contains(member))
              .findFirst()
              .get();
      Peer peer = peers.get(newcomer.peerAddress());
      boolean present = peer != null && alive(peer) && peer.member.id().equals(newcomer.id());
      if (state.copied.getOrDefault(newcomer.id(), 0L) == inForce.number()) {
        surroundings.log(PART, "Core member taken in: " + newcomer.name() + ".");
        put(state, new Roster(inForce.number() + 1, inForce.next(), List.of()), fault -> {});
      } else if (!present) {
        put(state, new Roster(inForce.number() + 1, inForce.members(), List.of()), fault -> {});
      }
      return;
    }
    long now = surroundings.now();
    for (CoreMember member : inForce.members()) {
      Peer peer = peers.get(member.peerAddress());
      boolean sameProcess =
          peer != null && peer.member != null && peer.member.id().equals(member.id());
      if (member.id().equals(place.id()) || sameProcess && alive(peer)) {
        coreSilentSince.remove(member.id());
        continue;
      }
      boolean silentForLong =
          now - coreSilentSince.computeIfAbsent(member.id(), unseen -> now)
              >= Constants.CORE_REPLACE_MS;
      // Another process at the address says that the member's disk is gone: it never comes back, so
      // nothing is waited for.
      Optional<CoreMember> candidate =
          peer != null && !sameProcess && alive(peer) && peer.candidate
              ? Optional.of(peer.member)
              : silentForLong ? candidateFor(member) : Optional.empty();
      if (candidate.isPresent()) {
        List<CoreMember> next = new ArrayList<>(inForce.members());
        next.set(next.indexOf(member), candidate.get());
        changeRosterTo(
            state,
            inForce,
            next,
            "Core member "
                + member.name()
                + " is being replaced by "
                + candidate.get().name()
                + ".");
        return;
      }
    }
    if (founders.isEmpty() && inForce.members().size() < bounds.replicas()) {
      candidateFor(null)
          .ifPresent(
              candidate -> {
                List<CoreMember> next = new ArrayList<>(inForce.members());
                next.add(candidate);
                changeRosterTo(state, inForce, next, "The core takes " + candidate.name() + " in.");
              });
    }
  }

  /** One that is in the place's zone first; with no place, one of a zone with fewest members. */
  private Optional<CoreMember> candidateFor(CoreMember leaver) {
    return peers.values().stream()
        .filter(each -> alive(each) && each.candidate)
        .map(each -> each.member)
        .min(
            Comparator.comparing(
                    (CoreMember each) -> leaver != null && !each.zone().equals(leaver.zone()))
                .thenComparing(
                    each ->
                        roster.members().stream()
                            .filter(member -> member.zone().equals(each.zone()))
                            .count())
                .thenComparing(CoreMember::id));
  }

  private void changeRosterTo(Owned state, Roster inForce, List<CoreMember> next, String sentence) {
    surroundings.log(PART, sentence);
    state.copied.clear();
    put(state, new Roster(inForce.number() + 1, inForce.members(), next), fault -> {});
  }

  List<String> liveCore() {
    Set<String> live = new LinkedHashSet<>();
    for (CoreMember member : roster.members()) {
      Peer peer = peers.get(member.peerAddress());
      if (member.id().equals(place.id())
          || peer != null && hearingEachOther(peer) && peer.member.id().equals(member.id())) {
        live.add(member.id());
      }
    }
    return List.copyOf(live);
  }

  private String addressOf(String coreId) {
    return roster.members().stream()
        .filter(member -> member.id().equals(coreId))
        .map(CoreMember::peerAddress)
        .findFirst()
        .orElse("");
  }

  // ---- owning keys

  private void claimOrphans() {
    if (!hearsMajority()) {
      return;
    }
    List<String> live = liveCore();
    replicas
        .copies()
        .forEach(
            (key, copy) -> {
              if (!owned.containsKey(key)
                  && replicas.ownerSilent(copy)
                  && (worthOwning(key) || replicas.undecided(key))
                  && place.id().equals(Rendezvous.first(key, live))) {
                claims.claim(key, false, outcome -> {});
              }
            });
  }

  /**
   * Keys of members that have gone and workers that were taken out rest until somebody asks for
   * them.
   */
  private boolean worthOwning(String key) {
    FeedItem item = table.get(key);
    if (item != null && key.startsWith("member/")) {
      return Json.read(item.value(), Member.class).live();
    }
    return item != null || key.equals(ROOM);
  }

  void claim(String key) {
    claims.claim(key, false, outcome -> {});
  }

  private void begin(OwnedKey ownedKey) {
    Owned state = new Owned(ownedKey);
    for (Entry entry : ownedKey.entries()) {
      fold(state, entry);
    }
    state.grantExpiresAt = surroundings.now() + Constants.GRANT_LENGTH_MS;
    owned.put(ownedKey.key, state);
    ownedKey.whenLost(
        () -> {
          owned.remove(ownedKey.key);
          journal.add("lost", ownedKey.key, "");
        });
    journal.add("owned", ownedKey.key, "epoch " + ownedKey.epoch().counter());
    if (ownedKey.key.equals(WORKERS) && bounds.listCallsPerS() > 0) {
      workerList.begin(state);
    }
  }

  private static void fold(Owned state, Entry entry) {
    if (entry.isTakeover()) {
      return;
    }
    if (!state.key.key.equals(ROOM)) {
      state.value = Json.tree(entry.event());
      state.valueSequence = entry.sequence();
    } else if (entry.whole()) {
      Room whole = Json.read(entry.event(), Room.class);
      state.room.clear();
      state.room.putAll(whole.items());
      state.roomGroups.clear();
      state.roomGroups.putAll(whole.groups());
    } else {
      RoomChange change = Json.read(entry.event(), RoomChange.class);
      if (change.items() == 0) {
        state.room.remove(change.batch());
        state.roomGroups.remove(change.batch());
      } else {
        state.room.put(change.batch(), change.items());
        if (!change.group().isEmpty()) {
          state.roomGroups.put(change.batch(), change.group());
        }
      }
    }
  }

  /** Appends the key's whole new value and tells once it is on a majority. */
  void put(Owned state, Object value, Consumer<Fault> then) {
    byte[] event = Json.bytes(value);
    state.value = Json.tree(event);
    state.valueSequence = state.key.append(true, event, then);
  }

  private void committed(String key, Entry entry) {
    if (!entry.isTakeover() && entry.whole() && !key.equals(ROOM)) {
      byte[] value = key.equals(BUNDLE) ? BundleDuty.forFeed(entry.event()) : entry.event();
      learn(new FeedItem(key, entry.sequence(), value));
    }
  }

  // ---- the feed

  private void learn(FeedItem item) {
    replicas.committedElsewhere(item.key(), item.sequence());
    if (!table.put(item)) {
      return;
    }
    if (item.key().equals(ROSTER)) {
      learnRoster(Json.read(item.value(), Roster.class));
    }
    if (isMember()
        && (item.key().startsWith(CoreTable.MEMBER) || item.key().startsWith(CoreTable.STORAGE))) {
      storage.lookSoon();
    }
    feed.add(item);
    journal.add("committed", item.key(), "sequence " + item.sequence());
    long now = surroundings.now();
    followers.values().removeIf(follower -> follower.until() < now);
    for (Follower follower : followers.values()) {
      send(
          follower.address(),
          follower.id(),
          new FeedNews(
              place.id(),
              place.incarnation(),
              feed.number() - 1,
              feed.number(),
              false,
              false,
              feedAge(),
              0,
              List.of(item)));
    }
  }

  /**
   * Something that edges work by was on this disk at the start and is not yet known to be committed
   * or not.
   */
  private boolean lacksDecision() {
    return replicas.anyUndecided(key -> !key.equals(ROOM) && !key.startsWith(CoreTable.MEMBER));
  }

  /**
   * How old this node's view may be: the time since it last had news from a majority of the core,
   * itself included, and while its members change from a majority of the next ones too: the change
   * may be done without this node having heard so.
   */
  private long feedAge() {
    if (!isMember()) {
      return Long.MAX_VALUE / 4;
    }
    long ofMembers = newsAge(roster.members());
    return roster.next().isEmpty() ? ofMembers : Math.max(ofMembers, newsAge(roster.next()));
  }

  /**
   * The time since the last news from a majority of these. Nodes that lack a decision do not count:
   * what they are not sure of may have been acknowledged.
   */
  private long newsAge(List<CoreMember> members) {
    long now = surroundings.now();
    long[] ages =
        members.stream()
            .mapToLong(
                member -> {
                  Peer peer = peers.get(member.peerAddress());
                  return member.id().equals(place.id())
                      ? lacksDecision() ? Long.MAX_VALUE / 4 : 0
                      : peer == null
                          ? Long.MAX_VALUE / 4
                          : Math.min(now - peer.newsAt, Long.MAX_VALUE / 4);
                })
            .sorted()
            .toArray();
    return ages[ages.length / 2];
  }

  private void followed(FeedFollow follow, String fromId, String fromAddress) {
    followers.put(
        fromAddress,
        new Follower(fromId, fromAddress, surroundings.now() + 3 * Constants.FEED_POLL_MS));
    if (feedAge() < Constants.CORE_SILENT_MS) {
      unsure.remove(fromAddress);
    } else {
      unsure.put(fromAddress, new Unsure(follow, fromId));
    }
    boolean known =
        follow.coreId().equals(place.id())
            && follow.incarnation() == place.incarnation()
            && follow.number() <= feed.number();
    List<FeedItem> news = known ? feed.after(follow.number()) : table.lackedBy(follow);
    if (!known && sentOfLate(fromId, news)) {
      return;
    }
    boolean silent = inRoster(fromAddress) && lacksDecision();
    send(
        fromAddress,
        fromId,
        new FeedNews(
            place.id(),
            place.incarnation(),
            known ? follow.number() : 0,
            feed.number(),
            !known,
            false,
            feedAge(),
            silent ? 0 : follow.sentAt(),
            news));
  }

  /**
   * Whether a table is on its way to this follower already: one that asks again before a large one
   * has arrived over a slow link would be sent it over and over. Small ones are always sent.
   */
  private boolean sentOfLate(String followerId, List<FeedItem> news) {
    long now = surroundings.now();
    long bytes = news.stream().mapToLong(item -> item.value().length).sum();
    checkpointSentAt.values().removeIf(sentAt -> now - sentAt > Constants.CHECKPOINT_KEPT_MS);
    Long sentAt = checkpointSentAt.get(followerId);
    if (sentAt != null
        && now - sentAt
            < Math.min(Constants.CHECKPOINT_KEPT_MS, bytes / Constants.CHECKPOINT_BYTES_A_MS)) {
      return true;
    }
    checkpointSentAt.put(followerId, now);
    return false;
  }

  private void tellUnsure() {
    if (!unsure.isEmpty() && feedAge() < Constants.CORE_SILENT_MS) {
      Map<String, Unsure> waited = new LinkedHashMap<>(unsure);
      unsure.clear();
      waited.forEach((address, each) -> followed(each.follow(), each.fromId(), address));
    }
  }

  /** Core nodes follow each other's feeds: the repair of whatever one of them missed. */
  private void followPeers() {
    membersAndNewcomers().forEach(member -> followPeer(member.peerAddress()));
  }

  private Set<CoreMember> membersAndNewcomers() {
    Set<CoreMember> all = new LinkedHashSet<>(roster.members());
    all.addAll(roster.next());
    return all;
  }

  private void followPeer(String address) {
    for (CoreMember member : membersAndNewcomers()) {
      if (member.peerAddress().equals(address) && !member.id().equals(place.id())) {
        Peer peer = peers.computeIfAbsent(address, unseen -> new Peer());
        send(
            address,
            member.id(),
            new FeedFollow(
                peer.feedId,
                peer.feedIncarnation,
                peer.feedNumber,
                surroundings.now(),
                table.sharedDigest(),
                table.has(BUNDLE) ? table.get(BUNDLE).sequence() : 0));
      }
    }
  }

  private void news(FeedNews news, String fromAddress) {
    Peer peer = peers.get(fromAddress);
    if (peer == null) {
      return;
    }
    boolean fits =
        news.checkpoint()
            || news.coreId().equals(peer.feedId)
                && news.incarnation() == peer.feedIncarnation
                && news.fromNumber() <= peer.feedNumber;
    if (!fits) {
      return;
    }
    peer.newsAt = Math.max(peer.newsAt, news.echoedAt() == 0 ? peer.newsAt : news.echoedAt());
    peer.feedId = news.coreId();
    peer.feedIncarnation = news.incarnation();
    peer.feedNumber = news.number();
    news.items().forEach(this::learn);
    tellUnsure();
  }

  // ---- members and shards

  /**
   * Renewals that came while this process stood still wait behind this very look: what it missed
   * itself is no silence of the members. A grant that ends later than it might is always safe.
   */
  private void expireMembers() {
    long now = surroundings.now();
    long stoodStillMs = now - lastLookAt;
    lastLookAt = now;
    if (stoodStillMs > Constants.LOOK_LATE_MS) {
      owned.values().forEach(state -> state.grantExpiresAt += stoodStillMs);
      return;
    }
    for (Owned state : List.copyOf(owned.values())) {
      if (state.key.key.startsWith("member/")
          && state.value.path("live").asBoolean()
          && now >= state.grantExpiresAt) {
        Member member = JSON.convertValue(state.value, Member.class);
        surroundings.log(PART, "Member expired: " + member.name() + ".");
        put(state, withLive(member, false), fault -> {});
      }
    }
  }

  private static Member withLive(Member member, boolean live) {
    return new Member(
        member.id(),
        member.incarnation(),
        member.name(),
        member.zone(),
        member.role(),
        member.peerAddress(),
        member.httpAddress(),
        live);
  }

  // ---- the list of edges that count

  private NewsInForce.Edges edgesThatCount() {
    Map<String, String> live = new TreeMap<>();
    table.live("edge").forEach(member -> live.put(member.peerAddress(), member.name()));
    return new NewsInForce.Edges(
        table.edges() == null ? List.of() : table.edges().addresses(), live);
  }

  private void listEdges() {
    Owned state = owned.get(EDGES);
    Set<String> live = edgesThatCount().live().keySet();
    if (state == null) {
      if (!table.has(EDGES)
          && !live.isEmpty()
          && place.id().equals(Rendezvous.first(EDGES, liveCore()))) {
        claims.claim(EDGES, false, outcome -> {});
      }
      return;
    }
    EdgeList list = state.as(EdgeList.class);
    EdgeList next =
        edgeListing.next(
            list, live, list != null && inForce.knownToMost(EDGES, state.valueSequence));
    if (next != null) {
      surroundings.log(
          PART, "Edges that count: list " + next.number() + " of " + next.addresses().size() + ".");
      put(state, next, fault -> {});
    }
  }

  /** Somebody is always on the duty, also before the first value is there. */
  private void listWorkers() {
    KeyReplicas.Copy copy = replicas.copies().get(WORKERS);
    if (bounds.listCallsPerS() > 0
        && !owned.containsKey(WORKERS)
        && (copy == null || replicas.ownerSilent(copy))
        && place.id().equals(Rendezvous.first(WORKERS, liveCore()))) {
      claims.claim(WORKERS, false, outcome -> {});
    }
  }

  // ---- asks

  @Override
  protected void handleAsk(Ask ask) {
    if (ask.duty().equals("copy")) {
      copier.copyOut(ask);
      return;
    }
    if (!isMember()) {
      respond(ask, Response.of(new Fault.NotReady("this process is not in the core's roster")));
      return;
    }
    if (ask.duty().equals("storage-id")) {
      storage.tellId(ask, feedAge() < Constants.CORE_SILENT_MS);
      return;
    }
    Owned state = owned.get(ask.key());
    if (state != null) {
      run(ask, state);
      return;
    }
    if (cutOff()) {
      respond(ask, Response.of(new Fault.NoMajority(ask.key())));
      return;
    }
    String first = Rendezvous.first(ask.key(), liveCore());
    KeyReplicas.Copy copy = replicas.copies().get(ask.key());
    if (copy != null && !replicas.ownerSilent(copy) && !copy.owner.equals(place.id())) {
      handOver(ask, copy.owner, copy.ownerAddress);
    } else if (!place.id().equals(first)) {
      handOver(ask, first, addressOf(first));
    } else if (stopping) {
      respond(ask, Response.of(new Fault.NodeStopping()));
    } else {
      claims.claim(
          ask.key(),
          false,
          outcome -> {
            switch (outcome.claim()) {
              case OWNED -> run(ask, owned.get(ask.key()));
              case BUSY -> handOver(ask, outcome.ownerId(), outcome.ownerAddress());
              case NO_MAJORITY -> respond(ask, Response.of(new Fault.NoMajority(ask.key())));
            }
          });
    }
  }

  private void run(Ask ask, Owned state) {
    if (state == null) {
      respond(ask, Response.of(new Fault.NotOwner(ask.key())));
      return;
    }
    if (!state.key.hearsMajority()) {
      respond(ask, Response.of(new Fault.NoMajority(ask.key())));
      return;
    }
    switch (ask.duty()) {
      case "grant" -> grant(ask, state, Json.read(ask.body(), Member.class));
      case "leave" -> leave(ask, state);
      case "bundle" -> bundle(ask, state, Json.read(ask.body(), SignedBundle.class));
      case "worker" -> worker(ask, state, Json.read(ask.body(), Worker.class));
      case "list-version" -> listVersion(ask, state, Json.tree(ask.body()));
      case "room" -> room(ask, state, Json.tree(ask.body()));
      case "copied" -> copied(ask, state, Json.tree(ask.body()));
      case "storage" -> storage.mark(ask, state, Json.read(ask.body(), StorageState.class));
      case "storage-place" -> storage.place(ask, state);
      case "read" -> read(ask, state);
      default -> respond(ask, Response.of(new Fault.UnknownDuty(ask.duty())));
    }
  }

  /**
   * The value as it was when the ask came: all of it is committed once that is confirmed, which
   * can't be said of what is appended meanwhile.
   */
  private void read(Ask ask, Owned state) {
    JsonNode value = state.value;
    state.key.confirm(
        fault -> respond(ask, fault == null ? Response.of(200, value) : Response.of(fault)));
  }

  private void copied(Ask ask, Owned state, JsonNode body) {
    state.copied.put(body.path("id").asText(), body.path("number").asLong());
    respond(ask, Response.of(200, body));
    if (state.key.key.equals(ROSTER)) {
      changeRoster();
    } else {
      storage.lookSoon();
    }
  }

  private void grant(Ask ask, Owned state, Member member) {
    state.grantExpiresAt = surroundings.now() + Constants.GRANT_LENGTH_MS;
    ObjectNode body = JSON.createObjectNode().put("grantMs", Constants.GRANT_LENGTH_MS);
    if (!state.value.isNull() && member.equals(JSON.convertValue(state.value, Member.class))) {
      respond(ask, Response.of(200, body));
      return;
    }
    surroundings.log(PART, "Member joined: " + member.name() + ".");
    strikeFormer(member);
    put(
        state,
        member,
        fault -> respond(ask, fault == null ? Response.of(200, body) : Response.of(fault)));
  }

  /**
   * An edge keeps no id over a restart: whoever was at its address has ended, and its duties need
   * not wait for its grant.
   */
  private void strikeFormer(Member joined) {
    table.live("edge").stream()
        .filter(
            member ->
                member.peerAddress().equals(joined.peerAddress())
                    && !member.id().equals(joined.id()))
        .forEach(former -> command("leave", CoreTable.MEMBER + former.id(), EMPTY, response -> {}));
  }

  private void leave(Ask ask, Owned state) {
    if (state.value.path("live").asBoolean()) {
      put(
          state,
          withLive(JSON.convertValue(state.value, Member.class), false),
          fault ->
              respond(
                  ask,
                  fault == null ? Response.of(200, JSON.createObjectNode()) : Response.of(fault)));
    } else {
      respond(ask, Response.of(200, JSON.createObjectNode()));
    }
  }

  private void bundle(Ask ask, Owned state, SignedBundle sent) {
    bundles.take(
        state,
        sent,
        this::put,
        new BundleDuty.Outcome() {
          @Override
          public void refuse(Fault fault) {
            respond(ask, Response.of(fault));
          }

          @Override
          public void accept(long number, Fault fault) {
            acknowledge(ask, state, JSON.createObjectNode().put("number", number), fault);
          }
        });
  }

  /**
   * What is committed is told only once it is in force: no edge can then still begin work by older
   * news.
   */
  private void acknowledge(Ask ask, Owned state, ObjectNode body, Fault fault) {
    if (fault != null) {
      respond(ask, Response.of(fault));
      return;
    }
    String key = state.key.key;
    inForce.await(
        key,
        state.valueSequence,
        body,
        response -> {
          journal.add(
              response.good() ? "acknowledged" : "not-acknowledged",
              key,
              "sequence " + state.valueSequence);
          respond(ask, response);
        });
  }

  private void worker(Ask ask, Owned state, Worker sent) {
    Worker known = state.value.isNull() ? null : JSON.convertValue(state.value, Worker.class);
    boolean absent = known == null || known.state().equals(GONE);
    boolean marksKnown = sent.address().isEmpty();
    if (marksKnown && absent) {
      state.key.confirm(
          fault ->
              respond(ask, Response.of(fault == null ? new Fault.NoSuchWorker(sent.id()) : fault)));
      return;
    }
    Worker next =
        marksKnown
            ? new Worker(
                known.id(),
                known.address(),
                known.pool(),
                sent.state(),
                known.zone(),
                known.slots())
            : sent;
    if (next.equals(known)) {
      state.key.confirm(fault -> acknowledge(ask, state, JSON.valueToTree(next), fault));
    } else {
      put(state, next, fault -> acknowledge(ask, state, JSON.valueToTree(next), fault));
    }
  }

  /**
   * Compare-and-set of the worker list's version: of two platforms that start from one version, one
   * goes on.
   */
  private void listVersion(Ask ask, Owned state, JsonNode body) {
    long version = state.value.path("version").asLong(0);
    JsonNode from = body.path("from");
    if (from.isIntegralNumber() && from.asLong() != version) {
      state.key.confirm(
          fault ->
              respond(
                  ask, Response.of(fault == null ? new Fault.VersionConflict(version) : fault)));
      return;
    }
    put(
        state,
        new ListVersion(version + 1),
        fault ->
            respond(
                ask,
                fault == null
                    ? Response.of(200, new ListVersion(version + 1))
                    : Response.of(fault)));
  }

  // ---- room for waiting batch work

  /**
   * Sets a batch's unfinished items. Only a first reservation can be refused, and then nothing is
   * written.
   */
  private void room(Ask ask, Owned state, JsonNode body) {
    String batch = body.get("batch").asText();
    long items = body.get("items").asLong();
    long ceiling = body.path("ceiling").asLong(0);
    long present = state.room.getOrDefault(batch, 0L);
    boolean reserves = body.path("reserve").asBoolean();
    String group = body.path("group").asText(state.roomGroups.getOrDefault(batch, ""));
    boolean unbounded = !group.isEmpty() && ceiling == 0;
    state.roomTouchedAt.put(batch, surroundings.now());
    if (reserves && present == 0 && !unbounded) {
      long waiting = waitingRoom(state, group);
      if (items > ceiling && group.isEmpty()) {
        respond(ask, Response.of(new Fault.BatchOverCeiling((int) items, ceiling)));
        return;
      }
      if (waiting + items > ceiling) {
        respond(
            ask,
            Response.of(
                new Fault.NoRoom(waiting, ceiling),
                roomPace.secondsUntil(waiting + items - ceiling)));
        return;
      }
    }
    ObjectNode told = JSON.createObjectNode();
    if (reserves && present > 0 || !reserves && (present == 0 || present == items)) {
      state.key.confirm(
          fault ->
              respond(
                  ask,
                  fault == null
                      ? Response.of(200, told.put("waiting", waitingRoom(state, group)))
                      : Response.of(fault)));
      return;
    }
    roomPace.freed(Math.max(0, present - items));
    if (items == 0) {
      state.room.remove(batch);
      state.roomGroups.remove(batch);
      state.roomTouchedAt.remove(batch);
    } else {
      state.room.put(batch, items);
      if (!group.isEmpty()) {
        state.roomGroups.put(batch, group);
      }
    }
    boolean whole = ++state.eventsSinceWhole >= Constants.WHOLE_STATE_EVERY;
    Object event =
        whole ? new Room(state.room, state.roomGroups) : new RoomChange(batch, items, group);
    state.eventsSinceWhole = whole ? 0 : state.eventsSinceWhole;
    state.key.append(
        whole,
        Json.bytes(event),
        fault ->
            respond(
                ask,
                fault == null
                    ? Response.of(200, told.put("waiting", waitingRoom(state, group)))
                    : Response.of(fault)));
  }

  private static long waitingRoom(Owned state, String group) {
    return state.room.entrySet().stream()
        .filter(entry -> state.roomGroups.getOrDefault(entry.getKey(), "").equals(group))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  /** A ledger entry nobody spoke of for long: some edge looks whether its batch exists at all. */
  private void auditRoom() {
    Owned state = owned.get(ROOM);
    if (state == null) {
      return;
    }
    long now = surroundings.now();
    List<Member> edges = table.live("edge");
    for (String batch : state.room.keySet()) {
      long touchedAt = state.roomTouchedAt.computeIfAbsent(batch, unseen -> now);
      if (now - touchedAt >= Constants.ROOM_AUDIT_MS && !edges.isEmpty()) {
        state.roomTouchedAt.put(batch, now);
        String chosenEdge = Rendezvous.first(batch, edges.stream().map(Member::id).toList());
        edges.stream()
            .filter(member -> member.id().equals(chosenEdge))
            .findFirst()
            .ifPresent(
                member ->
                    send(
                        member.peerAddress(),
                        member.id(),
                        new Message.Unfinished(List.of("batch/" + batch))));
      }
    }
  }

  // ---- messages, interface, end

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof KeyAppend append) {
      if (isReplica()) {
        replicas.append(append, fromId, fromAddress);
        tellUnsure();
      }
    } else if (message instanceof KeyPromise promise) {
      if (isReplica()) {
        replicas.promise(promise, fromId, fromAddress);
      }
    } else if (message instanceof KeyLogAsk logAsk) {
      if (isReplica()) {
        replicas.tellLog(logAsk, fromId, fromAddress);
      }
    } else if (message instanceof KeyPromised promised) {
      claims.promised(promised, fromId);
    } else if (message instanceof KeyLogPart part) {
      claims.logPart(part);
    } else if (message instanceof KeyAppended appended) {
      Owned state = owned.get(appended.key());
      OwnedKey ownedKey = state != null ? state.key : claims.claiming(appended.key());
      if (ownedKey != null) {
        ownedKey.appended(appended, fromId);
      }
    } else if (message instanceof CorePing ping) {
      pinged(ping, fromAddress);
    } else if (message instanceof FeedFollow follow) {
      followed(follow, fromId, fromAddress);
    } else if (message instanceof FeedNews news) {
      news(news, fromAddress);
    } else if (message instanceof KeysKnown known) {
      inForce.known(known);
    } else if (message instanceof KeyHandOver handedOver) {
      if (isMember() && !stopping && !owned.containsKey(handedOver.key())) {
        claims.claim(handedOver.key(), true, outcome -> {});
      }
    }
  }

  /** What emptying a node would move where; nothing is changed. */
  public ObjectNode planEmptying(String id) {
    return storage.planEmptying(id);
  }

  /** A storage node's id by its id or its name; the text itself if neither is known. */
  public String storageId(String idOrName) {
    return storage.idOf(idOrName).orElse(idOrName);
  }

  /** Every storage node known, with its state and how many shards name it. */
  public ArrayNode storageNodes() {
    return storage.nodes();
  }

  /**
   * Has a storage node emptied by its name: all shards keep all of their replicas, so it is refused
   * unless enough others remain. durationMs is how long the caller expects it to take; moving
   * begins at once whatever it says.
   */
  public void emptyStorage(String name, long durationMs, Consumer<Response> then) {
    withStorageId(
        name,
        then,
        id ->
            command(
                "storage",
                CoreTable.STORAGE + id,
                new StorageState(id, name, StorageState.EMPTYING),
                then));
  }

  /**
   * Whether a storage node may be taken away: complete is true once nothing is on it and nothing
   * lacks a replica.
   */
  public void storagePlace(String name, Consumer<Response> then) {
    withStorageId(name, then, id -> command("storage-place", CoreTable.STORAGE + id, EMPTY, then));
  }

  private void withStorageId(String name, Consumer<Response> then, Consumer<String> next) {
    command(
        "storage-id",
        name,
        EMPTY,
        response -> {
          if (response.good()) {
            next.accept(response.body().path("id").asText());
          } else {
            then.accept(response);
          }
        });
  }

  /** An operator's or the platform's ask that came in over HTTP here. */
  public void command(String duty, String key, Object body, Consumer<Response> then) {
    if (stopping) {
      then.accept(Response.of(new Fault.NodeStopping()));
      return;
    }
    if (cutOff()) {
      then.accept(Response.of(new Fault.NoMajority(key)));
      return;
    }
    boolean cutOffSoFar = isMember() && !hearsMajority();
    ask(
        attempt -> {
          if (isMember() || roster.members().isEmpty()) {
            return new Target(place.id(), place.peerAddress());
          }
          CoreMember member = roster.members().get(attempt % roster.members().size());
          return new Target(member.id(), member.peerAddress());
        },
        duty,
        key,
        body,
        cutOffSoFar ? Constants.CORE_SILENT_MS : Constants.ASK_EXPIRY_MS,
        then);
  }

  /** The workers as committed and known here, with the age of this knowledge. */
  public ObjectNode workers() {
    ObjectNode body = JSON.createObjectNode();
    ArrayNode workers = body.putArray("workers");
    table
        .under("worker/")
        .map(item -> Json.tree(item.value()))
        .filter(worker -> !worker.path("state").asText().equals(GONE))
        .forEach(workers::add);
    if (table.has(WORKERS)) {
      Json.tree(table.get(WORKERS).value()).path("workers").forEach(workers::add);
    }
    FeedItem version = table.get(LIST_VERSION);
    body.put("version", version == null ? 0 : Json.tree(version.value()).path("version").asLong());
    return body.put("ageMs", feedAge());
  }

  /** Those that were told one by one. */
  public List<String> workerIds() {
    List<String> ids = new ArrayList<>();
    table
        .under("worker/")
        .map(item -> Json.read(item.value(), Worker.class))
        .filter(worker -> !worker.state().equals(GONE))
        .forEach(worker -> ids.add(worker.id()));
    return ids;
  }

  public static Worker workerMarked(String id, boolean leaving) {
    return new Worker(id, "", "", leaving ? LEAVING : GONE);
  }

  public static Worker workerListed(Records.WorkerInput input) {
    return new Worker(
        input.id(), input.address(), input.pool(), input.state() == null ? READY : input.state());
  }

  @Override
  public String notReadyBecause() {
    if (stopping) {
      return "stopping";
    }
    if (!isMember()) {
      return "not in the core's roster";
    }
    return feedAge() > Constants.CORE_SILENT_MS ? "no majority of the core heard" : "";
  }

  @Override
  public ObjectNode status() {
    ObjectNode status = commonStatus();
    status.put("feedNumber", feed.number()).put("feedAgeMs", feedAge());
    ArrayNode live = status.putArray("liveCore");
    liveCore().forEach(live::add);
    ObjectNode keys = status.putObject("owned");
    owned.forEach((key, state) -> keys.put(key, state.key.epoch().counter()));
    ArrayNode members = status.putArray("members");
    table.live().forEach(member -> members.add(JSON.<JsonNode>valueToTree(member)));
    status.set("workers", workers().get("workers"));
    ArrayNode edges = status.putArray("edges");
    edgesThatCount().listed().forEach(edges::add);
    FeedItem bundleItem = table.get(BUNDLE);
    status.put(
        "bundle",
        bundleItem == null ? 0 : Json.read(bundleItem.value(), SignedBundle.class).number());
    ObjectNode shards = status.putObject("shards");
    table
        .under("shard/")
        .forEach(item -> shards.set(item.key().substring(6), Json.tree(item.value())));
    status.set("storage", storageNodes());
    status.put("replicas", bounds.replicas());
    status.put("shardsWithReducedRedundancy", storage.reduced());
    lossMargin.show(status, surroundings.now());
    Owned room = owned.get(ROOM);
    if (room != null) {
      status.put("waitingBatchItems", room.room.values().stream().mapToLong(Long::longValue).sum());
    }
    return status;
  }

  /** Gives a key up and tells the next live core node to take it. */
  private void passOn(String key) {
    String successor =
        Rendezvous.order(key, liveCore()).stream()
            .filter(id -> !id.equals(place.id()))
            .findFirst()
            .orElse("");
    if (successor.isEmpty() && !stopping) {
      return;
    }
    OwnedKey ownedKey = owned.remove(key).key;
    ownedKey.stop();
    if (!successor.isEmpty()) {
      send(
          addressOf(successor),
          successor,
          new KeyHandOver(key, ownedKey.epoch(), ownedKey.lastSequence()));
    }
  }

  @Override
  public void stop(Runnable whenDone) {
    stopping = true;
    List.copyOf(owned.keySet()).forEach(this::passOn);
    surroundings.after(
        Constants.CORE_PING_MS,
        () -> {
          end();
          whenDone.run();
        });
  }
}
