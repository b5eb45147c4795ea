package applespindle.operatortool;

import applespindle.corelogic.constants.ShardConstants;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Whether a tier may be given traffic: asks every process itself, and names each fault with the
 * process it is at.
 */
final class Preflight {
  /**
   * One reason not to move traffic; where is a process's name, or its address if it did not tell
   * one.
   */
  record Finding(String where, String fault) {}

  private final HttpCaller caller;
  private final List<Finding> findings = new ArrayList<>();

  /** By the process's id, why it is not ready; only those that are not. */
  private final Map<String, String> notReady = new LinkedHashMap<>();

  private Preflight(HttpCaller caller) {
    this.caller = caller;
  }

  /** 0 if nothing was found, else 1. */
  static int run(HttpCaller caller, List<String> addresses) {
    Preflight preflight = new Preflight(caller);
    Map<String, JsonNode> statuses = preflight.ask(addresses);
    preflight.judge(statuses);
    preflight.findings.forEach(
        finding -> System.out.println(finding.where() + ": " + finding.fault()));
    System.out.println(
        preflight.findings.isEmpty()
            ? "good: " + statuses.size() + " processes"
            : preflight.findings.size() + " faults; do not move traffic");
    return preflight.findings.isEmpty() ? 0 : 1;
  }

  private Map<String, JsonNode> ask(List<String> addresses) {
    Map<String, JsonNode> statuses = new LinkedHashMap<>();
    for (String address : addresses) {
      HttpCaller.Result status = caller.get(address, "/v1/status");
      if (!status.good()) {
        found(
            address,
            "no status: " + (status.status() == 0 ? status.text() : "status " + status.status()));
        continue;
      }
      statuses.put(address, status.body());
      HttpCaller.Result ready = caller.get(address, "/ready");
      if (!ready.good()) {
        notReady.put(
            status.body().path("id").asText(),
            ready.body().at("/detail/reason").asText("no response"));
      }
    }
    return statuses;
  }

  private void found(String where, String fault) {
    findings.add(new Finding(where, fault));
  }

  private static String name(JsonNode status) {
    return status.path("name").asText();
  }

  private static List<JsonNode> ofRole(Map<String, JsonNode> statuses, String role) {
    return statuses.values().stream()
        .filter(status -> status.path("role").asText().equals(role))
        .toList();
  }

  private void judge(Map<String, JsonNode> statuses) {
    alike(statuses, "version", status -> status.path("version").asText());
    alike(statuses, "roster", status -> status.at("/roster/number").asText());
    List<JsonNode> cores = ofRole(statuses, "core");
    if (cores.isEmpty()) {
      ready(statuses);
      found("core", "none of the processes asked is a core process");
      return;
    }
    JsonNode core =
        cores.stream()
            .max(
                (one, other) ->
                    Long.compare(one.path("bundle").asLong(), other.path("bundle").asLong()))
            .get();
    Map<String, JsonNode> all = Map.copyOf(statuses);
    statuses.values().removeIf(status -> isSpare(status, core));
    ready(statuses);
    members(statuses, all, core);
    bundle(statuses, core.path("bundle").asLong());
    shards(core);
    workers(statuses, core);
  }

  /**
   * A core process that holds no place in a roster that is full: it only passes calls on, and is no
   * fault.
   */
  private static boolean isSpare(JsonNode status, JsonNode core) {
    JsonNode members = core.at("/roster/members");
    for (JsonNode member : members) {
      if (member.path("id").asText().equals(status.path("id").asText())) {
        return false;
      }
    }
    return status.path("role").asText().equals("core") && members.size() >= replicas(core);
  }

  /** How many copies the core means to keep of whatever must survive. */
  private static int replicas(JsonNode core) {
    return core.path("replicas").asInt(ShardConstants.DEFAULT_REPLICAS);
  }

  private void ready(Map<String, JsonNode> statuses) {
    statuses.values().stream()
        .filter(status -> notReady.containsKey(status.path("id").asText()))
        .forEach(
            status ->
                found(name(status), "not ready: " + notReady.get(status.path("id").asText())));
  }

