package applespindle.testfleet;

import static applespindle.corelogic.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.Json;
import applespindle.testfleet.History.Kind;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Operators who send changes of the routes, each on top of a number, sometimes two at once,
 * sometimes faulty ones.
 */
final class OpaqueOperators {
  static final long RETENTION_MS = 60_000;
  private static final long TIMEOUT_MS = 4_000;
  private static final long TARGET_MS = 500;
  private static final long GAP_MS = 150;
  private static final int ATTEMPTS = 2;
  private static final long BATCH_TARGET_MS = 10_000;
  private static final long SILENCE_MS = 1_000;
  private static final double PAUSE_MS = 200;
  private static final long READ_EVERY_MS = 700;
  private static final int ADDED_KEPT = 2;

  /** A route as the operators keep it; pools with their weights. */
  record Route(String name, String host, String prefix, String type, Map<String, Integer> pools) {}

  private final SimulatedFleet fleet;
  private final Simulation simulation;
  private final long waitingTokensMost;
  private final Map<String, Route> routes = new TreeMap<>();

  /** Content of every change sent, by its bytes. */
  private final Map<String, String> changeOfBytes = new HashMap<>();

  private final Map<String, List<Route>> routesOf = new HashMap<>();
  private long newest;
  private long current;
  private int changes;
  int acknowledged;
  int refused;

  /** Routes of the newest acknowledged change: what clients use. */
  private List<Route> inUse = List.of();

  /** Names added or removed by the newest changes, for those who look whether they are in force. */
  final List<Route> probed = new ArrayList<>();

  /**
   * From sending to the yes: of the first change, which waits for the fleet to found itself, and of
   * all later ones.
   */
  long firstYesMs;

  long slowestYesMs;

