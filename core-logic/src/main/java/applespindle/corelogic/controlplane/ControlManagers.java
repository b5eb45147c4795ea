package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.changefeed.UpdateAcknowledgements;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.ConfigurationFormat;
import applespindle.corelogic.configuration.ConfigurationPatchRequest;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.StorageNodeState;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.replication.FaultToleranceMonitor;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * What a core node does for the keys that it leads: takes the steps that are due at each tick, and
 * runs the commands on a key. Invariant: a command is run only by a leader that is in contact with
 * a majority, and every command gets one response.
 */
final class ControlManagers {
  private final Environment environment;
  private final NodeSettings settings;
  private final QuorumView quorum;
  private final LedKeys keys;
  private final CommandResponder responder;
  private final QuorumMembershipManager membershipChange;
  private final MemberLeaseManager leases;
  private final ConfigurationManager bundles;
  private final WorkerRegistrationManager workerCommands;
  private final WorkerListSynchronizer workerList;
  private final BatchCapacityManager batchRoom;
  private final EdgeListManager edgeList;
  private final ShardReplicaManager storage;
  private final FaultToleranceMonitor faultTolerance;

  /** A core of fewer than wantedMembers is grown; 0 if it is to stay as it was founded. */
  ControlManagers(
      Environment environment,
      ControlPlaneNode core,
      NodeSettings settings,
      Map<String, String> operatorKeys,
      ConfigurationFormat format,
      int wantedMembers,
      UpdateAcknowledgements updateAcknowledgements,
      CommandResponder responder,
      CommandSender commands) {
    this.environment = environment;
    this.settings = settings;
    this.quorum = core.quorum;
    this.keys = core.keys;
    this.responder = responder;
    this.membershipChange =
        new QuorumMembershipManager(environment, core.identity(), quorum, keys, wantedMembers);
    this.leases =
        new MemberLeaseManager(
            environment,
            core.table,
            keys,
            responder,
            key -> commands.send("leave", key, CommandSender.NO_BODY, response -> {}));
    this.bundles = new ConfigurationManager(settings, operatorKeys, format, keys, responder);
    this.workerCommands = new WorkerRegistrationManager(keys, responder);
    this.workerList =
        new WorkerListSynchronizer(
            environment,
            settings,
            ledKey -> core.keys.get(MetadataKeys.WORKER_LIST) == ledKey,
            keys::put,
            () -> core.keys.transfer(MetadataKeys.WORKER_LIST));
    this.batchRoom = new BatchCapacityManager(environment, core.table, responder, core::send);
    this.edgeList =
        new EdgeListManager(environment, core.table, quorum, keys, updateAcknowledgements);
    this.storage = new ShardReplicaManager(environment, core, settings);
    this.faultTolerance = new FaultToleranceMonitor(settings.faultTolerance());
  }

  void settingsChanged(NodeSettings newer) {
    workerList.settingsChanged(newer);
  }

  ShardReplicaManager storage() {
    return storage;
  }

  /** Called when this node has just taken the leadership of a key. */
  void leadershipTaken(LedKey ledKey) {
    if (ledKey.leader.key.equals(MetadataKeys.WORKER_LIST) && settings.listCallsPerS() > 0) {
      workerList.begin(ledKey);
    }
  }

  // ---- what is due at each tick

  /** Claims the keys that are this node's to lead, and takes the next step for those it leads. */
  void tick() {
    keys.electForLeaderlessKeys();
    membershipChange.advance();
    leases.expire();
    edgeList.tick();
    claimWorkerList();
    storage.tick();
    auditBatchRoom();
    faultTolerance.update(
        FaultToleranceMonitor.remainingTolerableFailures(
            quorum.replicaConfiguration(), quorum.liveMembers()::contains),
        storage.remainingTolerableFailures(),
        environment.nowMs());
  }

  /** Somebody always reads the list, also before its key has a first value. */
  private void claimWorkerList() {
    if (settings.listCallsPerS() > 0 && keys.get(MetadataKeys.WORKER_LIST) == null) {
      keys.electIfVacant(MetadataKeys.WORKER_LIST);
    }
  }

  private void auditBatchRoom() {
    LedKey ledKey = keys.get(MetadataKeys.BATCH_CAPACITY);
    if (ledKey != null) {
      batchRoom.audit(ledKey);
    }
  }

  // ---- commands

  /** Runs a command; the state is null if the leadership was lost since the command was taken. */
  void run(PeerRequest request, LedKey ledKey) {
    if (ledKey == null) {
      responder.reject(request, new ApiError.NotLeader(request.key()));
      return;
    }
    if (!ledKey.leader.isInContactWithQuorum()) {
      responder.reject(request, new ApiError.NoQuorum(request.key()));
      return;
    }
    switch (request.operation()) {
      case "grant" ->
          leases.renew(request, ledKey, Json.read(request.body(), NodeRegistration.class));
      case "leave" -> leases.leave(request, ledKey);
      case "bundle" ->
          bundles.set(request, ledKey, Json.read(request.body(), SignedConfiguration.class));
      case "patch-bundle" ->
          bundles.patch(
              request, ledKey, Json.read(request.body(), ConfigurationPatchRequest.class));
      case "worker" ->
          workerCommands.set(request, ledKey, Json.read(request.body(), WorkerRegistration.class));
      case "list-version" ->
          workerCommands.raiseListVersion(request, ledKey, Json.tree(request.body()));
      case "room" -> batchRoom.set(request, ledKey, Json.tree(request.body()));
      case "copied" -> copied(request, ledKey, Json.tree(request.body()));
      case "storage" ->
          storage.mark(request, ledKey, Json.read(request.body(), StorageNodeState.class));
      case "storage-place" -> storage.respondWhetherDrained(request, ledKey);
      case "read" -> read(request, ledKey);
      default -> responder.reject(request, new ApiError.UnknownRequest(request.operation()));
    }
  }

  /**
   * Responds with the value as it was when the command came: all of it is committed once that is
   * confirmed, which can't be said of what is appended meanwhile.
   */
  private void read(PeerRequest request, LedKey ledKey) {
    JsonNode value = ledKey.value;
    ledKey.leader.confirmLeadership(error -> responder.respond(request, error, () -> value));
  }

  /** A newcomer of a replica set reports that it has copied. */
  private void copied(PeerRequest request, LedKey ledKey, JsonNode body) {
    ledKey.caughtUpVersions.put(body.path("id").asText(), body.path("number").asLong());
    responder.respond(request, Response.of(200, body));
    if (ledKey.leader.key.equals(MetadataKeys.MEMBERSHIP)) {
      membershipChange.advance();
    } else {
      storage.checkSoon();
    }
  }

  // ---- status

  /** Adds the storage nodes, how many losses can be borne, and the waiting batch items. */
  void describe(ObjectNode status) {
    status.set("storage", storage.nodes());
    status.put("replicas", settings.replicas());
    status.put("shardsWithReducedRedundancy", storage.reduced());
    faultTolerance.describe(status, environment.nowMs());
    LedKey room = keys.get(MetadataKeys.BATCH_CAPACITY);
    if (room != null) {
      status.put("waitingBatchItems", room.capacityLedger.waiting());
    }
  }
}