  private void alike(
      Map<String, JsonNode> statuses,
      String what,
      java.util.function.Function<JsonNode, String> read) {
    Map<String, Set<String>> byValue = new TreeMap<>();
    statuses
        .values()
        .forEach(
            status ->
                byValue
                    .computeIfAbsent(read.apply(status), unseen -> new TreeSet<>())
                    .add(name(status)));
    if (byValue.size() > 1) {
      found(what, "differs: " + byValue);
    }
  }

  /**
   * Each member was asked, each that was asked is a member, and the edges that count are those that
   * live.
   */
  private void members(Map<String, JsonNode> statuses, Map<String, JsonNode> all, JsonNode core) {
    Set<String> asked = new TreeSet<>();
    all.values().forEach(status -> asked.add(status.path("id").asText()));
    Set<String> known = new TreeSet<>();
    Set<String> liveEdges = new TreeSet<>();
    core.path("members")
        .forEach(
            member -> {
              known.add(member.path("id").asText());
              if (member.path("role").asText().equals("edge")) {
                liveEdges.add(member.path("peerAddress").asText());
              }
              if (!asked.contains(member.path("id").asText())) {
                found(
                    member.path("name").asText(),
                    "is a member and was not asked; name its address as well");
              }
            });
    core.at("/roster/members")
        .forEach(
            member -> {
              known.add(member.path("id").asText());
              if (!asked.contains(member.path("id").asText())) {
                found(member.path("name").asText(), "is in the core's roster and was not asked");
              }
            });
    statuses.values().stream()
        .filter(status -> !known.contains(status.path("id").asText()))
        .forEach(status -> found(name(status), "holds no place at the core"));
    Set<String> listed = new TreeSet<>();
    core.path("edges").forEach(address -> listed.add(address.asText()));
    if (!listed.equals(liveEdges)) {
      found("edges", "the listed ones are not the live ones: " + listed + ", " + liveEdges);
    }
  }

  private void bundle(Map<String, JsonNode> statuses, long inForce) {
    if (inForce == 0) {
      found("bundle", "none is in force");
    }
    statuses.values().stream()
        .filter(status -> status.path("bundle").asLong() != inForce)
        .forEach(
            status ->
                found(
                    name(status),
                    "has bundle " + status.path("bundle").asLong() + ", not " + inForce));
  }

  private void shards(JsonNode core) {
    if (core.path("shards").size() != ShardConstants.SHARD_COUNT) {
      found(
          "shards",
          core.path("shards").size() + " of " + ShardConstants.SHARD_COUNT + " are placed");
    }
    core.path("shards")
        .fields()
        .forEachRemaining(
            shard -> {
              if (shard.getValue().path("replicas").size() < replicas(core)) {
                found(
                    "shard " + shard.getKey(),
                    shard.getValue().path("replicas").size() + " copies");
              }
              if (shard.getValue().path("next").size() > 0) {
                found("shard " + shard.getKey(), "its copies are being moved");
              }
            });
    core.path("storage")
        .forEach(
            storage -> {
              if (storage.path("shards").asInt() > 0 && !storage.path("live").asBoolean()) {
                found(
                    storage.path("name").asText(),
                    "is dead and holds " + storage.path("shards").asInt() + " shards");
              }
            });
  }

  private void workers(Map<String, JsonNode> statuses, JsonNode core) {
    Set<String> ready = new TreeSet<>();
    core.path("workers")
        .forEach(
            worker -> {
              if (worker.path("state").asText().equals("ready")) {
                ready.add(worker.path("id").asText());
              }
            });
    if (ready.isEmpty()) {
      found("workers", "none is listed as ready");
    }
    for (JsonNode edge : ofRole(statuses, "edge")) {
      Set<String> usable = new TreeSet<>();
      edge.path("workers")
          .forEach(
              worker -> {
                if (worker.path("usable").asBoolean()) {
                  usable.add(worker.path("id").asText());
                }
              });
      ready.stream()
          .filter(id -> !usable.contains(id))
          .forEach(
              id ->
                  found(
                      name(edge),
                      "can not use worker " + id + ": no report, or at rest after a fault"));
    }
  }
}
