package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.ConfigurationFormat;
import applespindle.corelogic.configuration.ConfigurationPatchRequest;
import applespindle.corelogic.duty.DutyInputs;
import applespindle.corelogic.duty.UsageDutyState;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.StorageNodeState;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.MessageSender;
import applespindle.corelogic.replication.FaultToleranceMonitor;
import applespindle.corelogic.scaling.DemandReport;
import applespindle.corelogic.usage.UsageReport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Owns the managers of a control plane process, lets them take the steps that are due at each tick,
 * and dispatches each command to the manager of its key.
 *
 * <p>Invariants: a command runs only at a leader that is in contact with a majority, and every
 * command gets one response; at each tick the managers run in a fixed order, after the elections
 * for keys without a leader.
 */
final class ControlManagers {
  private final ControlPlaneContext context;
  private final LedKeys keys;
  private final CommandResponder responder;
  private final QuorumMembershipManager quorumMembership;
  private final MemberLeaseManager leases;
  private final ConfigurationManager configurations;
  private final WorkerRegistrationManager workers;
  private final WorkerListSynchronizer workerList;
  private final BatchCapacityManager batchCapacity;
  private final StorageNodeDirectory storageNodes;
  private final ShardHealth shardHealth;
  private final ShardReplicaManager shardReplicas;
  private final StorageDrainManager drains;
  private final DrainPlanner drainPlanner;
  private final FaultToleranceMonitor faultTolerance;

  private final DutyReportCollection dutyReports;

  /** The duties that the deployment asks for. */
  private final List<DutyManager<?>> duties;

  /** In the order in which they run at each tick. */
  private final List<KeyManager> tickOrder;

  /**
   * The quorum is grown while it has fewer than targetMemberCount members; 0 keeps it as it was
   * formed. The operators' public keys are by key id.
   *
   * @param dutyInputs what the duties at the platform are to report and to order; null: by what the
   *     edges report
   */
  ControlManagers(
      ControlPlaneContext context,
      Map<String, String> operatorKeys,
      ConfigurationFormat format,
      int targetMemberCount,
      DutyInputs dutyInputs,
      MessageSender sender) {
    int replicationFactor = context.settings().replicas();
    this.context = context;
    this.keys = context.keys();
    this.responder = context.responder();
    this.quorumMembership = new QuorumMembershipManager(context, targetMemberCount);
    this.leases = new MemberLeaseManager(context);
    this.configurations = new ConfigurationManager(context, operatorKeys, format);
    this.workers = new WorkerRegistrationManager(keys, responder);
    this.workerList = new WorkerListSynchronizer(context);
    this.batchCapacity = new BatchCapacityManager(context, sender);
    this.storageNodes = new StorageNodeDirectory(context.table());
    this.shardHealth = new ShardHealth(context.table(), storageNodes, replicationFactor);
    this.shardReplicas = new ShardReplicaManager(context, storageNodes, shardHealth);
    this.drains = new StorageDrainManager(context, storageNodes, shardHealth);
    this.drainPlanner = new DrainPlanner(context.table(), storageNodes, replicationFactor);
    this.faultTolerance = new FaultToleranceMonitor(context.settings().faultTolerance());
    this.dutyReports = new DutyReportCollection(context, this::committedUsageWindow);
    this.duties =
        DutyManager.forSettings(context, dutyInputs == null ? dutyReports.inputs() : dutyInputs);
    this.tickOrder =
        Stream.concat(
                Stream.of(
                    quorumMembership,
                    leases,
                    new EdgeListManager(context),
                    workerList,
                    shardReplicas,
                    batchCapacity),
                duties.stream())
            .toList();
  }

  void settingsChanged(NodeSettings newer) {
    workerList.settingsChanged(newer);
  }

  /** The storage nodes as known here. */
  StorageNodeDirectory storageNodes() {
    return storageNodes;
  }

  StorageDrainManager drains() {
    return drains;
  }

  DrainPlanner drainPlanner() {
    return drainPlanner;
  }

  /** Called when a member or a storage node's state changed. */
  void storageNodesChanged() {
    shardReplicas.checkSoon();
  }

  /** Called when this node has just become the leader of a key. */
  void leadershipTaken(LedKey ledKey) {
    if (ledKey.key().equals(MetadataKeys.WORKER_LIST)) {
      workerList.leadershipTaken(ledKey);
    }
    dutyReports.leadershipTaken(ledKey);
    duties.stream()
        .filter(duty -> duty.key().equals(ledKey.key()))
        .forEach(duty -> duty.leadershipTaken(ledKey));
  }

  /** The last window of usage whose intent is known here to be committed; 0 if none. */
  private long committedUsageWindow() {
    return duties.stream()
        .map(DutyManager::lastCommitted)
        .filter(UsageDutyState.class::isInstance)
        .mapToLong(state -> ((UsageDutyState) state).lastWindowId())
        .findFirst()
        .orElse(0);
  }

