package applespindle.corelogic.storage;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchEvent;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.dataplane.DataPlaneNode;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.LeaderlessBatches;
import applespindle.corelogic.protocol.Message.LogFetchRequest;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Operation;
import applespindle.corelogic.replication.LogReplica;
import applespindle.corelogic.replication.LogReplicas;
import applespindle.corelogic.replication.ReplicaCatchUp;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A storage node: it holds replicas of batches and the claims of once-ids, both in its log on disk.
 * It reports unfinished batches without a leader to an edge, and has ended batches removed when
 * their retention is over.
 */
public final class StorageNode extends DataPlaneNode {
  private final LogReplicas replicas;
  private final ReplicaCatchUp catchUp;
  private final ShardReconfiguration reconfiguration;
  private final StoredBatches batches = new StoredBatches();
  private final OnceClaimStore onceClaims = new OnceClaimStore();

  /** A storage node with the default settings. */
  public StorageNode(Environment environment, NodeIdentity identity) {
    this(environment, identity, NodeSettings.DEFAULT);
  }

  /** A storage node that is not started yet; its log is recovered first. */
  public StorageNode(Environment environment, NodeIdentity identity, NodeSettings settings) {
    super(environment, identity, settings);
    replicas = new LogReplicas(environment, this::send, this::committed, MetadataKeys::shardOf);
    catchUp =
        new ReplicaCatchUp(environment, this, replicas, onceClaims.tokens(), MetadataKeys::shardOf);
    reconfiguration =
        new ShardReconfiguration(
            environment,
            identity.id(),
            traceLog,
            replicas,
            catchUp,
            this::shards,
            this::isTerminated,
            this::reportCaughtUp);
  }

  /** The replicas on this node. */
  public LogReplicas replicas() {
    return replicas;
  }

  // ---- log and start

  @Override
  public void recover(LogRecord record) {
    if (record.kind() == Kind.ONCE_CLAIM) {
      onceClaims.recover(record);
    } else {
      replicas.recover(record);
    }
  }

  @Override
  public List<LogRecord> checkpoint() {
    List<LogRecord> records = new ArrayList<>(replicas.checkpoint());
    records.addAll(onceClaims.checkpoint());
    return records;
  }

  @Override
  public void start() {
    super.start();
    replicas.finishRecovery();
    repeatEvery(BatchConstants.LEADERLESS_SCAN_INTERVAL_MS, this::reportLeaderlessBatches);
    repeatEvery(BatchConstants.RETENTION_SCAN_INTERVAL_MS, this::removeExpiredBatches);
  }

  // ---- batches

  private void committed(String key, LogEntry entry) {
    if (entry.isEpochStart()) {
      return;
    }
    String eventKind = BatchEvent.kindOf(entry.event());
    batches.apply(key, eventKind, environment.nowMs());
    traceLog.add("committed", key, "sequence " + entry.sequence() + " " + eventKind);
  }

  /**
   * Requests the removal of ended batches whose retention is over, by the edge that is to lead
   * them. Only the first replica of a batch does so.
   */
  private void removeExpiredBatches() {
    if (currentConfiguration() == null) {
      return;
    }
    long now = environment.nowMs();
    batches.endedSince().entrySet().stream()
        .filter(ended -> now - ended.getValue() > retentionMs(ended.getKey()))
        .map(Map.Entry::getKey)
        .filter(this::isFirstReplicaOf)
        .limit(BatchConstants.MAX_REMOVALS_PER_SCAN)
        .toList()
        .forEach(this::requestRemoval);
  }

  private long retentionMs(String key) {
    return BatchKeys.isProxied(key)
        ? settings.batchRetentionMs()
        : currentConfiguration().limits().batch().effectiveRetentionMs();
  }

  private boolean isFirstReplicaOf(String key) {
    List<String> replicaIds =
        replicaConfigurationOf(key).current().stream().map(NodeAddress::id).toList();
    return identity.id().equals(RendezvousHashing.first(key, replicaIds));
  }

  private void requestRemoval(String key) {
    sendRequest(
        attempt -> leaderPlacement().edge(key, attempt),
        Operation.REMOVE_BATCH,
        key,
        JSON.createObjectNode(),
        BatchConstants.RETENTION_SCAN_INTERVAL_MS,
        response -> {});
  }

  /** Reports unfinished batches whose leader has timed out to the edges that are to lead them. */
  private void reportLeaderlessBatches() {
    Map<NodeAddress, List<String>> leaderlessByEdge = new HashMap<>();
    for (String key : batches.unfinished()) {
      LogReplica replica = replicas.replica(key);
      if (!replicas.isLeaderTimedOut(replica)) {
        continue;
      }
      NodeAddress successor = successorFor(key, replica.leaderId);
      if (successor != null) {
        leaderlessByEdge.computeIfAbsent(successor, unseen -> new ArrayList<>()).add(key);
      }
    }
    leaderlessByEdge.forEach(
        (edge, keys) -> send(edge.address(), edge.id(), new LeaderlessBatches(keys)));
  }

