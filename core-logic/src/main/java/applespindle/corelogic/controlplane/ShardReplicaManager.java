package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.ShardConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.ShardReplica;
import applespindle.corelogic.metadata.StorageNodeState;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.replication.FaultToleranceMonitor;
import applespindle.corelogic.replication.ReplicaConfiguration;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which storage nodes hold which shard: the owner of a shard's key changes its set, one member at a
 * time.
 */
final class ShardReplicaManager {
  private static final String PART = "core";

  private final Environment environment;
  private final ControlPlaneNode core;
  private final MetadataTable table;
  private final int replicas;

  /**
   * Storage nodes that shards name and that are no members now, with since when; only known to this
   * process.
   */
  private final Map<String, Long> silentSince = new HashMap<>();

  private boolean lookPlanned;

  ShardReplicaManager(Environment environment, ControlPlaneNode core, NodeSettings settings) {
    this.environment = environment;
    this.core = core;
    this.table = core.table;
    this.replicas = settings.replicas();
  }

  void tick() {
    make();
    change();
    if (pending() == 0 && environment.random().nextInt(ShardConstants.BALANCE_CHECK_ONE_IN) == 0) {
      balance();
    }
  }

  /**
   * A step is taken as soon as the one before is done: every shard of a lost disk has to be moved
   * within seconds.
   */
  void checkSoon() {
    if (!lookPlanned) {
      lookPlanned = true;
      environment.schedule(
          ShardConstants.MIN_CHECK_INTERVAL_MS,
          () -> {
            lookPlanned = false;
            if (!core.isTerminated() && !core.stopping) {
              change();
            }
          });
    }
  }

  /** Gives every shard its first replica set once enough storage nodes are there. */
  private void make() {
    List<NodeRegistration> storage = table.live("storage");
    if (storage.size() < replicas || table.shards().size() == ShardConstants.SHARD_COUNT) {
      return;
    }
    List<String> live = core.quorum.liveMembers();
    for (int shard = 0; shard < ShardConstants.SHARD_COUNT; shard++) {
      String key = MetadataKeys.SHARD_PREFIX + shard;
      if (table.has(key) || !core.identity().id().equals(RendezvousHashing.first(key, live))) {
        continue;
      }
      LedKey ledKey = core.keys.get(key);
      if (ledKey == null) {
        core.keys.elect(key);
      } else if (ledKey.value.isNull()) {
        core.keys.put(
            ledKey,
            new ShardAssignment(1, ShardPlacement.placeShard(key, storage, replicas), List.of()),
            error -> {});
      }
    }
  }

  /** Live storage nodes by id. */
  private Map<String, NodeRegistration> live() {
    Map<String, NodeRegistration> live = new TreeMap<>();
    table.live("storage").forEach(member -> live.put(member.id(), member));
    return live;
  }

  /** Live storage nodes that take shards. */
  private List<NodeRegistration> spares() {
    return table.live("storage").stream().filter(member -> table.isActive(member.id())).toList();
  }

  /** How many shards name each storage node among their present replicas. */
  private Map<String, Long> held() {
    Map<String, Long> holding = new HashMap<>();
    table
        .shards()
        .values()
        .forEach(
            shard ->
                shard.replicas().forEach(replica -> holding.merge(replica.id(), 1L, Long::sum)));
    return holding;
  }

  private List<LedKey> ownedShards() {
    return core.keys.all().values().stream()
        .filter(
            ledKey ->
                ledKey.leader.key.startsWith(MetadataKeys.SHARD_PREFIX) && !ledKey.value.isNull())
        .toList();
  }

  private long pending() {
    return ownedShards().stream()
        .filter(ledKey -> !ledKey.as(ShardAssignment.class).nextReplicas().isEmpty())
        .count();
  }

  private void change() {
    long now = environment.nowMs();
    Map<String, NodeRegistration> live = live();
    silentSince.keySet().removeAll(live.keySet());
    Map<String, Long> holding = held();
    holding.keySet().stream()
        .filter(id -> !live.containsKey(id))
        .forEach(id -> silentSince.putIfAbsent(id, now));
    silentSince.keySet().retainAll(holding.keySet());
    List<NodeRegistration> spares = spares();
    long pending = pending();
    for (LedKey ledKey : ownedShards()) {
      ShardAssignment shard = ledKey.as(ShardAssignment.class);
      if (!shard.nextReplicas().isEmpty()) {
        settle(ledKey, shard, live);
      } else if (pending < ShardConstants.MAX_CONCURRENT_CHANGES) {
        List<ShardReplica> next = repaired(ledKey.leader.key, shard, live, spares, holding, now);
        if (next != null) {
          pending++;
          changeTo(ledKey, shard, next);
        }
      }
    }
  }

