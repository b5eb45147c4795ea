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
import applespindle.corelogic.configuration.ConfigurationFormat;
import applespindle.corelogic.constants.ChangeFeedConstants;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.duty.DutyInputs;
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
import applespindle.corelogic.protocol.Message.AppliedPositionsRequest;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Operation;
import applespindle.corelogic.replication.LogReplicas;
import applespindle.corelogic.replication.ReplicaCatchUp;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A process of the control plane. It holds replicas of the control plane's keys, leads some of
 * them, and publishes their changes to the rest of the fleet. This class assembles the parts of the
 * process and passes timers, messages and commands on to them.
 *
 * <p>State owned: whether the process has started; all other state belongs to its parts. The
 * process goes from recovering through started to stopping and terminated. Invariants: a heartbeat
 * that is received before the start triggers no other; a process that is not a member of the quorum
 * rejects commands; one that is not a replica leads no key.
 */
public final class ControlPlaneNode extends Node {
  /** The readiness text of a process that is no member of the quorum. */
  private static final String NOT_A_MEMBER = "not in the core's roster";

  /** The readiness text of a process whose metadata may be out of date. */
  static final String NO_MAJORITY_IN_CONTACT = "no majority of the core heard";

  private final NodeSettings settings;

  /** The committed values known here. */
  private final MetadataTable table = new MetadataTable();

  private final QuorumView quorum;
  private final HeartbeatExchange heartbeat;
  private final QuorumDiscovery discovery;
  private final QuorumBootstrap bootstrap;
  private final StaticBootstrap staticBootstrap;
  private final JoiningMember joiningMember;

  private final LogReplicas replicas;
  private final ReplicaCatchUp catchUp;

  /** The keys that this node leads. */
  private final LedKeys keys;

  private final ChangeFeedExchange feed;
  private final UpdateAcknowledgements updateAcknowledgements;

  private final CommandResponder responder;
  private final CommandSender commands;
  private final ControlManagers managers;
  private final CommandRouter router;
  private final PeerMessageHandler messageHandler;
  private final MetadataView view;
  private boolean started;

  /**
   * Creates a process with default settings.
   *
   * @param operatorKeys public keys of the operators by key id
   * @param founders the peer addresses of the first members, the same at each of them
   */
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

  /**
   * Creates a process.
   *
   * @param operatorKeys public keys of the operators by key id
   * @param founders the peer addresses of the first members, the same at each of them; if empty,
   *     the first members discover each other through the seeds
   * @param format how operators write configurations
   */
  public ControlPlaneNode(
      Environment environment,
      NodeIdentity identity,
      Map<String, String> operatorKeys,
      List<String> founders,
      NodeSettings settings,
      ConfigurationFormat format) {
    this(environment, identity, operatorKeys, founders, settings, format, null);
  }

  /**
   * Creates a process with other inputs of the duties than its own.
   *
   * @param dutyInputs what the duties at the platform are to report and to order; null: by what the
   *     edges report
   */
  public ControlPlaneNode(
      Environment environment,
      NodeIdentity identity,
      Map<String, String> operatorKeys,
      List<String> founders,
      NodeSettings settings,
      ConfigurationFormat format,
      DutyInputs dutyInputs) {
    super(environment, identity);
    this.settings = settings;
    this.quorum = new QuorumView(environment, identity, () -> membership);
    this.bootstrap = newBootstrap();
    this.staticBootstrap = new StaticBootstrap(environment, identity, quorum, founders);
    this.replicas =
        new LogReplicas(
            environment, this::send, this::committed, key -> QuorumView.REPLICA_SET_NAME);
    this.catchUp = new ReplicaCatchUp(environment, this, replicas, new HashMap<>(), id -> "");
    this.joiningMember = new JoiningMember(environment, this, quorum, catchUp);
    this.keys = newLedKeys();
    this.heartbeat = newHeartbeat();
    this.feed =
        new ChangeFeedExchange(
            environment, identity, quorum, replicas, table, traceLog, this::send, this::learn);
    this.discovery =
        new QuorumDiscovery(
            identity, settings, quorum, feed.freshness()::ageMs, () -> seeds, this::send);
    this.updateAcknowledgements = newUpdateAcknowledgements();
    this.responder = new CommandResponder(this::respond, updateAcknowledgements, traceLog);
    this.commands = new CommandSender(this, quorum);
    ControlPlaneContext context = newContext();
    int targetMemberCount = founders.isEmpty() ? settings.replicas() : 0;
    this.managers =
        new ControlManagers(
            context, operatorKeys, format, targetMemberCount, dutyInputs, this::send);
    this.router = new CommandRouter(context, replicas, managers, () -> stopping, this::forward);
    this.messageHandler =
        new PeerMessageHandler(context, heartbeat, feed, replicas, () -> started, () -> stopping);
    this.view = new MetadataView(table, feed.freshness());
  }

