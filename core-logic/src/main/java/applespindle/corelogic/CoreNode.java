package applespindle.corelogic;

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
import applespindle.corelogic.Records.Roster;
import applespindle.corelogic.Records.Worker;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A process of the control plane. It holds copies of the core keys, leads some of them, and
 * publishes their changes. This class puts the duties together and routes messages and commands to
 * them; each duty is a class of its own.
 */
public final class CoreNode extends Node {
  private final Bounds bounds;

  /** The committed values known here. */
  final CoreTable table = new CoreTable();

  final CoreMembership membership;
  private final CoreHeartbeat heartbeat;
  private final CoreDiscovery discovery;
  private final CoreFounding founding;
  private final ListedFounders listedFounders;
  private final CoreNewcomer newcomer;

  private final KeyReplicas replicas;
  private final ReplicaCopier copier;

  /** The core keys that this node leads. */
  final CoreKeys keys;

  private final CoreFeed feed;
  private final NewsInForce inForce;

  private final CommandReplies replies;
  private final CoreCommands commands;
  private final LeaderDuties duties;
  private final CoreView view;
  private boolean started;

  /** The founders are the peer addresses of the first members, as told to each of them. */
  public CoreNode(
      Surroundings surroundings,
      Place place,
      Map<String, String> operatorKeys,
      List<String> founders) {
    this(surroundings, place, operatorKeys, founders, Bounds.DEFAULT, ConfigurationFormat.OWN);
  }

  /** Without founders the first members are found by the seeds. */
  public CoreNode(
      Surroundings surroundings,
      Place place,
      Map<String, String> operatorKeys,
      List<String> founders,
      Bounds bounds,
      ConfigurationFormat format) {
    super(surroundings, place);
    this.bounds = bounds;
    this.membership = new CoreMembership(surroundings, place, () -> roster);
    this.founding =
        new CoreFounding(
            surroundings,
            place,
            bounds,
            membership.self(),
            membership.peers(),
            membership::alive,
            this::learnRoster);
    this.listedFounders = new ListedFounders(surroundings, place, membership, founders);
    this.replicas =
        new KeyReplicas(surroundings, this::send, this::committed, key -> CoreMembership.SET_NAME);
    this.copier = new ReplicaCopier(surroundings, this, replicas, new HashMap<>(), id -> "");
    this.newcomer = new CoreNewcomer(surroundings, this, membership, copier);
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
    this.heartbeat = newHeartbeat();
    this.feed =
        new CoreFeed(
            surroundings, place, membership, replicas, table, journal, this::send, this::learn);
    this.discovery =
        new CoreDiscovery(
            place, bounds, membership, feed.freshness()::ageMs, () -> seeds, this::send);
    this.inForce = newNewsInForce();
    this.replies = new CommandReplies(this::respond, inForce, journal);
    this.commands = new CoreCommands(this, membership);
    int wantedMembers = founders.isEmpty() ? bounds.replicas() : 0;
    this.duties =
        new LeaderDuties(
            surroundings,
            this,
            bounds,
            operatorKeys,
            format,
            wantedMembers,
            inForce,
            replies,
            commands);
    this.view = new CoreView(table, feed.freshness());
  }

  private CoreHeartbeat newHeartbeat() {
    return new CoreHeartbeat(
        surroundings,
        place,
        bounds,
        membership,
        founding,
        !listedFounders.isEmpty(),
        keys,
        replicas,
        this::send,
        this::learnRoster);
  }

  private NewsInForce newNewsInForce() {
    return new NewsInForce(
        surroundings,
        bounds.edgesConfirm(),
        () -> NewsInForce.Edges.of(table),
        () -> membership.isMember() && feed.freshness().isFresh(),
        address -> send(address, "", new KeysAsked(surroundings.now())));
  }

  // ---- start, timers, end