  OpaqueOperators(SimulatedFleet fleet, long waitingTokensMost) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
    this.waitingTokensMost = waitingTokensMost;
    for (String type : List.of("once", "repeatable", "stream", "resumable")) {
      for (int place = 0; place < 2; place++) {
        put(
            new Route(
                type + "-" + place,
                "h" + place + ".example",
                "/" + type + "-" + place + "/",
                type,
                Map.of("alpha", 1)));
      }
    }
    put(new Route("batch-0", "h0.example", "/batch-0/", "batch", Map.of("alpha", 1)));
  }

  private void put(Route route) {
    routes.put(route.name(), route);
  }

  List<Route> inUse(String type) {
    return inUse.stream().filter(route -> route.type().equals(type)).toList();
  }

  void start() {
    simulation.afterMs(1_500, () -> send(false));
    simulation.afterMs(3_000, this::readBack);
  }

  /** One more change on top of what is known to be current. */
  void change() {
    alter();
    send(false);
  }

  /** Two changes on top of the same number at once, at two nodes. */
  void race() {
    long base = current;
    alter();
    send(false);
    alter();
    long taken = current;
    current = base;
    send(false);
    current = Math.max(taken, base);
  }

  void invalid() {
    send(true);
  }

  private void alter() {
    List<Route> all = List.copyOf(routes.values());
    Route moved = all.get(simulation.random.nextInt(all.size()));
    Map<String, Integer> pools =
        switch (simulation.random.nextInt(3)) {
          case 0 -> Map.of("alpha", 1);
          case 1 -> Map.of("beta", 1);
          default -> new TreeMap<>(Map.of("alpha", 70, "beta", 30));
        };
    put(new Route(moved.name(), moved.host(), moved.prefix(), moved.type(), pools));
    int place = changes;
    put(
        new Route(
            "added-" + place,
            "h1.example",
            "/once-1/added-" + place + "/",
            "once",
            Map.of("beta", 1)));
    List<Route> added =
        routes.values().stream().filter(route -> route.name().startsWith("added-")).toList();
    if (added.size() > ADDED_KEPT) {
      Route eldest =
          added.stream()
              .min(
                  java.util.Comparator.comparingInt(
                      route -> Integer.parseInt(route.name().substring(6))))
              .get();
      routes.remove(eldest.name());
    }
    probed.clear();
    probed.addAll(added);
  }

  private void send(boolean invalid) {
    String id = "c" + ++changes;
    newest += 1 + simulation.random.nextInt(3);
    long number = newest;
    byte[] bytes = Json.bytes(bundle(number, invalid));
    changeOfBytes.put(new String(bytes, UTF_8), id);
    routesOf.put(id, List.copyOf(routes.values()));
    long base = current;
    simulation.history.add(
        simulation.nowMs(),
        Kind.CHANGE_SENT,
        id,
        invalid ? "invalid" : "valid",
        Long.toString(base),
        number);
    routes
        .values()
        .forEach(
            route ->
                simulation.history.add(
                    simulation.nowMs(),
                    Kind.CHANGE_ROUTE,
                    id,
                    route.name(),
                    route.host()
                        + " "
                        + route.prefix()
                        + " "
                        + route.type()
                        + " "
                        + ATTEMPTS
                        + " "
                        + (route.type().equals("batch") ? waitingTokensMost : 0)
                        + " "
                        + String.join(",", route.pools().keySet()),
                    number));
    trySend(id, number, base, bytes, simulation.nowMs(), 0);
  }

  private void trySend(String id, long number, long base, byte[] bytes, long begunMs, int tries) {
    fleet.command(
        fleet.anyCore(),
        SILENCE_MS * (1 + tries / 3),
        "bundle",
        "bundle",
        fleet.signed(bytes, base),
        response -> {
          int status = response == null ? 0 : response.status();
          simulation.history.add(
              simulation.nowMs(),
              Kind.CHANGE_ANSWERED,
              id,
              response == null ? "" : response.faultType(),
              "",
              status);
          if (status == 200) {
            acknowledged++;
            if (acknowledged == 1) {
              firstYesMs = simulation.nowMs() - begunMs;
            } else {
              slowestYesMs = Math.max(slowestYesMs, simulation.nowMs() - begunMs);
            }
            if (number > current) {
              current = number;
              inUse = routesOf.get(id);
            }
            fleet.whenTold.accept("change", (long) acknowledged);
          } else if (status == 0 || status >= 500 || status == 408 || status == 429) {
            simulation.afterMs(
                PAUSE_MS * Math.min(8, tries + 1),
                () -> trySend(id, number, base, bytes, begunMs, tries + 1));
          } else {
            refused++;
          }
        });
  }

  private ObjectNode bundle(long number, boolean invalid) {
    ObjectNode bundle = JSON.createObjectNode().put("number", number);
    ObjectNode pools = bundle.putObject("pools");
    for (String pool : List.of("alpha", "beta")) {
      pools
          .putObject(pool)
          .put("prefixBlockChars", 64)
          .put("prefixBlocks", 4)
          .put("loadFactor", 1.5)
          .put("slots", OpaqueWorkers.SLOTS)
          .put("connectionsMost", 200)
          .put("keptTokensMost", 20_000);
    }
    bundle.putArray("rules");
    ObjectNode limits = bundle.putObject("limits");
    limits.putObject("classes").putObject("check").put("rank", 0).put("queueMost", 100);
    limits
        .putObject("batch")
        .put("pool", "alpha")
        .put("waitingItemsMost", 2000)
        .put("perWorkerMost", 8)
        .put("liveReserve", 1)
        .put("cancelForLive", true)
        .put("itemExpiryMs", 30_000)
        .putNull("retentionMs");
    ArrayNode rows = bundle.putArray("routes");
    routes.values().forEach(route -> row(rows.addObject(), route, invalid));
    return bundle;
  }

  private void row(ObjectNode row, Route route, boolean invalid) {
    boolean batch = route.type().equals("batch");
    boolean streaming = route.type().equals("stream") || route.type().equals("resumable");
    row.put("name", route.name())
        .put("host", route.host())
        .put("pathPrefix", route.prefix())
        .put("type", streaming ? "STREAM" : route.type().toUpperCase())
        .put("timeoutMs", TIMEOUT_MS)
        .put("targetMs", TARGET_MS)
        .put("gapTargetMs", streaming || batch ? GAP_MS : 0)
        .put("attempts", ATTEMPTS)
        .put("rank", batch ? 5 : 0)
        .put("sticky", streaming || batch)
        .put("resumable", route.type().equals("resumable"))
        .put("completionTargetMs", batch ? BATCH_TARGET_MS : 0)
        .put("retentionMs", batch ? RETENTION_MS : 0)
        .put("waitingTokensMost", batch ? waitingTokensMost : 0);
    ArrayNode split = row.putArray("split");
    route
        .pools()
        .forEach(
            (pool, weight) ->
                split.addObject().put("pool", invalid ? "nowhere" : pool).put("weight", weight));
  }

  private void readBack() {
    long begunMs = simulation.nowMs();
    fleet.command(
        fleet.anyCore(),
        SILENCE_MS,
        "read",
        "bundle",
        new byte[] {'{', '}'},
        response -> {
          if (response != null && response.good() && !response.body().isNull()) {
            String bytes =
                new String(
                    Base64.getDecoder().decode(response.body().path("bytes").asText()), UTF_8);
            simulation.history.add(
                simulation.nowMs(),
                Kind.CHANGE_READ,
                changeOfBytes.getOrDefault(bytes, "none"),
                "",
                Long.toString(begunMs),
                response.body().path("number").asLong());
          }
        });
    simulation.afterMs(READ_EVERY_MS, this::readBack);
  }
}
