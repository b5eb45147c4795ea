package applespindle.corelogic.storage;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchEvent;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.dataplane.DataPlaneNode;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.ShardReplica;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.LeaderlessBatches;
import applespindle.corelogic.protocol.Message.LogFetchRequest;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.replication.LogReplica;
import applespindle.corelogic.replication.LogReplicas;
import applespindle.corelogic.replication.ReplicaCatchUp;
import applespindle.corelogic.replication.ReplicaConfiguration;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The data plane's storage role: replicas of batch records, and once-claims. */
public final class StorageNode extends DataPlaneNode {
  private final LogReplicas replicas;
  private final ReplicaCatchUp catchUp;

  /** Batches accepted by a committed entry and not yet committed as finished, ended or refused. */
  private final Set<String> unfinished = new TreeSet<>();

  /** Batches that are over, with since when this process has known so. */
  private final Map<String, Long> endedSince = new TreeMap<>();

  private long removed;

  /**
   * Once-id to the one token that claimed it here. Written once; taken back only by the token
   * itself.
   */
  private final Map<String, String> onceClaims = new LinkedHashMap<>();

  public StorageNode(Environment environment, NodeIdentity identity) {
    this(environment, identity, NodeSettings.DEFAULT);
  }

  public StorageNode(Environment environment, NodeIdentity identity, NodeSettings settings) {
    super(environment, identity, settings);
    replicas = new LogReplicas(environment, this::send, this::committed, MetadataKeys::shardOf);
    catchUp = new ReplicaCatchUp(environment, this, replicas, onceClaims, MetadataKeys::shardOf);
  }

  public LogReplicas replicas() {
    return replicas;
  }

  @Override
  public void recover(LogRecord record) {
    if (record.kind() == Kind.ONCE_CLAIM) {
      remember(record);
    } else {
      replicas.recover(record);
    }
  }

  private void remember(LogRecord record) {
    if (record.epoch().node().isEmpty()) {
      onceClaims.remove(record.key());
    } else {
      onceClaims.put(record.key(), record.epoch().node());
    }
  }

  @Override
  public List<LogRecord> checkpoint() {
    List<LogRecord> records = new ArrayList<>(replicas.checkpoint());
    onceClaims.forEach((id, token) -> records.add(ReplicaCatchUp.onceClaimRecord(id, token)));
    return records;
  }

  @Override
  public void start() {
    super.start();
    replicas.finishRecovery();
    repeatEvery(BatchConstants.LEADERLESS_SCAN_INTERVAL_MS, this::reportLeaderlessBatches);
    repeatEvery(BatchConstants.RETENTION_SCAN_INTERVAL_MS, this::removeExpiredBatches);
  }

  /**
   * The first replica of a batch has it removed by the batch's leader once it was kept long enough.
   */
  private void removeExpiredBatches() {
    if (configuration == null) {
      return;
    }
    long now = environment.nowMs();
    endedSince.entrySet().stream()
        .filter(
            entry ->
                now - entry.getValue()
                    > (BatchKeys.isProxied(entry.getKey())
                        ? settings.batchRetentionMs()
                        : configuration.limits().batch().effectiveRetentionMs()))
        .map(Map.Entry::getKey)
        .filter(
            key ->
                identity
                    .id()
                    .equals(
                        RendezvousHashing.first(
                            key,
                            replicaConfigurationOf(key).current().stream()
                                .map(NodeAddress::id)
                                .toList())))
        .limit(BatchConstants.MAX_REMOVALS_PER_SCAN)
        .toList()
        .forEach(
            key ->
                sendRequest(
                    attempt -> leaderPlacement().edge(key, attempt),
                    "remove",
                    key,
                    JSON.createObjectNode(),
                    BatchConstants.RETENTION_SCAN_INTERVAL_MS,
                    response -> {}));
  }

  private void committed(String key, LogEntry entry) {
    if (entry.isEpochStart()) {
      return;
    }
    String kind = BatchEvent.kindOf(entry.event());
    if (kind.equals(BatchEvent.ACCEPTED)) {
      unfinished.add(key);
      endedSince.remove(key);
    } else if (kind.equals(BatchEvent.FINISHED)
        || kind.equals(BatchEvent.ENDED)
        || kind.equals(BatchEvent.REFUSED)) {
      unfinished.remove(key);
      endedSince.put(key, environment.nowMs());
    } else if (kind.equals(BatchEvent.REMOVED)) {
      endedSince.remove(key);
      removed++;
    }
    traceLog.add("committed", key, "sequence " + entry.sequence() + " " + kind);
  }

