package applespindle.corelogic;

import applespindle.corelogic.Message.Ask;
import applespindle.corelogic.Records.Member;
import applespindle.corelogic.Records.SignedBundle;
import applespindle.corelogic.Records.StorageState;
import applespindle.corelogic.Records.Worker;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * What a core node does for the keys that it leads: takes the steps that are due at each tick, and
 * runs the commands on a key. Invariant: a command is run only by a leader that is in contact with
 * a majority, and every command gets one response.
 */
final class LeaderDuties {
  private final Surroundings surroundings;
  private final Bounds bounds;
  private final CoreMembership membership;
  private final CoreKeys keys;
  private final CommandReplies replies;
  private final CoreMembershipChange membershipChange;
  private final MemberLeases leases;
  private final BundleDuty bundles;
  private final WorkerCommands workerCommands;
  private final WorkerListDuty workerList;
  private final BatchRoomDuty batchRoom;
  private final EdgeListDuty edgeList;
  private final StorageSets storage;
  private final LossMargin lossMargin;

  /** A core of fewer than wantedMembers is grown; 0 if it is to stay as it was founded. */
  LeaderDuties(
      Surroundings surroundings,
      CoreNode core,
      Bounds bounds,
      Map<String, String> operatorKeys,
      ConfigurationFormat format,
      int wantedMembers,
      NewsInForce inForce,
      CommandReplies replies,
      CoreCommands commands) {
    this.surroundings = surroundings;
    this.bounds = bounds;
    this.membership = core.membership;
    this.keys = core.keys;
    this.replies = replies;
    this.membershipChange =
        new CoreMembershipChange(surroundings, core.place(), membership, keys, wantedMembers);
    this.leases =
        new MemberLeases(
            surroundings,
            core.table,
            keys,
            replies,
            key -> commands.send("leave", key, CoreCommands.NO_BODY, response -> {}));
    this.bundles = new BundleDuty(bounds, operatorKeys, format, keys, replies);
    this.workerCommands = new WorkerCommands(keys, replies);
    this.workerList =
        new WorkerListDuty(
            surroundings,
            bounds,
            state -> core.keys.get(MetadataKeys.WORKER_LIST) == state,
            keys::put,
            () -> core.keys.transfer(MetadataKeys.WORKER_LIST));
    this.batchRoom = new BatchRoomDuty(surroundings, core.table, replies, core::send);
    this.edgeList = new EdgeListDuty(surroundings, core.table, membership, keys, inForce);
    this.storage = new StorageSets(surroundings, core, bounds);
    this.lossMargin = new LossMargin(bounds.lossesToBear());
  }

  void boundsChanged(Bounds newer) {
    workerList.boundsChanged(newer);
  }

  StorageSets storage() {
    return storage;
  }

  /** Called when this node has just taken the leadership of a key. */
  void begin(CoreKeyState state) {
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
        LossMargin.bearable(membership.replicaSets(), membership.liveMembers()::contains),
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
    CoreKeyState state = keys.get(MetadataKeys.BATCH_CAPACITY);
    if (state != null) {
      batchRoom.audit(state);
    }
  }

  // ---- commands

  /** Runs a command; the state is null if the leadership was lost since the command was taken. */
  void run(Ask ask, CoreKeyState state) {
    if (state == null) {
      replies.refuse(ask, new Fault.NotOwner(ask.key()));
      return;
    }
    if (!state.key.hearsMajority()) {
      replies.refuse(ask, new Fault.NoMajority(ask.key()));
      return;
    }
    switch (ask.duty()) {
      case "grant" -> leases.grant(ask, state, Json.read(ask.body(), Member.class));
      case "leave" -> leases.leave(ask, state);
      case "bundle" -> bundles.set(ask, state, Json.read(ask.body(), SignedBundle.class));
      case "patch-bundle" -> bundles.patch(ask, state, Json.read(ask.body(), SentPatch.class));
      case "worker" -> workerCommands.set(ask, state, Json.read(ask.body(), Worker.class));
      case "list-version" -> workerCommands.raiseListVersion(ask, state, Json.tree(ask.body()));
      case "room" -> batchRoom.set(ask, state, Json.tree(ask.body()));
      case "copied" -> copied(ask, state, Json.tree(ask.body()));
      case "storage" -> storage.mark(ask, state, Json.read(ask.body(), StorageState.class));
      case "storage-place" -> storage.place(ask, state);
      case "read" -> read(ask, state);
      default -> replies.refuse(ask, new Fault.UnknownDuty(ask.duty()));
    }
  }

  /**
   * Responds with the value as it was when the command came: all of it is committed once that is
   * confirmed, which can't be said of what is appended meanwhile.
   */
  private void read(Ask ask, CoreKeyState state) {
    JsonNode value = state.value;
    state.key.confirm(fault -> replies.respond(ask, fault, () -> value));
  }

  /** A newcomer of a replica set reports that it has copied. */
  private void copied(Ask ask, CoreKeyState state, JsonNode body) {
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
    CoreKeyState room = keys.get(MetadataKeys.BATCH_CAPACITY);
    if (room != null) {
      status.put("waitingBatchItems", room.room.waiting());
    }
  }
}