  private void changeTo(LedKey ledKey, ShardAssignment shard, List<ShardReplica> next) {
    ledKey.caughtUpVersions.clear();
    core.traceLog().add("changing", ledKey.leader.key, "set " + (shard.version() + 1));
    core.keys.put(
        ledKey, new ShardAssignment(shard.version() + 1, shard.replicas(), next), error -> {});
  }

  /**
   * Moves one replica to a node that holds at least two fewer, and only while nothing else is to be
   * changed anywhere: repairs come first, and owners that balance side by side would only pass
   * shards to and fro.
   */
  private void balance() {
    Map<String, NodeRegistration> live = live();
    boolean settled = table.shards().values().stream().allMatch(shard -> whole(shard, live));
    if (!settled) {
      return;
    }
    List<NodeRegistration> spares = spares();
    Map<String, Long> holding = held();
    for (LedKey ledKey : ownedShards()) {
      ShardAssignment shard = ledKey.as(ShardAssignment.class);
      List<NodeRegistration> candidates =
          ShardPlacement.candidates(ledKey.leader.key, shard, List.of(), spares, holding).stream()
              .sorted(Comparator.comparingLong(member -> holding.getOrDefault(member.id(), 0L)))
              .limit(1)
              .toList();
      for (NodeRegistration candidate : candidates) {
        Optional<ShardReplica> fullest =
            shard.replicas().stream()
                .filter(
                    each ->
                        ShardPlacement.zonesWithout(shard, each, candidate)
                                >= ShardPlacement.zonesWithout(shard, null, null)
                            && holding.getOrDefault(candidate.id(), 0L) + 2
                                <= holding.getOrDefault(each.id(), 0L))
                .max(Comparator.comparingLong(each -> holding.getOrDefault(each.id(), 0L)));
        if (fullest.isPresent()) {
          changeTo(ledKey, shard, ShardPlacement.replaced(shard, fullest.get(), candidate));
          return;
        }
      }
    }
  }

  /** All replicas are there, live and to stay, and no change is under way. */
  private boolean whole(ShardAssignment shard, Map<String, NodeRegistration> live) {
    return shard.nextReplicas().isEmpty()
        && shard.replicas().size() == replicas
        && shard.replicas().stream()
            .allMatch(each -> live.containsKey(each.id()) && table.isActive(each.id()));
  }

  /** Ends a change once the newcomer has copied, or calls it off if the newcomer has died. */
  private void settle(LedKey ledKey, ShardAssignment shard, Map<String, NodeRegistration> live) {
    List<ShardReplica> newcomers =
        shard.nextReplicas().stream().filter(each -> !shard.replicas().contains(each)).toList();
    List<ShardReplica> needed = newcomers.isEmpty() ? shard.nextReplicas() : newcomers;
    if (needed.stream()
        .allMatch(each -> ledKey.caughtUpVersions.getOrDefault(each.id(), 0L) == shard.version())) {
      environment.log(PART, "Replicas changed: " + ledKey.leader.key + ".");
      core.keys.put(
          ledKey,
          new ShardAssignment(shard.version() + 1, shard.nextReplicas(), List.of()),
          error -> checkSoon());
    } else if (newcomers.stream().anyMatch(each -> !live.containsKey(each.id()))) {
      core.keys.put(
          ledKey,
          new ShardAssignment(shard.version() + 1, shard.replicas(), List.of()),
          error -> checkSoon());
    }
  }