  @Override
  protected void boundsChanged(Bounds newer) {
    duties.boundsChanged(newer);
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
        Kind.ROSTER,
        MetadataKeys.MEMBERSHIP,
        Epoch.NONE,
        roster.number(),
        true,
        Json.bytes(roster));
  }

  @Override
  public void start() {
    started = true;
    membership.started();
    replicas.recovered();
    newcomer.copyIfNewcomer();
    boolean unfounded = listedFounders.isEmpty() && roster.number() == 0;
    for (String address : unfounded ? seeds : listedFounders.addresses()) {
      if (!address.equals(place.peerAddress())) {
        membership.peers().put(address, new CorePeer());
      }
    }
    membership.meetMembers();
    if (unfounded) {
      founding.start();
    }
    if (membership.isMember()) {
      heartbeat.send();
      feed.pollAll();
    }
    every(Constants.CORE_PING_MS, this::tick);
    every(Constants.CORE_SEARCH_MS, discovery::search);
    every(Constants.FEED_POLL_MS, feed::pollAll);
  }

  private void tick() {
    if (bounds.voter() || roster.number() == 0 && founding.coordinates()) {
      heartbeat.send();
    }
    if (roster.number() == 0) {
      bootstrap();
    }
    if (membership.isMember() && !stopping) {
      duties.tick();
    }
    inForce.tick();
  }

  private void beginLeading(CoreKeyState state) {
    duties.begin(state);
  }

  private void bootstrap() {
    if (listedFounders.isEmpty()) {
      founding.tick();
    } else {
      listedFounders.form().ifPresent(this::learnRoster);
    }
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

  // ---- membership and committed values

  @Override
  protected void learnRoster(Roster newer) {
    long before = roster.number();
    super.learnRoster(newer);
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
    replicas.learnSet(CoreMembership.SET_NAME, roster.number(), newcomer::copyIfNewcomer);
    keys.changeSets();
  }

  private void committed(String key, Entry entry) {
    if (!entry.isTakeover() && entry.whole() && !key.equals(MetadataKeys.BATCH_CAPACITY)) {
      byte[] value =
          key.equals(MetadataKeys.CONFIGURATION)
              ? BundleDuty.forFeed(entry.event())
              : entry.event();
      learn(new FeedItem(key, entry.sequence(), value));
    }
  }

  /** Takes a committed value, from this node's own log or from a peer's feed. */
  private void learn(FeedItem item) {
    replicas.committedElsewhere(item.key(), item.sequence());
    if (!table.put(item)) {
      return;
    }
    if (item.key().equals(MetadataKeys.MEMBERSHIP)) {
      learnRoster(Json.read(item.value(), Roster.class));
    }
    if (membership.isMember()
        && (item.key().startsWith(MetadataKeys.MEMBER_PREFIX)
            || item.key().startsWith(MetadataKeys.STORAGE_PREFIX))) {
      duties.storage().lookSoon();
    }
    feed.publish(item);
  }

  // ---- commands

  @Override
  protected void handleAsk(Ask ask) {
    if (ask.duty().equals("copy")) {
      copier.copyOut(ask);
      return;
    }
    if (!membership.isMember()) {
      replies.refuse(ask, new Fault.NotReady("this process is not in the core's roster"));
      return;
    }
    if (ask.duty().equals("storage-id")) {
      duties.storage().tellId(ask, feed.freshness().isFresh());
      return;
    }
    CoreKeyState state = keys.get(ask.key());
    if (state != null) {
      duties.run(ask, state);
      return;
    }
    if (membership.cutOff()) {
      replies.refuse(ask, new Fault.NoMajority(ask.key()));
      return;
    }
    forwardOrClaim(ask);
  }

  /** Forwards a command to the key's leader, or else to the one that is first to claim the key. */
  private void forwardOrClaim(Ask ask) {
    String first = Rendezvous.first(ask.key(), membership.liveMembers());
    KeyReplicas.Copy copy = replicas.copies().get(ask.key());
    if (copy != null && !replicas.ownerSilent(copy) && !copy.owner.equals(place.id())) {
      handOver(ask, copy.owner, copy.ownerAddress);
    } else if (!place.id().equals(first)) {
      handOver(ask, first, membership.addressOf(first));
    } else if (stopping) {
      replies.refuse(ask, new Fault.NodeStopping());
    } else {
      keys.claim(ask.key(), outcome -> claimed(ask, outcome));
    }
  }

  private void claimed(Ask ask, OwnedKey.ClaimOutcome outcome) {
    switch (outcome.claim()) {
      case OWNED -> duties.run(ask, keys.get(ask.key()));
      case BUSY -> handOver(ask, outcome.ownerId(), outcome.ownerAddress());
      case NO_MAJORITY -> replies.refuse(ask, new Fault.NoMajority(ask.key()));
    }
  }

  // ---- messages

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof CorePing ping) {
      pinged(ping, fromAddress);
    } else if (message instanceof FeedFollow follow) {
      feed.follow(follow, fromId, fromAddress);
    } else if (message instanceof FeedNews updates) {
      feed.receive(updates, fromAddress);
    } else if (message instanceof KeysKnown known) {
      inForce.known(known);
    } else if (message instanceof KeyPromised promised) {
      keys.promised(promised, fromId);
    } else if (message instanceof KeyLogPart part) {
      keys.logPart(part);
    } else if (message instanceof KeyAppended appended) {
      keys.appended(appended, fromId);
    } else if (message instanceof KeyHandOver transfer) {
      if (membership.isMember() && !stopping && keys.get(transfer.key()) == null) {
        keys.takeOver(transfer.key());
      }
    } else if (membership.isReplica()) {
      handleAsReplica(message, fromId, fromAddress);
    }
  }

  private void handleAsReplica(Message message, String fromId, String fromAddress) {
    if (message instanceof KeyAppend append) {
      replicas.append(append, fromId, fromAddress);
      feed.respondToUnsurePolls();
    } else if (message instanceof KeyPromise promise) {
      replicas.promise(promise, fromId, fromAddress);
    } else if (message instanceof KeyLogAsk logAsk) {
      replicas.tellLog(logAsk, fromId, fromAddress);
    }
  }

  /**
   * After a start or a partition a member is answered at once: what the rest of the fleet waits for
   * is that members hear each other.
   */
  private void pinged(CorePing ping, String fromAddress) {
    CoreHeartbeat.Contact contact = heartbeat.receive(ping, fromAddress);
    if (!started || !membership.isMember() || !membership.includes(fromAddress)) {
      return;
    }
    if (contact.heardAgain()) {
      heartbeat.send(List.of(fromAddress));
      feed.poll(fromAddress);
    }
    if (contact.hearEachOtherAgain() && !stopping) {
      keys.claimOrphans();
    }
  }

  // ---- interface of operators and of the platform

  public KeyReplicas replicas() {
    return replicas;
  }

  /** What emptying a node would move where; nothing is changed. */
  public ObjectNode planEmptying(String id) {
    return duties.storage().planEmptying(id);
  }

  /** A storage node's id by its id or its name; the text itself if neither is known. */
  public String storageId(String idOrName) {
    return duties.storage().idOf(idOrName).orElse(idOrName);
  }

  /** Every storage node known, with its state and how many shards name it. */
  public ArrayNode storageNodes() {
    return duties.storage().nodes();
  }

  /**
   * Has a storage node emptied by its name: all shards keep all of their replicas, so it is refused
   * unless enough others remain. durationMs is how long the caller expects it to take; moving
   * begins at once whatever it says.
   */
  public void emptyStorage(String name, long durationMs, Consumer<Response> then) {
    commands.emptyStorage(name, then);
  }

  /**
   * Whether a storage node may be taken away: complete is true once nothing is on it and nothing
   * lacks a replica.
   */
  public void storagePlace(String name, Consumer<Response> then) {
    commands.storagePlace(name, then);
  }

  /** Sends a command of an operator or of the platform to the leader of a key. */
  public void command(String duty, String key, Object body, Consumer<Response> then) {
    commands.send(duty, key, body, then);
  }

  /** The workers as committed and known here, with the age of this knowledge. */
  public ObjectNode workers() {
    return view.workers();
  }

  /** Ids of the workers that were listed one by one. */
  public List<String> workerIds() {
    return view.workerIds();
  }

  /** The body of a command that marks a worker as leaving or gone. */
  public static Worker workerMarked(String id, boolean leaving) {
    return new Worker(id, "", "", leaving ? LEAVING : GONE);
  }

  /** The body of a command that lists a worker. */
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
    return feed.freshness().ageMs() > Constants.CORE_SILENT_MS
        ? "no majority of the core heard"
        : "";
  }

  @Override
  public ObjectNode status() {
    ObjectNode status = commonStatus();
    status.put("feedNumber", feed.number()).put("feedAgeMs", feed.freshness().ageMs());
    ArrayNode live = status.putArray("liveCore");
    membership.liveMembers().forEach(live::add);
    ObjectNode epochs = status.putObject("owned");
    keys.led().forEach((key, state) -> epochs.put(key, state.key.epoch().counter()));
    view.describe(status);
    duties.describe(status);
    return status;
  }
}