  /**
   * The first edge in the order for a key; the second if the first is the leader that timed out.
   */
  private NodeAddress successorFor(String key, String silentLeaderId) {
    NodeAddress first = leaderPlacement().edge(key, 0);
    boolean firstIsSilent = first != null && first.id().equals(silentLeaderId);
    return firstIsSilent ? leaderPlacement().edge(key, 1) : first;
  }

  // ---- messages and requests

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof AppendRequest request) {
      replicas.handleAppendRequest(request, fromId, fromAddress);
    } else if (message instanceof VoteRequest request) {
      replicas.handleVoteRequest(request, fromId, fromAddress);
    } else if (message instanceof LogFetchRequest request) {
      replicas.handleLogFetchRequest(request, fromId, fromAddress);
    } else if (!catchUp.handle(message, fromId, fromAddress)) {
      super.handle(message, fromId, fromAddress);
    }
  }

  @Override
  protected void handleRequest(PeerRequest request) {
    switch (request.operation()) {
      case FETCH_SNAPSHOT_PAGE -> catchUp.servePage(request);
      case LOOK_UP_RECORD -> lookUpRecord(request);
      case CLAIM_ONCE_ID -> claimOnceId(request);
      case RELEASE_ONCE_ID -> releaseOnceId(request);
      default ->
          respond(request, Response.of(new ApiError.UnknownRequest(request.operationName())));
    }
  }

  /** Rejects a request that knows an older configuration of the shard than this node. */
  private boolean rejectsStaleConfiguration(PeerRequest request) {
    long known = replicas.configurationVersion(MetadataKeys.shardOf(request.key()));
    boolean stale = Json.tree(request.body()).path("setNumber").asLong() < known;
    if (stale) {
      respond(request, Response.of(new ApiError.StaleReplicaConfiguration(known)));
    }
    return stale;
  }

  private void lookUpRecord(PeerRequest request) {
    if (rejectsStaleConfiguration(request)) {
      return;
    }
    LogReplica replica = replicas.replicas().get(request.key());
    boolean present =
        replica != null && replica.entries.stream().anyMatch(entry -> !entry.isEpochStart());
    NodeAddress leader = present ? replicas.knownLeader(replica) : NodeAddress.NONE;
    respond(
        request,
        Response.of(
            200,
            JSON.createObjectNode()
                .put("present", present)
                .put("holder", leader.id())
                .put("holderAddress", leader.address())));
  }

  private void claimOnceId(PeerRequest request) {
    if (!environment.acceptsWrites() || rejectsStaleConfiguration(request)) {
      return;
    }
    String id = request.key();
    String token = Json.tree(request.body()).path("token").asText();
    if (onceClaims.isHeldByOther(id, token)) {
      respond(request, Response.of(new ApiError.AlreadyClaimed(id)));
      return;
    }
    environment.write(onceClaims.claim(id, token), () -> respondClaimed(request, true));
  }

  private void releaseOnceId(PeerRequest request) {
    String token = Json.tree(request.body()).path("token").asText();
    environment.write(
        onceClaims.release(request.key(), token), () -> respondClaimed(request, false));
  }

  private void respondClaimed(PeerRequest request, boolean claimed) {
    respond(request, Response.of(200, JSON.createObjectNode().put("claimed", claimed)));
  }

  // ---- changes of a shard's replicas

  @Override
  protected void metadataChanged(String key) {
    if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      reconfiguration.follow(key);
    }
  }

  private void reportCaughtUp(String shard, Object body, long timeoutMs) {
    requestControlPlane(Operation.REPORT_CAUGHT_UP, shard, body, timeoutMs, response -> {});
  }

  // ---- readiness, status and shutdown

  @Override
  public String notReadyReason() {
    if (stopping) {
      return "stopping";
    }
    return hasLease() ? "" : "no grant from the core";
  }

  @Override
  public ObjectNode status() {
    ObjectNode status =
        super.status()
            .put("keys", replicas.replicas().size())
            .put("unfinished", batches.unfinished().size())
            .put("onceClaims", onceClaims.size())
            .put("removed", batches.removed());
    catchUp.addTo(status);
    return status;
  }

  @Override
  public void stop(Runnable whenDone) {
    stopping = true;
    releaseLease(
        () -> {
          terminate();
          whenDone.run();
        });
  }
}
