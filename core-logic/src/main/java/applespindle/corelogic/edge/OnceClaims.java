package applespindle.corelogic.edge;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.protocol.Operation;
import applespindle.corelogic.replication.ReplicaConfiguration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Claims of once-ids at their replicas. Invariant: of all tokens that claim an id at most one
 * succeeds, as it needs a quorum of the replicas and each grants the id to one token only.
 */
final class OnceClaims {
  private final EdgeServices edge;
  private final ReplicaRequests replicaRequests;

  OnceClaims(EdgeServices edge, ReplicaRequests replicaRequests) {
    this.edge = edge;
    this.replicaRequests = replicaRequests;
  }

  /** Claims an id; the callback gets null if the claim succeeded, or the error. */
  void claim(String id, String token, Consumer<ApiError> callback) {
    String key = MetadataKeys.ONCE_PREFIX + id;
    ReplicaConfiguration replicas = edge.replicaConfigurationOf(key);
    if (replicas.isEmpty()) {
      callback.accept(new ApiError.NoQuorum(key));
      return;
    }
    ClaimInProgress claim = new ClaimInProgress(id, token, replicas, callback);
    replicaRequests.sendToAll(
        replicas,
        Operation.CLAIM_ONCE_ID,
        key,
        JSON.createObjectNode().put("token", token),
        claim::handle);
  }

  /** Releases the token's claim at all replicas that can be reached. */
  void release(String id, String token) {
    String key = MetadataKeys.ONCE_PREFIX + id;
    edge.replicaConfigurationOf(key)
        .allReplicas()
        .forEach(
            replica ->
                edge.sendRequest(
                    attempt -> replica,
                    Operation.RELEASE_ONCE_ID,
                    key,
                    JSON.createObjectNode().put("token", token),
                    ReplicationConstants.COMMIT_TIMEOUT_MS,
                    response -> {}));
  }

  /** Invariant: the callback runs once, when a quorum has granted the id or can't any more. */
  private final class ClaimInProgress {
    private final String id;
    private final String token;
    private final ReplicaConfiguration replicas;
    private final Consumer<ApiError> callback;
    private final Set<String> granted = new HashSet<>();

    /** The replicas that have granted the claim or may still do so. */
    private final Set<String> possible = new HashSet<>();

    private boolean claimedByOther;
    private boolean concluded;

    ClaimInProgress(
        String id, String token, ReplicaConfiguration replicas, Consumer<ApiError> callback) {
      this.id = id;
      this.token = token;
      this.replicas = replicas;
      this.callback = callback;
      replicas.allReplicas().forEach(replica -> possible.add(replica.id()));
    }

    void handle(String replicaId, Response response) {
      if (response.isSuccess()) {
        granted.add(replicaId);
      } else {
        possible.remove(replicaId);
        claimedByOther |= response.failedWith(ApiError.AlreadyClaimed.class);
      }
      boolean lost = !replicas.isQuorum(possible);
      if (concluded || !lost && !replicas.isQuorum(granted)) {
        return;
      }
      concluded = true;
      if (lost) {
        release(id, token);
      }
      callback.accept(lost ? reasonOfLoss() : null);
    }

    private ApiError reasonOfLoss() {
      return claimedByOther
          ? new ApiError.AlreadyClaimed(id)
          : new ApiError.NoQuorum(MetadataKeys.ONCE_PREFIX + id);
    }
  }
}
