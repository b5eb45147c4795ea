package applespindle.operatortool;

import applespindle.corelogic.constants.ShardConstants;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Compares the statuses of a tier's processes with each other and with the view of the control
 * plane whose configuration is the newest.
 */
final class PreflightChecks {
  /**
   * What the checks came to.
   *
   * @param findings the faults, in the order in which they are to be printed
   * @param processes the number of processes that were checked; spare core processes don't count
   */
  record Report(List<PreflightFinding> findings, int processes) {}

  private final Map<String, JsonNode> statuses;
  private final Map<String, String> notReady;
  private final List<PreflightFinding> findings = new ArrayList<>();

  private PreflightChecks(Map<String, JsonNode> statuses, Map<String, String> notReady) {
    this.statuses = new LinkedHashMap<>(statuses);
    this.notReady = notReady;
  }

  /**
   * Runs all checks.
   *
   * @param statuses by address, the status of each process that answered
   * @param notReady by id, the reason why a process is not ready; only those that are not
   */
  static Report run(Map<String, JsonNode> statuses, Map<String, String> notReady) {
    PreflightChecks checks = new PreflightChecks(statuses, notReady);
    checks.runAll();
    return new Report(checks.findings, checks.statuses.size());
  }

  private void runAll() {
    checkEqual("version", status -> status.path("version").asText());
    checkEqual("roster", status -> status.at("/roster/number").asText());
    List<JsonNode> cores = ofRole("core");
    if (cores.isEmpty()) {
      checkReady();
      add("core", "none of the processes asked is a core process");
      return;
    }
    JsonNode core =
        cores.stream().max(Comparator.comparingLong(one -> one.path("bundle").asLong())).get();
    Set<String> askedIds = ids(statuses.values());
    statuses.values().removeIf(status -> isSpare(status, core));
    checkReady();
    checkMembers(askedIds, core);
    checkEdges(core);
    checkConfiguration(core.path("bundle").asLong());
    checkShards(core);
    checkStorage(core);
    checkWorkers(core);
  }

  private void add(String where, String fault) {
    findings.add(new PreflightFinding(where, fault));
  }

  private static String name(JsonNode status) {
    return status.path("name").asText();
  }

  private static String id(JsonNode node) {
    return node.path("id").asText();
  }

  private static Set<String> ids(Iterable<JsonNode> nodes) {
    Set<String> ids = new TreeSet<>();
    nodes.forEach(node -> ids.add(id(node)));
    return ids;
  }

  private List<JsonNode> ofRole(String role) {
    return statuses.values().stream()
        .filter(status -> status.path("role").asText().equals(role))
        .toList();
  }

  /**
   * Whether it is a core process without a place in a complete roster: it only forwards calls,
   * which is no fault.
   */
  private static boolean isSpare(JsonNode status, JsonNode core) {
    JsonNode members = core.at("/roster/members");
    if (ids(members).contains(id(status))) {
      return false;
    }
    return status.path("role").asText().equals("core") && members.size() >= replicas(core);
  }

  /** The number of copies that the core keeps of each shard. */
  private static int replicas(JsonNode core) {
    return core.path("replicas").asInt(ShardConstants.DEFAULT_REPLICAS);
  }

  private void checkEqual(String field, Function<JsonNode, String> value) {
    Map<String, Set<String>> namesByValue = new TreeMap<>();
    for (JsonNode status : statuses.values()) {
      namesByValue
          .computeIfAbsent(value.apply(status), unseen -> new TreeSet<>())
          .add(name(status));
    }
    if (namesByValue.size() > 1) {
      add(field, "differs: " + namesByValue);
    }
  }

  private void checkReady() {
    for (JsonNode status : statuses.values()) {
      if (notReady.containsKey(id(status))) {
        add(name(status), "not ready: " + notReady.get(id(status)));
      }
    }
  }

  /** Each member was asked, and each process that was asked is a member. */
  private void checkMembers(Set<String> askedIds, JsonNode core) {
    JsonNode rosterMembers = core.at("/roster/members");
    for (JsonNode member : core.path("members")) {
      if (!askedIds.contains(id(member))) {
        add(name(member), "is a member and was not asked; name its address as well");
      }
    }
    for (JsonNode member : rosterMembers) {
      if (!askedIds.contains(id(member))) {
        add(name(member), "is in the core's roster and was not asked");
      }
    }
    Set<String> knownIds = ids(core.path("members"));
    knownIds.addAll(ids(rosterMembers));
    for (JsonNode status : statuses.values()) {
      if (!knownIds.contains(id(status))) {
        add(name(status), "holds no place at the core");
      }
    }
  }

  /** The edges that the core counts are those that live. */
  private void checkEdges(JsonNode core) {
    Set<String> live = new TreeSet<>();
    for (JsonNode member : core.path("members")) {
      if (member.path("role").asText().equals("edge")) {
        live.add(member.path("peerAddress").asText());
      }
    }
    Set<String> listed = new TreeSet<>();
    core.path("edges").forEach(address -> listed.add(address.asText()));
    if (!listed.equals(live)) {
      add("edges", "the listed ones are not the live ones: " + listed + ", " + live);
    }
  }

  private void checkConfiguration(long inForce) {
    if (inForce == 0) {
      add("bundle", "none is in force");
    }
    for (JsonNode status : statuses.values()) {
      long number = status.path("bundle").asLong();
      if (number != inForce) {
        add(name(status), "has bundle " + number + ", not " + inForce);
      }
    }
  }

  private void checkShards(JsonNode core) {
    JsonNode shards = core.path("shards");
    if (shards.size() != ShardConstants.SHARD_COUNT) {
      add("shards", shards.size() + " of " + ShardConstants.SHARD_COUNT + " are placed");
    }
    for (Map.Entry<String, JsonNode> shard : shards.properties()) {
      int copies = shard.getValue().path("replicas").size();
      if (copies < replicas(core)) {
        add("shard " + shard.getKey(), copies + " copies");
      }
      if (shard.getValue().path("next").size() > 0) {
        add("shard " + shard.getKey(), "its copies are being moved");
      }
    }
  }

  private void checkStorage(JsonNode core) {
    for (JsonNode storage : core.path("storage")) {
      int shards = storage.path("shards").asInt();
      if (shards > 0 && !storage.path("live").asBoolean()) {
        add(name(storage), "is dead and holds " + shards + " shards");
      }
    }
  }

  /** Every worker that the core lists as ready can be used by every edge. */
  private void checkWorkers(JsonNode core) {
    Set<String> ready = new TreeSet<>();
    for (JsonNode worker : core.path("workers")) {
      if (worker.path("state").asText().equals("ready")) {
        ready.add(id(worker));
      }
    }
    if (ready.isEmpty()) {
      add("workers", "none is listed as ready");
    }
    for (JsonNode edge : ofRole("edge")) {
      Set<String> unusable = new TreeSet<>(ready);
      unusable.removeAll(usableWorkers(edge));
      for (String id : unusable) {
        add(name(edge), "can not use worker " + id + ": no report, or at rest after a fault");
      }
    }
  }

  private static Set<String> usableWorkers(JsonNode edge) {
    Set<String> usable = new TreeSet<>();
    for (JsonNode worker : edge.path("workers")) {
      if (worker.path("usable").asBoolean()) {
        usable.add(id(worker));
      }
    }
    return usable;
  }
}
