package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.constants.ShardConstants;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.StorageNodeState;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Operation;
import java.util.Optional;

/**
 * Runs the commands by which operators drain and retire storage nodes: the key of each storage node
 * holds its state, "active" until the first command, then "emptying" and finally "retired".
 *
 * <p>It owns no state besides these keys; {@link ShardReplicaManager} moves the replicas off a
 * draining node. Invariants: a retired node never becomes active or draining again; a node is
 * retired only when no known shard names it; a drain is refused while too few other nodes could
 * take the replicas; a refusal writes nothing and is sent only after the leadership is confirmed.
 */
final class StorageDrainManager {
  private record MarkResponse(String id, String name, String state, int shards) {
    static MarkResponse of(StorageNodeState state, int shards) {
      return new MarkResponse(state.id(), state.name(), state.state(), shards);
    }
  }

  private record NodeIdResponse(String id) {}

  private record DrainProgressResponse(boolean complete) {}

  private final MetadataTable table;
  private final StorageNodeDirectory directory;
  private final ShardHealth shardHealth;
  private final LedKeys keys;
  private final CommandResponder responder;
  private final CommandSender commands;
  private final int replicationFactor;

  StorageDrainManager(
      ControlPlaneContext context, StorageNodeDirectory directory, ShardHealth shardHealth) {
    this.table = context.table();
    this.directory = directory;
    this.shardHealth = shardHealth;
    this.keys = context.keys();
    this.responder = context.responder();
    this.commands = context.commands();
    this.replicationFactor = context.settings().replicas();
  }

  /**
   * Marks a storage node as draining or retired, or refuses to. Repeating the command that set the
   * present state gets the same response. If fewer nodes than needed remain after a drain began,
   * the drain waits for others.
   */
  void setState(PeerRequest request, LedKey ledKey, StorageNodeState requested) {
    StorageNodeState current = ledKey.as(StorageNodeState.class);
    int shards = directory.shardsNaming(requested.id());
    Optional<ApiError> refusal = refusal(current, requested, shards);
    Response response =
        refusal
            .map(Response::of)
            .orElseGet(
                () -> Response.of(CommandResponder.STATUS_OK, MarkResponse.of(requested, shards)));
    if (refusal.isPresent() || requested.equals(current)) {
      ledKey.confirmLeadership(error -> respond(request, response, error));
    } else {
      keys.put(ledKey, requested, error -> respond(request, response, error));
    }
  }

  private void respond(PeerRequest request, Response response, ApiError error) {
    responder.respond(request, error == null ? response : Response.of(error));
  }

  /** The current state is null while no command has marked the node. */
  private Optional<ApiError> refusal(
      StorageNodeState current, StorageNodeState requested, int shards) {
    if (current == null && !table.has(MetadataKeys.MEMBER_PREFIX + requested.id())) {
      return Optional.of(new ApiError.NoSuchStorageNode(requested.id()));
    }
    return requested.state().equals(StorageNodeState.DRAINING)
        ? drainRefusal(current, requested.id())
        : retireRefusal(current, shards);
  }

  private Optional<ApiError> drainRefusal(StorageNodeState current, String id) {
    if (current != null) {
      return current.state().equals(StorageNodeState.RETIRED)
          ? Optional.of(new ApiError.StorageNodeRetired(id))
          : Optional.empty();
    }
    int others = directory.activeBesides(id);
    return others < replicationFactor
        ? Optional.of(new ApiError.TooFewReplicas(others))
        : Optional.empty();
  }

  private static Optional<ApiError> retireRefusal(StorageNodeState current, int shards) {
    boolean drained = current != null && shards == 0;
    return drained ? Optional.empty() : Optional.of(new ApiError.StorageNodeNotEmpty(shards));
  }

  /**
   * Responds with the id of the node that the request's key names. Only a process with fresh
   * metadata can say that there is no such node; any other responds that it is not ready.
   */
  void respondWithId(PeerRequest request, boolean metadataIsFresh) {
    Optional<String> id = directory.findId(request.key());
    if (id.isPresent()) {
      responder.respond(
          request, Response.of(CommandResponder.STATUS_OK, new NodeIdResponse(id.get())));
    } else if (metadataIsFresh) {
      responder.reject(request, new ApiError.NoSuchStorageNode(request.key()));
    } else {
      responder.reject(request, new ApiError.NotReady(ControlPlaneNode.NO_MAJORITY_IN_CONTACT));
    }
  }

  /**
   * Responds whether the node and its disk may be removed. Each shard is read at its leader,
   * because a committed replica set that names the node may not be known here yet.
   */
  void respondWhetherDrained(PeerRequest request, LedKey ledKey) {
    String id = ledKey.key().substring(MetadataKeys.STORAGE_PREFIX.length());
    ledKey.confirmLeadership(
        error -> {
          if (error != null) {
            responder.reject(request, error);
          } else if (ledKey.as(StorageNodeState.class) == null) {
            respondDrained(request, false);
          } else {
            checkShard(request, id, 0);
          }
        });
  }

  private void respondDrained(PeerRequest request, boolean complete) {
    responder.respond(
        request, Response.of(CommandResponder.STATUS_OK, new DrainProgressResponse(complete)));
  }

  /** Checks the shards one after the other, beginning with this one. */
  private void checkShard(PeerRequest request, String id, int shardNumber) {
    if (shardNumber == ShardConstants.SHARD_COUNT) {
      respondDrained(request, true);
      return;
    }
    commands.send(
        Operation.READ_KEY,
        MetadataKeys.SHARD_PREFIX + shardNumber,
        JSON.createObjectNode(),
        response -> {
          if (!response.isSuccess()) {
            responder.respond(request, response);
          } else if (isCompleteWithout(id, response)) {
            checkShard(request, id, shardNumber + 1);
          } else {
            respondDrained(request, false);
          }
        });
  }

  private boolean isCompleteWithout(String id, Response response) {
    if (response.body().isNull()) {
      return false;
    }
    ShardAssignment shard = JSON.convertValue(response.body(), ShardAssignment.class);
    return !StorageNodeDirectory.names(shard, id)
        && shardHealth.isComplete(shard, directory.live());
  }
}
