package applespindle.corelogic.controlplane;

import static applespindle.corelogic.metadata.WorkerRegistration.GONE;
import static applespindle.corelogic.metadata.WorkerRegistration.LEAVING;
import static applespindle.corelogic.metadata.WorkerRegistration.READY;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.changefeed.ChangeFeedExchange;
import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.changefeed.UpdateAcknowledgements;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.configuration.ConfigurationFormat;
import applespindle.corelogic.constants.ChangeFeedConstants;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import applespindle.corelogic.membership.HeartbeatExchange;
import applespindle.corelogic.membership.JoiningMember;
import applespindle.corelogic.membership.QuorumBootstrap;
import applespindle.corelogic.membership.QuorumDiscovery;
import applespindle.corelogic.membership.QuorumPeer;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.membership.StaticBootstrap;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.metadata.WorkerInput;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.AppliedPositions;
import applespindle.corelogic.protocol.Message.AppliedPositionsRequest;
import applespindle.corelogic.protocol.Message.ChangeFeedPoll;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.Message.LeadershipTransfer;
import applespindle.corelogic.protocol.Message.LogFetchRequest;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Message.QuorumHeartbeat;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.replication.ElectionOutcome;
import applespindle.corelogic.replication.LogReplica;
import applespindle.corelogic.replication.LogReplicas;
import applespindle.corelogic.replication.ReplicaCatchUp;
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
public final class ControlPlaneNode extends Node {
  private final NodeSettings bounds;

  /** The committed values known here. */
  final MetadataTable table = new MetadataTable();

  final QuorumView membership;
  private final HeartbeatExchange heartbeat;
  private final QuorumDiscovery discovery;
  private final QuorumBootstrap founding;
  private final StaticBootstrap listedFounders;
  private final JoiningMember newcomer;

  private final LogReplicas replicas;
  private final ReplicaCatchUp copier;

  /** The core keys that this node leads. */
  final LedKeys keys;

  private final ChangeFeedExchange feed;
  private final UpdateAcknowledgements inForce;

  private final CommandResponder replies;
  private final CommandSender commands;
  private final ControlManagers duties;
  private final MetadataView view;
  private boolean started;

  /** The founders are the peer addresses of the first members, as told to each of them. */
  public ControlPlaneNode(
      Environment surroundings,
      NodeIdentity place,
      Map<String, String> operatorKeys,
      List<String> founders) {
    this(
        surroundings, place, operatorKeys, founders, NodeSettings.DEFAULT, ConfigurationFormat.OWN);
  }