  /**
   * The set that should be next, differing in one member, or null if nothing is dead, leaving or
   * missing, or if no spare is there: a set never shrinks, as it would bear fewer losses then.
   */
  private List<ShardReplica> repaired(
      String key,
      ShardAssignment shard,
      Map<String, NodeRegistration> live,
      List<NodeRegistration> spares,
      Map<String, Long> holding,
      long now) {
    for (ShardReplica each : shard.replicas()) {
      Optional<NodeRegistration> inItsPlace =
          table
              .liveAt(each.address())
              .filter(
                  member ->
                      !member.id().equals(each.id())
                          && spares.contains(member)
                          && shard.replicas().stream()
                              .noneMatch(other -> other.id().equals(member.id())));
      if (!live.containsKey(each.id()) && inItsPlace.isPresent()) {
        return ShardPlacement.replaced(shard, each, inItsPlace.get());
      }
    }
    List<ShardReplica> leaving =
        shard.replicas().stream()
            .filter(
                each ->
                    !table.isActive(each.id())
                        || !live.containsKey(each.id())
                            && now - silentSince.getOrDefault(each.id(), now)
                                >= ShardConstants.REPLACEMENT_DELAY_MS)
            .sorted(Comparator.comparing((ShardReplica each) -> live.containsKey(each.id())))
            .toList();
    List<NodeRegistration> candidates =
        ShardPlacement.candidates(key, shard, leaving, spares, holding);
    boolean lacksOne = leaving.isEmpty() && shard.replicas().size() < replicas;
    if (candidates.isEmpty() || leaving.isEmpty() && !lacksOne) {
      return null;
    }
    return ShardPlacement.replaced(shard, lacksOne ? null : leaving.get(0), candidates.get(0));
  }

  // ---- what operators ask

  /**
   * Marks a storage node as emptying or retired. The same mark again gets the same answer. Emptying
   * is refused unless as many others remain as a shard has replicas; if fewer do later, it waits.
   */
  void mark(PeerRequest request, LedKey ledKey, StorageNodeState sent) {
    StorageNodeState known = ledKey.as(StorageNodeState.class);
    int shards =
        (int) table.shards().values().stream().filter(shard -> names(shard, sent.id())).count();
    ApiError refusal = null;
    if (known == null && !table.has(MetadataKeys.MEMBER_PREFIX + sent.id())) {
      refusal = new ApiError.NoSuchStorageNode(sent.id());
    } else if (sent.state().equals(StorageNodeState.EMPTYING)) {
      int others = othersThan(sent.id());
      refusal =
          known != null && known.state().equals(StorageNodeState.RETIRED)
              ? new ApiError.StorageNodeRetired(sent.id())
              : known == null && others < replicas ? new ApiError.TooFewReplicas(others) : null;
    } else if (shards > 0 || known == null) {
      refusal = new ApiError.StorageNodeNotEmpty(shards);
    }
    Response answer =
        refusal != null
            ? Response.of(refusal)
            : Response.of(
                200, ((ObjectNode) JSON.<JsonNode>valueToTree(sent)).put("shards", shards));
    if (refusal != null || sent.equals(known)) {
      ledKey.leader.confirmLeadership(
          error -> core.respond(request, error == null ? answer : Response.of(error)));
    } else {
      core.keys.put(
          ledKey,
          sent,
          error -> core.respond(request, error == null ? answer : Response.of(error)));
    }
  }

  /** Active nodes besides this one. One that is silent for a moment counts: it is waited for. */
  private int othersThan(String id) {
    Set<String> others = new HashSet<>();
    spares().forEach(member -> others.add(member.id()));
    held().keySet().stream()
        .filter(each -> table.isActive(each) && !table.isSuperseded(each))
        .forEach(others::add);
    others.remove(id);
    return others.size();
  }

  /** Which node a name means; only a core node with fresh news can say that there is none. */
  void respondWithId(PeerRequest request, boolean fresh) {
    Optional<String> id = idOf(request.key());
    core.respond(
        request,
        id.isPresent()
            ? Response.of(200, JSON.createObjectNode().put("id", id.get()))
            : Response.of(
                fresh
                    ? new ApiError.NoSuchStorageNode(request.key())
                    : new ApiError.NotReady("no majority of the core heard")));
  }

  /**
   * By id or name; of several lives under one name the one that is there now, else one that shards
   * still name.
   */
  Optional<String> idOf(String idOrName) {
    Map<String, Long> holding = held();
    return table.members().stream()
        .filter(
            member ->
                member.role().equals("storage")
                    && (member.id().equals(idOrName) || member.name().equals(idOrName)))
        .max(
            Comparator.comparing((NodeRegistration member) -> member.id().equals(idOrName))
                .thenComparing(member -> member.live() && !table.isSuperseded(member.id()))
                .thenComparing(member -> !table.isSuperseded(member.id()))
                .thenComparing(member -> holding.getOrDefault(member.id(), 0L))
                .thenComparing(NodeRegistration::id))
        .map(NodeRegistration::id);
  }