  /** Called for each value of a duty's key that was committed in its log. */
  void dutyCommitted(String key, byte[] value) {
    duties.stream().filter(duty -> duty.key().equals(key)).forEach(duty -> duty.committed(value));
  }

  /** Starts the elections that are this node's to start, and lets each manager take its steps. */
  void tick() {
    keys.electForLeaderlessKeys();
    tickOrder.forEach(KeyManager::tick);
    faultTolerance.update(
        FaultToleranceMonitor.remainingTolerableFailures(
            context.quorum().replicaConfiguration(), context.quorum().liveMembers()::contains),
        shardHealth.remainingTolerableFailures(),
        context.environment().nowMs());
  }

  // ---- commands

  /** Runs a command; ledKey is null if the leadership was lost after the command arrived. */
  void run(PeerRequest request, LedKey ledKey) {
    if (ledKey == null) {
      responder.reject(request, new ApiError.NotLeader(request.key()));
      return;
    }
    if (!ledKey.leader().isInContactWithQuorum()) {
      responder.reject(request, new ApiError.NoQuorum(request.key()));
      return;
    }
    switch (request.operation()) {
      case RENEW_LEASE -> leases.renew(request, ledKey, decode(request, NodeRegistration.class));
      case RELEASE_LEASE -> leases.leave(request, ledKey);
      case SET_CONFIGURATION ->
          configurations.set(request, ledKey, decode(request, SignedConfiguration.class));
      case PATCH_CONFIGURATION ->
          configurations.patch(request, ledKey, decode(request, ConfigurationPatchRequest.class));
      case SET_WORKER -> workers.set(request, ledKey, decode(request, WorkerRegistration.class));
      case RAISE_WORKER_LIST_VERSION ->
          workers.raiseListVersion(request, ledKey, decode(request, WorkerListVersionCheck.class));
      case UPDATE_BATCH_CAPACITY ->
          batchCapacity.set(request, ledKey, decode(request, BatchCapacityRequest.class));
      case REPORT_USAGE -> dutyReports.handle(request, decode(request, UsageReport.class));
      case REPORT_DEMAND -> dutyReports.handle(request, decode(request, DemandReport.class));
      case REPORT_CAUGHT_UP ->
          recordCaughtUp(request, ledKey, decode(request, CaughtUpReport.class));
      case SET_STORAGE_NODE_STATE ->
          drains.setState(request, ledKey, decode(request, StorageNodeState.class));
      case CHECK_STORAGE_NODE_DRAINED -> drains.respondWhetherDrained(request, ledKey);
      case READ_KEY -> read(request, ledKey);
      default -> responder.reject(request, new ApiError.UnknownRequest(request.operationName()));
    }
  }

  private static <T> T decode(PeerRequest request, Class<T> type) {
    return Json.read(request.body(), type);
  }

  /**
   * Responds with the value at the time the command arrived: all of it is committed once the
   * leadership is confirmed, unlike a value that is appended in the meantime.
   */
  private void read(PeerRequest request, LedKey ledKey) {
    JsonNode value = ledKey.value();
    ledKey.confirmLeadership(error -> responder.respond(request, error, () -> value));
  }

  /** A new member of a replica set reports that it has copied the data. */
  private void recordCaughtUp(PeerRequest request, LedKey ledKey, CaughtUpReport report) {
    ledKey.recordCaughtUp(report);
    responder.respond(request, Response.of(CommandResponder.STATUS_OK, report));
    if (ledKey.key().equals(MetadataKeys.MEMBERSHIP)) {
      quorumMembership.advance();
    } else {
      shardReplicas.checkSoon();
    }
  }

  // ---- status

  /** Adds the storage nodes, the fault tolerance, the waiting batch items, and the duties. */
  void describe(ObjectNode status) {
    status.set("storage", JSON.<JsonNode>valueToTree(storageNodes.summaries()));
    status.put("replicas", context.settings().replicas());
    status.put("shardsWithReducedRedundancy", shardHealth.shardsWithReducedRedundancy());
    faultTolerance.describe(status, context.environment().nowMs());
    LedKey capacityKey = keys.get(MetadataKeys.BATCH_CAPACITY);
    if (capacityKey != null) {
      status.put("waitingBatchItems", capacityKey.capacityLedger().waiting());
    }
    if (!duties.isEmpty()) {
      ObjectNode dutyStatus = status.putObject("duties");
      duties.forEach(duty -> duty.describe(dutyStatus));
      dutyReports.describe(dutyStatus);
    }
    LedKey configurationKey = keys.get(MetadataKeys.CONFIGURATION);
    if (configurationKey != null) {
      configurations.describe(status, configurationKey);
    }
  }
}
