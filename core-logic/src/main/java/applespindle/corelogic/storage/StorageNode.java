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
  private final ReplicaCatchUp copier;

  /** Batches accepted by a committed entry and not yet committed as finished, ended or refused. */
  private final Set<String> unfinished = new TreeSet<>();

  /** Batches that are over, with since when this process has known so. */
  private final Map<String, Long> overSince = new TreeMap<>();

  private long removed;

  /**
   * Once-id to the one token that claimed it here. Written once; taken back only by the token
   * itself.
   */
  private final Map<String, String> claims = new LinkedHashMap<>();

  public StorageNode(Environment surroundings, NodeIdentity place) {
    this(surroundings, place, NodeSettings.DEFAULT);
  }

  public StorageNode(Environment surroundings, NodeIdentity place, NodeSettings bounds) {
    super(surroundings, place, bounds);
    replicas = new LogReplicas(surroundings, this::send, this::committed, MetadataKeys::shardOf);
    copier = new ReplicaCatchUp(surroundings, this, replicas, claims, MetadataKeys::shardOf);
  }

  public LogReplicas replicas() {
    return replicas;
  }

  @Override
  public void recover(LogRecord record) {
    if (record.kind() == Kind.ONCE) {
      remember(record);
    } else {
      replicas.recover(record);
    }
  }

  private void remember(LogRecord record) {
    if (record.epoch().node().isEmpty()) {
      claims.remove(record.key());
    } else {
      claims.put(record.key(), record.epoch().node());
    }
  }

  @Override
  public List<LogRecord> checkpoint() {
    List<LogRecord> records = new ArrayList<>(replicas.checkpoint());
    claims.forEach((id, token) -> records.add(ReplicaCatchUp.onceRecord(id, token)));
    return records;
  }

  @Override
  public void start() {
    super.start();
    replicas.recovered();
    every(BatchConstants.LEADERLESS_SCAN_INTERVAL_MS, this::reportOrphans);
    every(BatchConstants.RETENTION_SCAN_INTERVAL_MS, this::removeOld);
  }

  /**
   * The first replica of a batch has it removed by the batch's leader once it was kept long enough.
   */
  private void removeOld() {
    if (bundle == null) {
      return;
    }
    long now = surroundings.now();
    overSince.entrySet().stream()
        .filter(
            entry ->
                now - entry.getValue()
                    > (BatchKeys.isOpaque(entry.getKey())
                        ? bounds.keepBatchesMs()
                        : bundle.limits().batch().keptMs()))
        .map(Map.Entry::getKey)
        .filter(
            key ->
                place
                    .id()
                    .equals(
                        RendezvousHashing.first(
                            key, setsOf(key).present().stream().map(NodeAddress::id).toList())))
        .limit(BatchConstants.MAX_REMOVALS_PER_SCAN)
        .toList()
        .forEach(
            key ->
                ask(
                    attempt -> leaderPlacement().edge(key, attempt),
                    "remove",
                    key,
                    JSON.createObjectNode(),
                    BatchConstants.RETENTION_SCAN_INTERVAL_MS,
                    response -> {}));
  }

  private void committed(String key, LogEntry entry) {
    if (entry.isTakeover()) {
      return;
    }
    String kind = BatchEvent.kindOf(entry.event());
    if (kind.equals(BatchEvent.ACCEPTED)) {
      unfinished.add(key);
      overSince.remove(key);
    } else if (kind.equals(BatchEvent.FINISHED)
        || kind.equals(BatchEvent.ENDED)
        || kind.equals(BatchEvent.REFUSED)) {
      unfinished.remove(key);
      overSince.put(key, surroundings.now());
    } else if (kind.equals(BatchEvent.REMOVED)) {
      overSince.remove(key);
      removed++;
    }
    journal.add("committed", key, "sequence " + entry.sequence() + " " + kind);
  }

  /**
   * Unfinished batches whose owner has gone silent are told to the edge that comes first for them
   * now.
   */
  private void reportOrphans() {
    Map<NodeAddress, List<String>> orphans = new HashMap<>();
    for (String key : unfinished) {
      if (replicas.ownerSilent(replicas.copy(key))) {
        NodeAddress chosenEdge = leaderPlacement().edge(key, 0);
        if (chosenEdge != null && chosenEdge.id().equals(replicas.copy(key).owner)) {
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
      replicas.append(append, fromId, fromAddress);
    } else if (message instanceof VoteRequest promise) {
      replicas.promise(promise, fromId, fromAddress);
    } else if (message instanceof LogFetchRequest logAsk) {
      replicas.tellLog(logAsk, fromId, fromAddress);
    } else {
      super.handle(message, fromId, fromAddress);
    }
  }

  @Override
  protected void handleAsk(PeerRequest ask) {
    switch (ask.duty()) {
      case "copy" -> copier.copyOut(ask);
      case "peek" -> peek(ask);
      case "claim" -> claim(ask);
      case "unclaim" -> unclaim(ask);
      default -> respond(ask, Response.of(new ApiError.UnknownRequest(ask.duty())));
    }
  }

  /** True, and told so, if the asker speaks of an older replica set than the one known here. */
  private boolean refusesOldSet(PeerRequest ask) {
    long known = replicas.setNumber(MetadataKeys.shardOf(ask.key()));
    boolean old = Json.tree(ask.body()).path("setNumber").asLong() < known;
    if (old) {
      respond(ask, Response.of(new ApiError.StaleReplicaConfiguration(known)));
    }
    return old;
  }

  private void peek(PeerRequest ask) {
    if (refusesOldSet(ask)) {
      return;
    }
    LogReplica copy = replicas.copies().get(ask.key());
    boolean present = copy != null && copy.entries.stream().anyMatch(entry -> !entry.isTakeover());
    NodeAddress holder = present ? replicas.holder(copy) : NodeAddress.NONE;
    respond(
        ask,
        Response.of(
            200,
            JSON.createObjectNode()
                .put("present", present)
                .put("holder", holder.id())
                .put("holderAddress", holder.address())));
  }

  private void claim(PeerRequest ask) {
    if (!surroundings.takesWrites() || refusesOldSet(ask)) {
      return;
    }
    String token = Json.tree(ask.body()).path("token").asText();
    String holder = claims.putIfAbsent(ask.key(), token);
    if (holder != null && !holder.equals(token)) {
      respond(ask, Response.of(new ApiError.AlreadyClaimed(ask.key())));
      return;
    }
    List<LogRecord> records =
        holder == null ? List.of(ReplicaCatchUp.onceRecord(ask.key(), token)) : List.of();
    surroundings.write(
        records,
        () -> respond(ask, Response.of(200, JSON.createObjectNode().put("claimed", true))));
  }

  /**
   * Only the token that claimed may take the claim back, and only before anything of it was handed
   * over.
   */
  private void unclaim(PeerRequest ask) {
    JsonNode body = Json.tree(ask.body());
    boolean holds = claims.remove(ask.key(), body.path("token").asText());
    List<LogRecord> records = holds ? List.of(ReplicaCatchUp.onceRecord(ask.key(), "")) : List.of();
    surroundings.write(
        records,
        () -> respond(ask, Response.of(200, JSON.createObjectNode().put("claimed", false))));
  }

  // ---- changes of a shard's replicas

  @Override
  protected void changed(String key) {
    if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      follow(key);
    }
  }

  /**
   * Fences older sets first; then a newcomer copies, and whoever stays only says that it is fenced.
   */
  private void follow(String name) {
    ShardAssignment shard = shards().get(name);
    replicas.learnSet(
        name,
        shard.number(),
        () -> {
          if (shard.number() != shards().get(name).number()
              || shard.next().isEmpty()
              || !holds(shard.next())) {
            return;
          }
          if (holds(shard.replicas())) {
            sayCopied(name, shard.number());
          } else {
            copyIn(name, shard);
          }
        });
  }

  private boolean holds(List<ShardReplica> set) {
    return set.stream().anyMatch(replica -> replica.id().equals(place.id()));
  }

  private boolean stillPending(String name, long number) {
    ShardAssignment shard = shards().get(name);
    return shard.number() == number && !shard.next().isEmpty() && !stopped();
  }

  /** Said again until the shard's number moves on: the core may be changing hands just now. */
  private void sayCopied(String name, long number) {
    if (!stillPending(name, number)) {
      return;
    }
    askCore(
        "copied",
        name,
        JSON.createObjectNode().put("id", place.id()).put("number", number),
        PeerRequestConstants.ATTEMPT_TIMEOUT_MS,
        response -> {});
    surroundings.after(
        ReplicationConstants.CATCH_UP_REPORT_INTERVAL_MS, () -> sayCopied(name, number));
  }

  private void copyIn(String name, ShardAssignment shard) {
    journal.add("copying", name, "set " + shard.number());
    copier.copyIn(
        name,
        shard.number(),
        ReplicaConfiguration.replicas(shard.replicas()),
        () -> stillPending(name, shard.number()),
        () -> {
          journal.add("copied", name, "set " + shard.number());
          sayCopied(name, shard.number());
        });
  }

  @Override
  public String notReadyBecause() {
    return stopping ? "stopping" : !joined() ? "no grant from the core" : "";
  }

  @Override
  public ObjectNode status() {
    return super.status()
        .put("keys", replicas.copies().size())
        .put("unfinished", unfinished.size())
        .put("onceClaims", claims.size())
        .put("removed", removed);
  }

  @Override
  public void stop(Runnable whenDone) {
    stopping = true;
    leaveCore(
        () -> {
          end();
          whenDone.run();
        });
  }
}
