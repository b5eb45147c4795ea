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
  private final NodeSettings settings;

  /** The committed values known here. */
  final MetadataTable table = new MetadataTable();

  final QuorumView quorum;
  private final HeartbeatExchange heartbeat;
  private final QuorumDiscovery discovery;
  private final QuorumBootstrap bootstrap;
  private final StaticBootstrap staticBootstrap;
  private final JoiningMember joiningMember;

  private final LogReplicas replicas;
  private final ReplicaCatchUp catchUp;

  /** The core keys that this node leads. */
  final LedKeys keys;

  private final ChangeFeedExchange feed;
  private final UpdateAcknowledgements updateAcknowledgements;

  private final CommandResponder responder;
  private final CommandSender commands;
  private final ControlManagers managers;
  private final MetadataView view;
  private boolean started;

  /** The founders are the peer addresses of the first members, as told to each of them. */
  public ControlPlaneNode(
      Environment environment,
      NodeIdentity identity,
      Map<String, String> operatorKeys,
      List<String> founders) {
    this(
        environment,
        identity,
        operatorKeys,
        founders,
        NodeSettings.DEFAULT,
        ConfigurationFormat.OWN);
  }

  /** Without founders the first members are found by the seeds. */
  public ControlPlaneNode(
      Environment environment,
      NodeIdentity identity,
      Map<String, String> operatorKeys,
      List<String> founders,
      NodeSettings settings,
      ConfigurationFormat format) {
    super(environment, identity);
    this.settings = settings;
    this.quorum = new QuorumView(environment, identity, () -> membership);
    this.bootstrap =
        new QuorumBootstrap(
            environment,
            identity,
            settings,
            quorum.self(),
            quorum.peers(),
            quorum::isAlive,
            this::learnMembership);
    this.staticBootstrap = new StaticBootstrap(environment, identity, quorum, founders);
    this.replicas =
        new LogReplicas(
            environment, this::send, this::committed, key -> QuorumView.REPLICA_SET_NAME);
    this.catchUp = new ReplicaCatchUp(environment, this, replicas, new HashMap<>(), id -> "");
    this.joiningMember = new JoiningMember(environment, this, quorum, catchUp);
    this.keys =
        new LedKeys(
            environment,
            identity,
            quorum,
            replicas,
            table,
            traceLog,
            this::send,
            () -> stopping,
            this::beginLeading);
    this.heartbeat = newHeartbeat();
    this.feed =
        new ChangeFeedExchange(
            environment, identity, quorum, replicas, table, traceLog, this::send, this::learn);
    this.discovery =
        new QuorumDiscovery(
            identity, settings, quorum, feed.freshness()::ageMs, () -> seeds, this::send);
    this.updateAcknowledgements = newNewsInForce();
    this.responder = new CommandResponder(this::respond, updateAcknowledgements, traceLog);
    this.commands = new CommandSender(this, quorum);
    int wantedMembers = founders.isEmpty() ? settings.replicas() : 0;
    this.managers =
        new ControlManagers(
            environment,
            this,
            settings,
            operatorKeys,
            format,
            wantedMembers,
            updateAcknowledgements,
            responder,
            commands);
    this.view = new MetadataView(table, feed.freshness());
  }

  private HeartbeatExchange newHeartbeat() {
    return new HeartbeatExchange(
        environment,
        identity,
        settings,
        quorum,
        bootstrap,
        !staticBootstrap.isEmpty(),
        keys,
        replicas,
        this::send,
        this::learnMembership);
  }

  private UpdateAcknowledgements newNewsInForce() {
    return new UpdateAcknowledgements(
        environment,
        settings.edgesAcknowledge(),
        () -> UpdateAcknowledgements.KnownEdges.of(table),
        () -> quorum.isMember() && feed.freshness().isFresh(),
        address -> send(address, "", new AppliedPositionsRequest(environment.nowMs())));
  }

  // ---- start, timers, end

  @Override
  protected void settingsChanged(NodeSettings newer) {
    managers.settingsChanged(newer);
  }

  @Override
  public void recover(LogRecord record) {
    if (QuorumBootstrap.owns(record)) {
      bootstrap.recover(record);
    } else if (record.kind() == Kind.MEMBERSHIP) {
      learnMembership(Json.read(record.payload(), QuorumMembership.class));
    } else {
      replicas.recover(record);
    }
  }

  @Override
  public List<LogRecord> checkpoint() {
    List<LogRecord> records = new ArrayList<>();
    if (membership.version() > 0) {
      records.add(rosterRecord());
    } else {
      records.addAll(bootstrap.records());
    }
    records.addAll(replicas.checkpoint());
    return records;
  }

  private LogRecord rosterRecord() {
    return new LogRecord(
        Kind.MEMBERSHIP,
        MetadataKeys.MEMBERSHIP,
        Epoch.NONE,
        membership.version(),
        true,
        Json.bytes(membership));
  }

  @Override
  public void start() {
    started = true;
    quorum.started();
    replicas.finishRecovery();
    joiningMember.catchUpIfJoining();
    boolean unfounded = staticBootstrap.isEmpty() && membership.version() == 0;
    for (String address : unfounded ? seeds : staticBootstrap.addresses()) {
      if (!address.equals(identity.peerAddress())) {
        quorum.peers().put(address, new QuorumPeer());
      }
    }
    quorum.addMembersAsPeers();
    if (unfounded) {
      bootstrap.start();
    }
    if (quorum.isMember()) {
      heartbeat.send();
      feed.pollAll();
    }
    repeatEvery(MembershipConstants.QUORUM_HEARTBEAT_INTERVAL_MS, this::tick);
    repeatEvery(MembershipConstants.QUORUM_DISCOVERY_INTERVAL_MS, discovery::search);
    repeatEvery(ChangeFeedConstants.POLL_INTERVAL_MS, feed::pollAll);
  }

  private void tick() {
    if (settings.voter() || membership.version() == 0 && bootstrap.isCoordinator()) {
      heartbeat.send();
    }
    if (membership.version() == 0) {
      bootstrap();
    }
    if (quorum.isMember() && !stopping) {
      managers.tick();
    }
    updateAcknowledgements.tick();
  }

  private void beginLeading(LedKey ledKey) {
    managers.leadershipTaken(ledKey);
  }

  private void bootstrap() {
    if (staticBootstrap.isEmpty()) {
      bootstrap.tick();
    } else {
      staticBootstrap.form().ifPresent(this::learnMembership);
    }
  }

  @Override
  public void stop(Runnable whenDone) {
    stopping = true;
    keys.transferAll();
    environment.schedule(
        MembershipConstants.QUORUM_HEARTBEAT_INTERVAL_MS,
        () -> {
          terminate();
          whenDone.run();
        });
  }

  // ---- membership and committed values

  @Override
  protected void learnMembership(QuorumMembership newerMembership) {
    long before = membership.version();
    super.learnMembership(newerMembership);
    if (membership.version() == before || !started) {
      return;
    }
    quorum.addMembersAsPeers();
    quorum.removeFormerPeers();
    if (quorum.isReplica() || settings.voter()) {
      environment.write(List.of(rosterRecord()), () -> {});
    }
    if (!quorum.isReplica()) {
      keys.resignAll();
      return;
    }
    replicas.adoptConfiguration(
        QuorumView.REPLICA_SET_NAME, membership.version(), joiningMember::catchUpIfJoining);
    keys.reconfigure();
  }

  private void committed(String key, LogEntry entry) {
    if (!entry.isEpochStart() && entry.snapshot() && !key.equals(MetadataKeys.BATCH_CAPACITY)) {
      byte[] value =
          key.equals(MetadataKeys.CONFIGURATION)
              ? ConfigurationManager.forFeed(entry.event())
              : entry.event();
      learn(new MetadataRecord(key, entry.sequence(), value));
    }
  }

  /** Takes a committed value, from this node's own log or from a peer's feed. */
  private void learn(MetadataRecord metadataRecord) {
    replicas.committedElsewhere(metadataRecord.key(), metadataRecord.sequence());
    if (!table.put(metadataRecord)) {
      return;
    }
    if (metadataRecord.key().equals(MetadataKeys.MEMBERSHIP)) {
      learnMembership(Json.read(metadataRecord.value(), QuorumMembership.class));
    }
    if (quorum.isMember()
        && (metadataRecord.key().startsWith(MetadataKeys.MEMBER_PREFIX)
            || metadataRecord.key().startsWith(MetadataKeys.STORAGE_PREFIX))) {
      managers.storage().checkSoon();
    }
    feed.publish(metadataRecord);
  }

  // ---- commands

  @Override
  protected void handleRequest(PeerRequest request) {
    if (request.operation().equals("copy")) {
      catchUp.servePage(request);
      return;
    }
    if (!quorum.isMember()) {
      responder.reject(request, new ApiError.NotReady("this process is not in the core's roster"));
      return;
    }
    if (request.operation().equals("storage-id")) {
      managers.storage().respondWithId(request, feed.freshness().isFresh());
      return;
    }
    LedKey ledKey = keys.get(request.key());
    if (ledKey != null) {
      managers.run(request, ledKey);
      return;
    }
    if (quorum.isIsolated()) {
      responder.reject(request, new ApiError.NoQuorum(request.key()));
      return;
    }
    forwardOrClaim(request);
  }

  /** Forwards a command to the key's leader, or else to the one that is first to claim the key. */
  private void forwardOrClaim(PeerRequest request) {
    String first = RendezvousHashing.first(request.key(), quorum.liveMembers());
    LogReplica replica = replicas.replicas().get(request.key());
    if (replica != null
        && !replicas.isLeaderTimedOut(replica)
        && !replica.leaderId.equals(identity.id())) {
      forward(request, replica.leaderId, replica.leaderAddress);
    } else if (!identity.id().equals(first)) {
      forward(request, first, quorum.addressOf(first));
    } else if (stopping) {
      responder.reject(request, new ApiError.NodeStopping());
    } else {
      keys.elect(request.key(), outcome -> claimed(request, outcome));
    }
  }

  private void claimed(PeerRequest request, ElectionOutcome outcome) {
    switch (outcome.result()) {
      case ELECTED -> managers.run(request, keys.get(request.key()));
      case LEADER_ALIVE -> forward(request, outcome.leaderId(), outcome.leaderAddress());
      case NO_QUORUM -> responder.reject(request, new ApiError.NoQuorum(request.key()));
    }
  }

  // ---- messages

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof QuorumHeartbeat ping) {
      pinged(ping, fromAddress);
    } else if (message instanceof ChangeFeedPoll poll) {
      feed.handlePoll(poll, fromId, fromAddress);
    } else if (message instanceof ChangeFeedUpdate update) {
      feed.handleUpdate(update, fromAddress);
    } else if (message instanceof AppliedPositions known) {
      updateAcknowledgements.handleAppliedPositions(known);
    } else if (message instanceof VoteResponse promised) {
      keys.handleVoteResponse(promised, fromId);
    } else if (message instanceof LogFetchResponse part) {
      keys.handleLogFetchResponse(part);
    } else if (message instanceof AppendResponse appended) {
      keys.handleAppendResponse(appended, fromId);
    } else if (message instanceof LeadershipTransfer transfer) {
      if (quorum.isMember() && !stopping && keys.get(transfer.key()) == null) {
        keys.acceptTransfer(transfer.key());
      }
    } else if (quorum.isReplica()) {
      handleAsReplica(message, fromId, fromAddress);
    }
  }

  private void handleAsReplica(Message message, String fromId, String fromAddress) {
    if (message instanceof AppendRequest append) {
      replicas.handleAppendRequest(append, fromId, fromAddress);
      feed.respondToDeferredPolls();
    } else if (message instanceof VoteRequest promise) {
      replicas.handleVoteRequest(promise, fromId, fromAddress);
    } else if (message instanceof LogFetchRequest logAsk) {
      replicas.handleLogFetchRequest(logAsk, fromId, fromAddress);
    }
  }

  /**
   * After a start or a partition a member is answered at once: what the rest of the fleet waits for
   * is that members hear each other.
   */
  private void pinged(QuorumHeartbeat ping, String fromAddress) {
    HeartbeatExchange.ContactChange contact = heartbeat.receive(ping, fromAddress);
    if (!started || !quorum.isMember() || !quorum.includes(fromAddress)) {
      return;
    }
    if (contact.aliveAgain()) {
      heartbeat.send(List.of(fromAddress));
      feed.poll(fromAddress);
    }
    if (contact.inContactAgain() && !stopping) {
      keys.electForLeaderlessKeys();
    }
  }

  // ---- interface of operators and of the platform

  public LogReplicas replicas() {
    return replicas;
  }

  /** What emptying a node would move where; nothing is changed. */
  public ObjectNode planDrain(String id) {
    return managers.storage().planDrain(id);
  }

  /** A storage node's id by its id or its name; the text itself if neither is known. */
  public String storageId(String idOrName) {
    return managers.storage().idOf(idOrName).orElse(idOrName);
  }

  /** Every storage node known, with its state and how many shards name it. */
  public ArrayNode storageNodes() {
    return managers.storage().nodes();
  }

  /**
   * Has a storage node emptied by its name: all shards keep all of their replicas, so it is refused
   * unless enough others remain. durationMs is how long the caller expects it to take; moving
   * begins at once whatever it says.
   */
  public void drainStorageNode(String name, long durationMs, Consumer<Response> then) {
    commands.drainStorageNode(name, then);
  }

  /**
   * Whether a storage node may be taken away: complete is true once nothing is on it and nothing
   * lacks a replica.
   */
  public void isStorageNodeDrained(String name, Consumer<Response> then) {
    commands.isStorageNodeDrained(name, then);
  }

  /** Sends a command of an operator or of the platform to the leader of a key. */
  public void command(String operation, String key, Object body, Consumer<Response> then) {
    commands.send(operation, key, body, then);
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
    if (!quorum.isMember()) {
      return "not in the core's roster";
    }
    return feed.freshness().ageMs() > MembershipConstants.QUORUM_PEER_TIMEOUT_MS
        ? "no majority of the core heard"
        : "";
  }

  @Override
  public ObjectNode status() {
    ObjectNode status = commonStatus();
    status.put("feedNumber", feed.position()).put("feedAgeMs", feed.freshness().ageMs());
    ArrayNode live = status.putArray("liveCore");
    quorum.liveMembers().forEach(live::add);
    ObjectNode epochs = status.putObject("owned");
    keys.all().forEach((key, ledKey) -> epochs.put(key, ledKey.leader.epoch().counter()));
    view.describe(status);
    managers.describe(status);
    return status;
  }
}