  /**
   * Unfinished batches whose owner has gone silent are told to the edge that comes first for them
   * now.
   */
  private void reportLeaderlessBatches() {
    Map<NodeAddress, List<String>> orphans = new HashMap<>();
    for (String key : unfinished) {
      if (replicas.isLeaderTimedOut(replicas.replica(key))) {
        NodeAddress chosenEdge = leaderPlacement().edge(key, 0);
        if (chosenEdge != null && chosenEdge.id().equals(replicas.replica(key).leaderId)) {
          chosenEdge = leaderPlacement().edge(key, 1);
        }
        if (chosenEdge != null) {
          orphans.computeIfAbsent(chosenEdge, unseen -> new ArrayList<>()).add(key);
        }
      }
    }
    orphans.forEach((edge, keys) -> send(edge.address(), edge.id(), new LeaderlessBatches(keys)));
  }

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof AppendRequest append) {
      replicas.handleAppendRequest(append, fromId, fromAddress);
    } else if (message instanceof VoteRequest promise) {
      replicas.handleVoteRequest(promise, fromId, fromAddress);
    } else if (message instanceof LogFetchRequest logAsk) {
      replicas.handleLogFetchRequest(logAsk, fromId, fromAddress);
    } else {
      super.handle(message, fromId, fromAddress);
    }
  }

  @Override
  protected void handleRequest(PeerRequest request) {
    switch (request.operation()) {
      case "copy" -> catchUp.servePage(request);
      case "peek" -> lookUpRecord(request);
      case "claim" -> claim(request);
      case "unclaim" -> unclaim(request);
      default -> respond(request, Response.of(new ApiError.UnknownRequest(request.operation())));
    }
  }

  /** True, and told so, if the asker speaks of an older replica set than the one known here. */
  private boolean rejectsStaleConfiguration(PeerRequest request) {
    long known = replicas.configurationVersion(MetadataKeys.shardOf(request.key()));
    boolean old = Json.tree(request.body()).path("setNumber").asLong() < known;
    if (old) {
      respond(request, Response.of(new ApiError.StaleReplicaConfiguration(known)));
    }
    return old;
  }

  private void lookUpRecord(PeerRequest request) {
    if (rejectsStaleConfiguration(request)) {
      return;
    }
    LogReplica replica = replicas.replicas().get(request.key());
    boolean present =
        replica != null && replica.entries.stream().anyMatch(entry -> !entry.isEpochStart());
    NodeAddress holder = present ? replicas.knownLeader(replica) : NodeAddress.NONE;
    respond(
        request,
        Response.of(
            200,
            JSON.createObjectNode()
                .put("present", present)
                .put("holder", holder.id())
                .put("holderAddress", holder.address())));
  }

  private void claim(PeerRequest request) {
    if (!environment.acceptsWrites() || rejectsStaleConfiguration(request)) {
      return;
    }
    String token = Json.tree(request.body()).path("token").asText();
    String holder = onceClaims.putIfAbsent(request.key(), token);
    if (holder != null && !holder.equals(token)) {
      respond(request, Response.of(new ApiError.AlreadyClaimed(request.key())));
      return;
    }
    List<LogRecord> records =
        holder == null ? List.of(ReplicaCatchUp.onceClaimRecord(request.key(), token)) : List.of();
    environment.write(
        records,
        () -> respond(request, Response.of(200, JSON.createObjectNode().put("claimed", true))));
  }

  /**
   * Only the token that claimed may take the claim back, and only before anything of it was handed
   * over.
   */
  private void unclaim(PeerRequest request) {
    JsonNode body = Json.tree(request.body());
    boolean holds = onceClaims.remove(request.key(), body.path("token").asText());
    List<LogRecord> records =
        holds ? List.of(ReplicaCatchUp.onceClaimRecord(request.key(), "")) : List.of();
    environment.write(
        records,
        () -> respond(request, Response.of(200, JSON.createObjectNode().put("claimed", false))));
  }

  // ---- changes of a shard's replicas

  @Override
  protected void metadataChanged(String key) {
    if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      follow(key);
    }
  }

  /**
   * Fences older sets first; then a newcomer copies, and whoever stays only says that it is fenced.
   */
  private void follow(String name) {
    ShardAssignment shard = shards().get(name);
    replicas.adoptConfiguration(
        name,
        shard.number(),
        () -> {
          if (shard.number() != shards().get(name).number()
              || shard.next().isEmpty()
              || !holds(shard.next())) {
            return;
          }
          if (holds(shard.replicas())) {
            reportCaughtUp(name, shard.number());
          } else {
            catchUp(name, shard);
          }
        });
  }

  private boolean holds(List<ShardReplica> set) {
    return set.stream().anyMatch(replica -> replica.id().equals(identity.id()));
  }

  private boolean stillPending(String name, long number) {
    ShardAssignment shard = shards().get(name);
    return shard.number() == number && !shard.next().isEmpty() && !isTerminated();
  }

  /** Said again until the shard's number moves on: the core may be changing hands just now. */
  private void reportCaughtUp(String name, long number) {
    if (!stillPending(name, number)) {
      return;
    }
    requestControlPlane(
        "copied",
        name,
        JSON.createObjectNode().put("id", identity.id()).put("number", number),
        PeerRequestConstants.ATTEMPT_TIMEOUT_MS,
        response -> {});
    environment.schedule(
        ReplicationConstants.CATCH_UP_REPORT_INTERVAL_MS, () -> reportCaughtUp(name, number));
  }

  private void catchUp(String name, ShardAssignment shard) {
    traceLog.add("copying", name, "set " + shard.number());
    catchUp.catchUp(
        name,
        shard.number(),
        ReplicaConfiguration.replicas(shard.replicas()),
        () -> stillPending(name, shard.number()),
        () -> {
          traceLog.add("copied", name, "set " + shard.number());
          reportCaughtUp(name, shard.number());
        });
  }

  @Override
  public String notReadyBecause() {
    return stopping ? "stopping" : !hasLease() ? "no grant from the core" : "";
  }

  @Override
  public ObjectNode status() {
    return super.status()
        .put("keys", replicas.replicas().size())
        .put("unfinished", unfinished.size())
        .put("onceClaims", onceClaims.size())
        .put("removed", removed);
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
