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
  private final Environment surroundings;
  private final NodeSettings bounds;
  private final QuorumView membership;
  private final LedKeys keys;
  private final CommandResponder replies;
  private final QuorumMembershipManager membershipChange;
  private final MemberLeaseManager leases;
  private final ConfigurationManager bundles;
  private final WorkerRegistrationManager workerCommands;
  private final WorkerListSynchronizer workerList;
  private final BatchCapacityManager batchRoom;
  private final EdgeListManager edgeList;
  private final ShardReplicaManager storage;
  private final FaultToleranceMonitor lossMargin;

  /** A core of fewer than wantedMembers is grown; 0 if it is to stay as it was founded. */
  ControlManagers(
      Environment surroundings,
      ControlPlaneNode core,
      NodeSettings bounds,
      Map<String, String> operatorKeys,
      ConfigurationFormat format,
      int wantedMembers,
      UpdateAcknowledgements inForce,
      CommandResponder replies,
      CommandSender commands) {
    this.surroundings = surroundings;
    this.bounds = bounds;
    this.membership = core.membership;
    this.keys = core.keys;
    this.replies = replies;
    this.membershipChange =
        new QuorumMembershipManager(surroundings, core.place(), membership, keys, wantedMembers);
    this.leases =
        new MemberLeaseManager(
            surroundings,
            core.table,
            keys,
            replies,
            key -> commands.send("leave", key, CommandSender.NO_BODY, response -> {}));
    this.bundles = new ConfigurationManager(bounds, operatorKeys, format, keys, replies);
    this.workerCommands = new WorkerRegistrationManager(keys, replies);
    this.workerList =
        new WorkerListSynchronizer(
            surroundings,
            bounds,
            state -> core.keys.get(MetadataKeys.WORKER_LIST) == state,
            keys::put,
            () -> core.keys.transfer(MetadataKeys.WORKER_LIST));
    this.batchRoom = new BatchCapacityManager(surroundings, core.table, replies, core::send);
    this.edgeList = new EdgeListManager(surroundings, core.table, membership, keys, inForce);
    this.storage = new ShardReplicaManager(surroundings, core, bounds);
    this.lossMargin = new FaultToleranceMonitor(bounds.lossesToBear());
  }

  void boundsChanged(NodeSettings newer) {
    workerList.boundsChanged(newer);
  }

  ShardReplicaManager storage() {
    return storage;
  }

  /** Called when this node has just taken the leadership of a key. */
  void begin(LedKey state) {
    if (state.key.key.equals(MetadataKeys.WORKER_LIST) && bounds.listCallsPerS() > 0) {
      workerList.begin(state);
    }
  }

  // ---- what is due at each tick

  /** Claims the keys that are this node's to lead, and takes the next step for those it leads. */
  void tick() {
    keys.claimOrphans();
    membershipChange.advance();
    leases.expire();
    edgeList.tick();
    claimWorkerList();
    storage.tick();
    auditBatchRoom();
    lossMargin.look(
        FaultToleranceMonitor.bearable(
            membership.replicaSets(), membership.liveMembers()::contains),
        storage.lossesBearable(),
        surroundings.now());
  }

  /** Somebody always reads the list, also before its key has a first value. */
  private void claimWorkerList() {
    if (bounds.listCallsPerS() > 0 && keys.get(MetadataKeys.WORKER_LIST) == null) {
      keys.claimIfVacant(MetadataKeys.WORKER_LIST);
    }
  }

  private void auditBatchRoom() {
    LedKey state = keys.get(MetadataKeys.BATCH_CAPACITY);
    if (state != null) {
      batchRoom.audit(state);
    }
  }

  // ---- commands

  /** Runs a command; the state is null if the leadership was lost since the command was taken. */
  void run(PeerRequest ask, LedKey state) {
    if (state == null) {
      replies.refuse(ask, new ApiError.NotLeader(ask.key()));
      return;
    }
    if (!state.key.hearsMajority()) {
      replies.refuse(ask, new ApiError.NoQuorum(ask.key()));
      return;
    }
    switch (ask.duty()) {
      case "grant" -> leases.grant(ask, state, Json.read(ask.body(), NodeRegistration.class));
      case "leave" -> leases.leave(ask, state);
      case "bundle" -> bundles.set(ask, state, Json.read(ask.body(), SignedConfiguration.class));
      case "patch-bundle" ->
          bundles.patch(ask, state, Json.read(ask.body(), ConfigurationPatchRequest.class));
      case "worker" ->
          workerCommands.set(ask, state, Json.read(ask.body(), WorkerRegistration.class));
      case "list-version" -> workerCommands.raiseListVersion(ask, state, Json.tree(ask.body()));
      case "room" -> batchRoom.set(ask, state, Json.tree(ask.body()));
      case "copied" -> copied(ask, state, Json.tree(ask.body()));
      case "storage" -> storage.mark(ask, state, Json.read(ask.body(), StorageNodeState.class));
      case "storage-place" -> storage.place(ask, state);
      case "read" -> read(ask, state);
      default -> replies.refuse(ask, new ApiError.UnknownRequest(ask.duty()));
    }
  }

  /**
   * Responds with the value as it was when the command came: all of it is committed once that is
   * confirmed, which can't be said of what is appended meanwhile.
   */
  private void read(PeerRequest ask, LedKey state) {
    JsonNode value = state.value;
    state.key.confirm(fault -> replies.respond(ask, fault, () -> value));
  }

  /** A newcomer of a replica set reports that it has copied. */
  private void copied(PeerRequest ask, LedKey state, JsonNode body) {
    state.copied.put(body.path("id").asText(), body.path("number").asLong());
    replies.respond(ask, Response.of(200, body));
    if (state.key.key.equals(MetadataKeys.MEMBERSHIP)) {
      membershipChange.advance();
    } else {
      storage.lookSoon();
    }
  }

  // ---- status

  /** Adds the storage nodes, how many losses can be borne, and the waiting batch items. */
  void describe(ObjectNode status) {
    status.set("storage", storage.nodes());
    status.put("replicas", bounds.replicas());
    status.put("shardsWithReducedRedundancy", storage.reduced());
    lossMargin.show(status, surroundings.now());
    LedKey room = keys.get(MetadataKeys.BATCH_CAPACITY);
    if (room != null) {
      status.put("waitingBatchItems", room.room.waiting());
    }
  }
}