  /** Without founders the first members are found by the seeds. */
  public ControlPlaneNode(
      Environment surroundings,
      NodeIdentity place,
      Map<String, String> operatorKeys,
      List<String> founders,
      NodeSettings bounds,
      ConfigurationFormat format) {
    super(surroundings, place);
    this.bounds = bounds;
    this.membership = new QuorumView(surroundings, place, () -> roster);
    this.founding =
        new QuorumBootstrap(
            surroundings,
            place,
            bounds,
            membership.self(),
            membership.peers(),
            membership::alive,
            this::learnRoster);
    this.listedFounders = new StaticBootstrap(surroundings, place, membership, founders);
    this.replicas =
        new LogReplicas(surroundings, this::send, this::committed, key -> QuorumView.SET_NAME);
    this.copier = new ReplicaCatchUp(surroundings, this, replicas, new HashMap<>(), id -> "");
    this.newcomer = new JoiningMember(surroundings, this, membership, copier);
    this.keys =
        new LedKeys(
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
        new ChangeFeedExchange(
            surroundings, place, membership, replicas, table, journal, this::send, this::learn);
    this.discovery =
        new QuorumDiscovery(
            place, bounds, membership, feed.freshness()::ageMs, () -> seeds, this::send);
    this.inForce = newNewsInForce();
    this.replies = new CommandResponder(this::respond, inForce, journal);
    this.commands = new CommandSender(this, membership);
    int wantedMembers = founders.isEmpty() ? bounds.replicas() : 0;
    this.duties =
        new ControlManagers(
            surroundings,
            this,
            bounds,
            operatorKeys,
            format,
            wantedMembers,
            inForce,
            replies,
            commands);
    this.view = new MetadataView(table, feed.freshness());
  }

  private HeartbeatExchange newHeartbeat() {
    return new HeartbeatExchange(
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

  private UpdateAcknowledgements newNewsInForce() {
    return new UpdateAcknowledgements(
        surroundings,
        bounds.edgesConfirm(),
        () -> UpdateAcknowledgements.KnownEdges.of(table),
        () -> membership.isMember() && feed.freshness().isFresh(),
        address -> send(address, "", new AppliedPositionsRequest(surroundings.now())));
  }

  // ---- start, timers, end

  @Override
  protected void boundsChanged(NodeSettings newer) {
    duties.boundsChanged(newer);
  }

  @Override
  public void recover(LogRecord record) {
    if (QuorumBootstrap.owns(record)) {
      founding.recover(record);
    } else if (record.kind() == Kind.ROSTER) {
      learnRoster(Json.read(record.payload(), QuorumMembership.class));
    } else {
      replicas.recover(record);
    }
  }

  @Override
  public List<LogRecord> checkpoint() {
    List<LogRecord> records = new ArrayList<>();
    if (roster.number() > 0) {
      records.add(rosterRecord());
    } else {
      records.addAll(founding.records());
    }
    records.addAll(replicas.checkpoint());
    return records;
  }

  private LogRecord rosterRecord() {
    return new LogRecord(
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
        membership.peers().put(address, new QuorumPeer());
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
    every(MembershipConstants.QUORUM_HEARTBEAT_INTERVAL_MS, this::tick);
    every(MembershipConstants.QUORUM_DISCOVERY_INTERVAL_MS, discovery::search);
    every(ChangeFeedConstants.POLL_INTERVAL_MS, feed::pollAll);
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

  private void beginLeading(LedKey state) {
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
        MembershipConstants.QUORUM_HEARTBEAT_INTERVAL_MS,
        () -> {
          end();
          whenDone.run();
        });
  }

  // ---- membership and committed values

  @Override
  protected void learnRoster(QuorumMembership newer) {
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
    replicas.learnSet(QuorumView.SET_NAME, roster.number(), newcomer::copyIfNewcomer);
    keys.changeSets();
  }

  private void committed(String key, LogEntry entry) {
    if (!entry.isTakeover() && entry.whole() && !key.equals(MetadataKeys.BATCH_CAPACITY)) {
      byte[] value =
          key.equals(MetadataKeys.CONFIGURATION)
              ? ConfigurationManager.forFeed(entry.event())
              : entry.event();
      learn(new MetadataRecord(key, entry.sequence(), value));
    }
  }

  /** Takes a committed value, from this node's own log or from a peer's feed. */
  private void learn(MetadataRecord item) {
    replicas.committedElsewhere(item.key(), item.sequence());
    if (!table.put(item)) {
      return;
    }
    if (item.key().equals(MetadataKeys.MEMBERSHIP)) {
      learnRoster(Json.read(item.value(), QuorumMembership.class));
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
  protected void handleAsk(PeerRequest ask) {
    if (ask.duty().equals("copy")) {
      copier.copyOut(ask);
      return;
    }
    if (!membership.isMember()) {
      replies.refuse(ask, new ApiError.NotReady("this process is not in the core's roster"));
      return;
    }
    if (ask.duty().equals("storage-id")) {
      duties.storage().tellId(ask, feed.freshness().isFresh());
      return;
    }
    LedKey state = keys.get(ask.key());
    if (state != null) {
      duties.run(ask, state);
      return;
    }
    if (membership.cutOff()) {
      replies.refuse(ask, new ApiError.NoQuorum(ask.key()));
      return;
    }
    forwardOrClaim(ask);
  }

  /** Forwards a command to the key's leader, or else to the one that is first to claim the key. */
  private void forwardOrClaim(PeerRequest ask) {
    String first = RendezvousHashing.first(ask.key(), membership.liveMembers());
    LogReplica copy = replicas.copies().get(ask.key());
    if (copy != null && !replicas.ownerSilent(copy) && !copy.owner.equals(place.id())) {
      handOver(ask, copy.owner, copy.ownerAddress);
    } else if (!place.id().equals(first)) {
      handOver(ask, first, membership.addressOf(first));
    } else if (stopping) {
      replies.refuse(ask, new ApiError.NodeStopping());
    } else {
      keys.claim(ask.key(), outcome -> claimed(ask, outcome));
    }
  }

  private void claimed(PeerRequest ask, ElectionOutcome outcome) {
    switch (outcome.claim()) {
      case OWNED -> duties.run(ask, keys.get(ask.key()));
      case BUSY -> handOver(ask, outcome.ownerId(), outcome.ownerAddress());
      case NO_MAJORITY -> replies.refuse(ask, new ApiError.NoQuorum(ask.key()));
    }
  }

  // ---- messages

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof QuorumHeartbeat ping) {
      pinged(ping, fromAddress);
    } else if (message instanceof ChangeFeedPoll follow) {
      feed.follow(follow, fromId, fromAddress);
    } else if (message instanceof ChangeFeedUpdate updates) {
      feed.receive(updates, fromAddress);
    } else if (message instanceof AppliedPositions known) {
      inForce.known(known);
    } else if (message instanceof VoteResponse promised) {
      keys.promised(promised, fromId);
    } else if (message instanceof LogFetchResponse part) {
      keys.logPart(part);
    } else if (message instanceof AppendResponse appended) {
      keys.appended(appended, fromId);
    } else if (message instanceof LeadershipTransfer transfer) {
      if (membership.isMember() && !stopping && keys.get(transfer.key()) == null) {
        keys.takeOver(transfer.key());
      }
    } else if (membership.isReplica()) {
      handleAsReplica(message, fromId, fromAddress);
    }
  }

  private void handleAsReplica(Message message, String fromId, String fromAddress) {
    if (message instanceof AppendRequest append) {
      replicas.append(append, fromId, fromAddress);
      feed.respondToUnsurePolls();
    } else if (message instanceof VoteRequest promise) {
      replicas.promise(promise, fromId, fromAddress);
    } else if (message instanceof LogFetchRequest logAsk) {
      replicas.tellLog(logAsk, fromId, fromAddress);
    }
  }

  /**
   * After a start or a partition a member is answered at once: what the rest of the fleet waits for
   * is that members hear each other.
   */
  private void pinged(QuorumHeartbeat ping, String fromAddress) {
    HeartbeatExchange.ContactChange contact = heartbeat.receive(ping, fromAddress);
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

  public LogReplicas replicas() {
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
  public static WorkerRegistration workerMarked(String id, boolean leaving) {
    return new WorkerRegistration(id, "", "", leaving ? LEAVING : GONE);
  }

  /** The body of a command that lists a worker. */
  public static WorkerRegistration workerListed(WorkerInput input) {
    return new WorkerRegistration(
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
    return feed.freshness().ageMs() > MembershipConstants.QUORUM_PEER_TIMEOUT_MS
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