  /**
   * Whether the node may be taken away, disk and all. Every shard is asked of its owner, as news of
   * a set that names the node may still be on its way here.
   */
  void respondWhetherDrained(PeerRequest request, LedKey ledKey) {
    String id = ledKey.leader.key.substring(MetadataKeys.STORAGE_PREFIX.length());
    ledKey.leader.confirmLeadership(
        error -> {
          StorageNodeState known = ledKey.as(StorageNodeState.class);
          if (error != null) {
            core.respond(request, Response.of(error));
          } else if (known == null) {
            core.respond(request, respondWhetherDrained(false));
          } else {
            readShard(request, id, 0);
          }
        });
  }

  private static Response respondWhetherDrained(boolean complete) {
    return Response.of(200, JSON.createObjectNode().put("complete", complete));
  }

  private void readShard(PeerRequest request, String id, int number) {
    if (number == ShardConstants.SHARD_COUNT) {
      core.respond(request, respondWhetherDrained(true));
      return;
    }
    core.command(
        "read",
        MetadataKeys.SHARD_PREFIX + number,
        JSON.createObjectNode(),
        response -> {
          ShardAssignment shard =
              response.isSuccess() && !response.body().isNull()
                  ? JSON.convertValue(response.body(), ShardAssignment.class)
                  : null;
          if (!response.isSuccess()) {
            core.respond(request, response);
          } else if (shard == null || names(shard, id) || !whole(shard, live())) {
            core.respond(request, respondWhetherDrained(false));
          } else {
            readShard(request, id, number + 1);
          }
        });
  }

  /**
   * What emptying a node would move where, by the same choice as the real one; nothing is changed.
   */
  ObjectNode planDrain(String id) {
    Map<String, Long> holding = held();
    List<NodeRegistration> spares =
        spares().stream().filter(member -> !member.id().equals(id)).toList();
    ObjectNode plan =
        JSON.createObjectNode().put("node", id).put("refused", othersThan(id) < replicas);
    ArrayNode moves = plan.putArray("moves");
    table
        .shards()
        .forEach(
            (key, shard) ->
                shard.replicas().stream()
                    .filter(each -> each.id().equals(id))
                    .findFirst()
                    .ifPresent(
                        leaver -> {
                          List<NodeRegistration> candidates =
                              ShardPlacement.candidates(
                                  key, shard, List.of(leaver), spares, holding);
                          String to = candidates.isEmpty() ? "" : candidates.get(0).name();
                          candidates.stream()
                              .limit(1)
                              .forEach(chosen -> holding.merge(chosen.id(), 1L, Long::sum));
                          moves
                              .addObject()
                              .put("shard", key)
                              .put("to", to)
                              .put("waits", candidates.isEmpty());
                        }));
    return plan;
  }

  private static boolean names(ShardAssignment shard, String id) {
    return shard.replicas().stream().anyMatch(each -> each.id().equals(id))
        || shard.nextReplicas().stream().anyMatch(each -> each.id().equals(id));
  }

  /** How many more storage nodes the worst shard may lose; all of them while there is no shard. */
  int remainingTolerableFailures() {
    Set<String> live = live().keySet();
    return table.shards().values().stream()
        .mapToInt(
            shard ->
                FaultToleranceMonitor.remainingTolerableFailures(
                    ReplicaConfiguration.of(shard), live::contains))
        .min()
        .orElse(replicas / 2);
  }

  long reduced() {
    return table.shards().values().stream()
        .filter(shard -> shard.replicas().size() < replicas)
        .count();
  }

  ArrayNode nodes() {
    ArrayNode rows = JSON.createArrayNode();
    table.members().stream()
        .filter(member -> member.role().equals("storage"))
        .forEach(
            member -> {
              long shards =
                  table.shards().values().stream()
                      .filter(shard -> names(shard, member.id()))
                      .count();
              String state = table.storageState(member.id()).state();
              rows.addObject()
                  .put("id", member.id())
                  .put("name", member.name())
                  .put("zone", member.zone())
                  .put("live", member.live())
                  .put("shards", shards)
                  .put(
                      "state",
                      state.equals(StorageNodeState.EMPTYING) && shards == 0 ? "emptied" : state);
            });
    return rows;
  }
}