  private QuorumBootstrap newBootstrap() {
    return new QuorumBootstrap(
        environment,
        identity,
        settings,
        quorum.self(),
        quorum.peers(),
        quorum::isAlive,
        this::learnMembership);
  }

  private LedKeys newLedKeys() {
    return new LedKeys(
        environment,
        identity,
        quorum,
        replicas,
        table,
        traceLog,
        this::send,
        () -> stopping,
        this::leadershipTaken);
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

  private UpdateAcknowledgements newUpdateAcknowledgements() {
    return new UpdateAcknowledgements(
        environment,
        settings.edgesAcknowledge(),
        () -> UpdateAcknowledgements.KnownEdges.of(table),
        () -> quorum.isMember() && feed.freshness().isFresh(),
        address -> send(address, "", new AppliedPositionsRequest(environment.nowMs())));
  }

  private ControlPlaneContext newContext() {
    return new ControlPlaneContext(
        environment,
        identity,
        settings,
        table,
        quorum,
        keys,
        traceLog,
        updateAcknowledgements,
        responder,
        commands,
        () -> !isTerminated() && !stopping);
  }

  // ---- start, timers, stop

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
      records.add(membershipRecord());
    } else {
      records.addAll(bootstrap.records());
    }
    records.addAll(replicas.checkpoint());
    return records;
  }

  private LogRecord membershipRecord() {
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
    boolean discoversFounders = staticBootstrap.isEmpty() && membership.version() == 0;
    addPeers(discoversFounders ? seeds : staticBootstrap.addresses());
    quorum.addMembersAsPeers();
    if (discoversFounders) {
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

  private void addPeers(Collection<String> addresses) {
    for (String address : addresses) {
      if (!address.equals(identity.peerAddress())) {
        quorum.peers().put(address, new QuorumPeer());
      }
    }
  }

  private void tick() {
    if (settings.voter() || membership.version() == 0 && bootstrap.isCoordinator()) {
      heartbeat.send();
    }
    if (membership.version() == 0) {
      formQuorum();
    }
    if (quorum.isMember() && !stopping) {
      managers.tick();
    }
    updateAcknowledgements.tick();
  }

  /** The managers are created after the led keys, which report to this method. */
  private void leadershipTaken(LedKey ledKey) {
    managers.leadershipTaken(ledKey);
  }

  /** Takes the next step towards the first membership. */
  private void formQuorum() {
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
      environment.write(List.of(membershipRecord()), () -> {});
    }
    if (!quorum.isReplica()) {
      keys.resignAll();
      return;
    }
    replicas.adoptConfiguration(
        QuorumView.REPLICA_SET_NAME, membership.version(), joiningMember::catchUpIfJoining);
    keys.reconfigure();
  }

  /** Called for each entry that was committed in a log with a replica here. */
  private void committed(String key, LogEntry entry) {
    boolean isValue = !entry.isEpochStart() && entry.snapshot();
    if (!isValue || key.equals(MetadataKeys.BATCH_CAPACITY)) {
      return;
    }
    if (key.startsWith(MetadataKeys.DUTY_PREFIX)) {
      managers.dutyCommitted(key, entry.event());
      return;
    }
    byte[] value =
        key.equals(MetadataKeys.CONFIGURATION)
            ? ConfigurationManager.forFeed(entry.event())
            : entry.event();
    learn(new MetadataRecord(key, entry.sequence(), value));
  }

  /** Adopts a committed value from a log with a replica here or from a peer's feed. */
  private void learn(MetadataRecord metadataRecord) {
    replicas.committedElsewhere(metadataRecord.key(), metadataRecord.sequence());
    if (!table.put(metadataRecord)) {
      return;
    }
    if (metadataRecord.key().equals(MetadataKeys.MEMBERSHIP)) {
      learnMembership(Json.read(metadataRecord.value(), QuorumMembership.class));
    }
    if (quorum.isMember() && concernsStorageNodes(metadataRecord.key())) {
      managers.storageNodesChanged();
    }
    feed.publish(metadataRecord);
  }

  private static boolean concernsStorageNodes(String key) {
    return key.startsWith(MetadataKeys.MEMBER_PREFIX)
        || key.startsWith(MetadataKeys.STORAGE_PREFIX);
  }

  // ---- commands

  @Override
  protected void handleRequest(PeerRequest request) {
    if (request.operation() == Operation.FETCH_SNAPSHOT_PAGE) {
      catchUp.servePage(request);
      return;
    }
    if (!quorum.isMember()) {
      responder.reject(request, new ApiError.NotReady("this process is " + NOT_A_MEMBER));
      return;
    }
    if (request.operation() == Operation.RESOLVE_STORAGE_NODE) {
      managers.drains().respondWithId(request, feed.freshness().isFresh());
      return;
    }
    router.route(request);
  }

  // ---- messages

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (!catchUp.handle(message, fromId, fromAddress)) {
      messageHandler.handle(message, fromId, fromAddress);
    }
  }

  // ---- interface for operators and the platform

  /** The replicas of the control plane's logs that this process holds. */
  public LogReplicas replicas() {
    return replicas;
  }

  /** Where a drain of the storage node with this id would move its replicas; changes nothing. */
  public DrainPlan planDrain(String id) {
    return managers.drainPlanner().plan(id);
  }

  /** A storage node's id by its id or its name; the argument itself if no node is known by it. */
  public String storageId(String idOrName) {
    return managers.storageNodes().findId(idOrName).orElse(idOrName);
  }

  /** Every storage node known, with its state and the number of shards that name it. */
  public List<StorageNodeSummary> storageNodes() {
    return managers.storageNodes().summaries();
  }

  /**
   * Has a storage node drained. All shards keep all of their replicas, so the callback gets a
   * refusal unless enough other nodes remain.
   *
   * @param name the node's name or id
   * @param durationMs how long the caller expects the drain to take, in milliseconds; not used, the
   *     drain begins at once
   */
  public void drainStorageNode(String name, long durationMs, Consumer<Response> then) {
    commands.drainStorageNode(name, then);
  }

  /**
   * Checks whether a storage node may be removed: in the response, complete is true once no shard
   * names the node and every shard has all of its replicas.
   */
  public void isStorageNodeDrained(String name, Consumer<Response> then) {
    commands.isStorageNodeDrained(name, then);
  }

  /**
   * Sends a command of an operator or of the platform to the leader of a key; the callback gets the
   * response or an error once.
   */
  public void command(Operation operation, String key, Object body, Consumer<Response> then) {
    commands.send(operation, key, body, then);
  }

  /** The workers as known here, with the age of the metadata in milliseconds. */
  public WorkerListView workers() {
    return view.workers();
  }

  /** Ids of the workers that were registered one by one. */
  public List<String> workerIds() {
    return view.workerIds();
  }

  /** The body of a command that marks a worker as leaving or gone. */
  public static WorkerRegistration workerMark(String id, boolean leaving) {
    return new WorkerRegistration(id, "", "", leaving ? LEAVING : GONE);
  }

  /** The body of a command that registers a worker. */
  public static WorkerRegistration workerRegistration(WorkerInput input) {
    return new WorkerRegistration(
        input.id(), input.address(), input.pool(), input.state() == null ? READY : input.state());
  }

  @Override
  public String notReadyReason() {
    if (stopping) {
      return "stopping";
    }
    if (!quorum.isMember()) {
      return NOT_A_MEMBER;
    }
    return feed.freshness().ageMs() > MembershipConstants.QUORUM_PEER_TIMEOUT_MS
        ? NO_MAJORITY_IN_CONTACT
        : "";
  }

  @Override
  public ObjectNode status() {
    ObjectNode status = commonStatus();
    status.put("feedNumber", feed.position()).put("feedAgeMs", feed.freshness().ageMs());
    ArrayNode live = status.putArray("liveCore");
    quorum.liveMembers().forEach(live::add);
    ObjectNode epochs = status.putObject("owned");
    keys.all().forEach((key, ledKey) -> epochs.put(key, ledKey.leader().epoch().counter()));
    view.describe(status);
    managers.describe(status);
    return status;
  }
}
