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
import applespindle.corelogic.Records.Member;
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
import java.util.function.Consumer;

/**
 * The control plane's process: replicas and owners of the core keys, grants of members, the feed.
 */
public final class CoreNode extends Node {
  static final String BUNDLE = "bundle";
  private static final String ROSTER = "roster";

  /** The outside list of workers as one value; workers told one by one have keys of their own. */
  static final String WORKERS = "workers";

  /** Apart from the keys of single workers, which begin with worker/. */
  public static final String LIST_VERSION = "worker-list";

  /** The name under which all core keys change their replicas together. */
  private static final String CORE_SET = "core";

  private static final byte[] EMPTY = {'{', '}'};
  private static final String PART = "core";

  private record Follower(String id, String address, long until) {}

  /** By follower, when it was last sent the whole table. */
  private final Map<String, Long> checkpointSentAt = new HashMap<>();

  /** Asked while no majority of the core was heard: its answer could not say that it is fresh. */
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
  final CoreMembership membership;

  /** The core keys that this node leads. */
  final CoreKeys keys;

  final CoreTable table = new CoreTable();

  private final Feed feed = new Feed();
  private boolean started;
  private long searches;
  private final Map<String, Long> coreSilentSince = new HashMap<>();
  private final Map<String, Follower> followers = new LinkedHashMap<>();
  private final Map<String, Unsure> unsure = new LinkedHashMap<>();
  private final NewsInForce inForce;
  private final CommandReplies replies;
  private final MemberLeases leases;
  private final BatchRoomDuty batchRoom;
  private final WorkerCommands workerCommands;
  private final EdgeListDuty edgeList;
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
    this.membership = new CoreMembership(surroundings, place, () -> roster);
    this.founding =
        new CoreFounding(
            surroundings,
            place,
            bounds,
            self(),
            membership.peers(),
            membership::alive,
            this::learnRoster);
    this.replicas = new KeyReplicas(surroundings, this::send, this::committed, key -> CORE_SET);
    this.copier = new ReplicaCopier(surroundings, this, replicas, new HashMap<>(), id -> "");
    this.keys =
        new CoreKeys(
            surroundings,
            place,
            membership,
            replicas,
            table,
            journal,
            this::send,
            () -> stopping,
            this::beginLeading);
    this.inForce =
        new NewsInForce(
            surroundings,
            bounds.edgesConfirm(),
            () -> EdgeListDuty.edges(table),
            () -> membership.isMember() && feedAge() < Constants.CORE_SILENT_MS,
            address -> send(address, "", new KeysAsked(surroundings.now())));
    this.replies = new CommandReplies(this::respond, inForce, journal);
    this.leases =
        new MemberLeases(
            surroundings,
            table,
            keys,
            replies,
            key -> command("leave", key, EMPTY, response -> {}));
    this.batchRoom = new BatchRoomDuty(surroundings, table, replies, this::send);
    this.workerCommands = new WorkerCommands(keys, replies);
    this.edgeList = new EdgeListDuty(surroundings, table, membership, keys, inForce);
    this.bundles = new BundleDuty(bounds, operatorKeys);
    this.workerList =
        new WorkerListDuty(
            surroundings,
            bounds,
            state -> keys.get(WORKERS) == state,
            keys::put,
            () -> keys.transfer(WORKERS));
    this.storage = new StorageSets(surroundings, this, bounds);
    this.lossMargin = new LossMargin(bounds.lossesToBear());
  }

  private void beginLeading(CoreKeyState state) {
    if (state.key.key.equals(WORKERS) && bounds.listCallsPerS() > 0) {
      workerList.begin(state);
    }
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

  @Override
  protected void learnRoster(Roster told) {
    long before = roster.number();
    super.learnRoster(told);
    if (roster.number() == before || !started) {
      return;
    }
    membership.meetMembers();
    membership.forgetStrangers();
    if (membership.isReplica() || bounds.voter()) {
      surroundings.write(List.of(rosterRecord()), () -> {});
    }
    if (!membership.isReplica()) {
      keys.abandonAll();
      return;
    }
    replicas.learnSet(CORE_SET, roster.number(), this::copyIfNewcomer);
    keys.changeSets();
  }

  private void copyIfNewcomer() {
    long number = roster.number();
    if (membership.isMember() || !membership.isReplica()) {
      return;
    }
    journal.add("copying", CORE_SET, "set " + number);
    copier.copyIn(
        CORE_SET,
        number,
        CoreMembership.replicas(roster.members()),
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
    membership.started();
    replicas.recovered();
    copyIfNewcomer();
    for (String address : founders.isEmpty() && roster.number() == 0 ? seeds : founders) {
      if (!address.equals(place.peerAddress())) {
        membership.peers().put(address, new CorePeer());
      }
    }
    membership.meetMembers();
    if (founders.isEmpty() && roster.number() == 0) {
      founding.start();
    }
    if (membership.isMember()) {
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
    if (membership.isMember() && !stopping) {
      keys.claimOrphans();
      changeRoster();
      leases.expire();
      edgeList.tick();
      claimWorkerList();
      storage.tick();
      auditBatchRoom();
      lossMargin.look(
          LossMargin.bearable(membership.replicaSets(), membership.liveMembers()::contains),
          storage.lossesBearable(),
          surroundings.now());
    }
    inForce.tick();
  }

  private void ping() {
    ping(List.copyOf(membership.peers().keySet()));
  }

  private void ping(List<String> addresses) {
    ObjectNode ping = JSON.createObjectNode();
    ping.set("member", JSON.valueToTree(self()));
    ping.put("blank", roster.number() == 0 && (!founders.isEmpty() || founding.mayFound()))
        .put("candidate", roster.number() > 0 && !membership.isReplica() && bounds.voter())
        .put("voter", bounds.voter());
    if (roster.number() == 0 && founding.proposal() != null) {
      ping.set("proposal", JSON.valueToTree(founding.proposal()));
      ping.put("accepted", founding.hasAccepted());
    }
    ArrayNode heard = ping.putArray("heard");
    membership.peers().values().stream()
        .filter(membership::alive)
        .forEach(peer -> heard.add(peer.member.id()));
    ping.put("number", roster.number());
    ArrayNode owns = ping.putArray("owns");
    List<String> inContact = keys.inContact();
    inContact.forEach(owns::add);
    byte[] body = Json.bytes(ping);
    byte[] withRoster =
        roster.number() == 0 ? body : Json.bytes(ping.set("roster", JSON.valueToTree(roster)));
    for (String address : addresses) {
      CorePeer peer = membership.peers().get(address);
      boolean knowsRoster =
          peer != null && membership.alive(peer) && peer.rosterNumber >= roster.number();
      send(address, "", new CorePing(knowsRoster ? body : withRoster));
    }
    // This process's own copies of the keys it owns: to itself it says so without a message.
    inContact.forEach(key -> replicas.ownerLives(key, place.id(), place.peerAddress()));
  }

  /**
   * Seeds may be stale, down, or as new as this process: whoever is known is asked. A seed that is
   * no member may have forgotten the core, and others that know only this seed rely on it: it is
   * told now and then.
   */
  private void searchCore() {
    boolean oneInSome = ++searches % Constants.CORE_TELL_ONE_IN == 0;
    if (membership.isMember() && oneInSome) {
      seeds.stream()
          .filter(seed -> !membership.includes(seed) && !seed.equals(place.peerAddress()))
          .forEach(seed -> send(seed, "", new Message.CoreIs(roster.number(), Json.bytes(roster))));
    }
    boolean unheard =
        membership.isMember()
            ? feedAge() > Constants.CORE_SILENT_MS
            : bounds.voter() && membership.liveMembers().isEmpty();
    boolean lost = roster.number() == 0 || unheard;
    if (lost || !membership.isMember() && oneInSome) {
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

  private void pinged(CorePing ping, String fromAddress) {
    JsonNode body = Json.tree(ping.body());
    CorePeer peer = membership.peer(fromAddress);
    boolean unheard = !membership.alive(peer);
    boolean hearingEachOther = membership.inContact(peer);
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
      keys.led().values().forEach(state -> state.key.heardBy(peer.member.id()));
    }
    body.path("owns")
        .forEach(key -> replicas.ownerLives(key.asText(), peer.member.id(), fromAddress));
    if (body.has("roster")) {
      learnRoster(JSON.convertValue(body.get("roster"), Roster.class));
    }
    if (started && membership.isMember() && membership.includes(fromAddress)) {
      if (unheard) {
        heardAgain(fromAddress);
      }
      if (!hearingEachOther && membership.inContact(peer) && !stopping) {
        keys.claimOrphans();
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
      CorePeer peer = membership.peers().get(address);
      if (!membership.alive(peer) || !peer.blank || !peer.hearsUs) {
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
    CoreKeyState state = keys.get(ROSTER);
    if (state == null) {
      keys.claimIfVacant(ROSTER);
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
      CorePeer peer = membership.peers().get(newcomer.peerAddress());
      boolean present =
          peer != null && membership.alive(peer) && peer.member.id().equals(newcomer.id());
      if (state.copied.getOrDefault(newcomer.id(), 0L) == inForce.number()) {
        surroundings.log(PART, "Core member taken in: " + newcomer.name() + ".");
        keys.put(state, new Roster(inForce.number() + 1, inForce.next(), List.of()), fault -> {});
      } else if (!present) {
        keys.put(
            state, new Roster(inForce.number() + 1, inForce.members(), List.of()), fault -> {});
      }
      return;
    }
    long now = surroundings.now();
    for (CoreMember member : inForce.members()) {
      CorePeer peer = membership.peers().get(member.peerAddress());
      boolean sameProcess =
          peer != null && peer.member != null && peer.member.id().equals(member.id());
      if (member.id().equals(place.id()) || sameProcess && membership.alive(peer)) {
        coreSilentSince.remove(member.id());
        continue;
      }
      boolean silentForLong =
          now - coreSilentSince.computeIfAbsent(member.id(), unseen -> now)
              >= Constants.CORE_REPLACE_MS;
      // Another process at the address says that the member's disk is gone: it never comes back, so
      // nothing is waited for.
      Optional<CoreMember> candidate =
          peer != null && !sameProcess && membership.alive(peer) && peer.candidate
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
    return membership.peers().values().stream()
        .filter(each -> membership.alive(each) && each.candidate)
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

  private void changeRosterTo(
      CoreKeyState state, Roster inForce, List<CoreMember> next, String sentence) {
    surroundings.log(PART, sentence);
    state.copied.clear();
    keys.put(state, new Roster(inForce.number() + 1, inForce.members(), next), fault -> {});
  }

  private void committed(String key, Entry entry) {
    if (!entry.isTakeover() && entry.whole() && !key.equals(BatchRoomLedger.KEY)) {
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
    if (membership.isMember()
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
    return replicas.anyUndecided(
        key -> !key.equals(BatchRoomLedger.KEY) && !key.startsWith(CoreTable.MEMBER));
  }

  /**
   * How old this node's view may be: the time since it last had news from a majority of the core,
   * itself included, and while its members change from a majority of the next ones too: the change
   * may be done without this node having heard so.
   */
  private long feedAge() {
    if (!membership.isMember()) {
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
                  CorePeer peer = membership.peers().get(member.peerAddress());
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
    boolean silent = membership.includes(fromAddress) && lacksDecision();
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
    membership.membersAndNewcomers().forEach(member -> followPeer(member.peerAddress()));
  }

  private void followPeer(String address) {
    for (CoreMember member : membership.membersAndNewcomers()) {
      if (member.peerAddress().equals(address) && !member.id().equals(place.id())) {
        CorePeer peer = membership.peer(address);
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
    CorePeer peer = membership.peers().get(fromAddress);
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

  /** Somebody is always on the duty, also before the first value is there. */
  private void claimWorkerList() {
    if (bounds.listCallsPerS() > 0 && keys.get(WORKERS) == null) {
      keys.claimIfVacant(WORKERS);
    }
  }

  private void auditBatchRoom() {
    CoreKeyState state = keys.get(BatchRoomLedger.KEY);
    if (state != null) {
      batchRoom.audit(state);
    }
  }

  // ---- asks

  @Override
  protected void handleAsk(Ask ask) {
    if (ask.duty().equals("copy")) {
      copier.copyOut(ask);
      return;
    }
    if (!membership.isMember()) {
      respond(ask, Response.of(new Fault.NotReady("this process is not in the core's roster")));
      return;
    }
    if (ask.duty().equals("storage-id")) {
      storage.tellId(ask, feedAge() < Constants.CORE_SILENT_MS);
      return;
    }
    CoreKeyState state = keys.get(ask.key());
    if (state != null) {
      run(ask, state);
      return;
    }
    if (membership.cutOff()) {
      respond(ask, Response.of(new Fault.NoMajority(ask.key())));
      return;
    }
    String first = Rendezvous.first(ask.key(), membership.liveMembers());
    KeyReplicas.Copy copy = replicas.copies().get(ask.key());
    if (copy != null && !replicas.ownerSilent(copy) && !copy.owner.equals(place.id())) {
      handOver(ask, copy.owner, copy.ownerAddress);
    } else if (!place.id().equals(first)) {
      handOver(ask, first, membership.addressOf(first));
    } else if (stopping) {
      respond(ask, Response.of(new Fault.NodeStopping()));
    } else {
      keys.claim(
          ask.key(),
          outcome -> {
            switch (outcome.claim()) {
              case OWNED -> run(ask, keys.get(ask.key()));
              case BUSY -> handOver(ask, outcome.ownerId(), outcome.ownerAddress());
              case NO_MAJORITY -> respond(ask, Response.of(new Fault.NoMajority(ask.key())));
            }
          });
    }
  }

  private void run(Ask ask, CoreKeyState state) {
    if (state == null) {
      respond(ask, Response.of(new Fault.NotOwner(ask.key())));
      return;
    }
    if (!state.key.hearsMajority()) {
      respond(ask, Response.of(new Fault.NoMajority(ask.key())));
      return;
    }
    switch (ask.duty()) {
      case "grant" -> leases.grant(ask, state, Json.read(ask.body(), Member.class));
      case "leave" -> leases.leave(ask, state);
      case "bundle" -> bundle(ask, state, Json.read(ask.body(), SignedBundle.class));
      case "worker" -> workerCommands.set(ask, state, Json.read(ask.body(), Worker.class));
      case "list-version" -> workerCommands.raiseListVersion(ask, state, Json.tree(ask.body()));
      case "room" -> batchRoom.set(ask, state, Json.tree(ask.body()));
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
  private void read(Ask ask, CoreKeyState state) {
    JsonNode value = state.value;
    state.key.confirm(
        fault -> respond(ask, fault == null ? Response.of(200, value) : Response.of(fault)));
  }

  private void copied(Ask ask, CoreKeyState state, JsonNode body) {
    state.copied.put(body.path("id").asText(), body.path("number").asLong());
    respond(ask, Response.of(200, body));
    if (state.key.key.equals(ROSTER)) {
      changeRoster();
    } else {
      storage.lookSoon();
    }
  }

  private void bundle(Ask ask, CoreKeyState state, SignedBundle sent) {
    bundles.take(
        state,
        sent,
        keys::put,
        new BundleDuty.Outcome() {
          @Override
          public void refuse(Fault fault) {
            respond(ask, Response.of(fault));
          }

          @Override
          public void accept(long number, Fault fault) {
            replies.respondInForce(
                ask, state, JSON.createObjectNode().put("number", number), fault);
          }
        });
  }

  // ---- messages, interface, end

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof KeyAppend append) {
      if (membership.isReplica()) {
        replicas.append(append, fromId, fromAddress);
        tellUnsure();
      }
    } else if (message instanceof KeyPromise promise) {
      if (membership.isReplica()) {
        replicas.promise(promise, fromId, fromAddress);
      }
    } else if (message instanceof KeyLogAsk logAsk) {
      if (membership.isReplica()) {
        replicas.tellLog(logAsk, fromId, fromAddress);
      }
    } else if (message instanceof KeyPromised promised) {
      keys.promised(promised, fromId);
    } else if (message instanceof KeyLogPart part) {
      keys.logPart(part);
    } else if (message instanceof KeyAppended appended) {
      keys.appended(appended, fromId);
    } else if (message instanceof CorePing ping) {
      pinged(ping, fromAddress);
    } else if (message instanceof FeedFollow follow) {
      followed(follow, fromId, fromAddress);
    } else if (message instanceof FeedNews news) {
      news(news, fromAddress);
    } else if (message instanceof KeysKnown known) {
      inForce.known(known);
    } else if (message instanceof KeyHandOver handedOver) {
      if (membership.isMember() && !stopping && keys.get(handedOver.key()) == null) {
        keys.takeOver(handedOver.key());
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
    if (membership.cutOff()) {
      then.accept(Response.of(new Fault.NoMajority(key)));
      return;
    }
    boolean cutOffSoFar = membership.isMember() && !membership.hearsMajority();
    ask(
        attempt -> {
          if (membership.isMember() || roster.members().isEmpty()) {
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
    if (!membership.isMember()) {
      return "not in the core's roster";
    }
    return feedAge() > Constants.CORE_SILENT_MS ? "no majority of the core heard" : "";
  }

  @Override
  public ObjectNode status() {
    ObjectNode status = commonStatus();
    status.put("feedNumber", feed.number()).put("feedAgeMs", feedAge());
    ArrayNode live = status.putArray("liveCore");
    membership.liveMembers().forEach(live::add);
    ObjectNode led = status.putObject("owned");
    keys.led().forEach((key, state) -> led.put(key, state.key.epoch().counter()));
    ArrayNode members = status.putArray("members");
    table.live().forEach(member -> members.add(JSON.<JsonNode>valueToTree(member)));
    status.set("workers", workers().get("workers"));
    ArrayNode edges = status.putArray("edges");
    EdgeListDuty.edges(table).listed().forEach(edges::add);
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
    CoreKeyState batchRoomKey = keys.get(BatchRoomLedger.KEY);
    if (batchRoomKey != null) {
      status.put("waitingBatchItems", batchRoomKey.room.waiting());
    }
    return status;
  }

  @Override
  public void stop(Runnable whenDone) {
    stopping = true;
    keys.transferAll();
    surroundings.after(
        Constants.CORE_PING_MS,
        () -> {
          end();
          whenDone.run();
        });
  }
}
