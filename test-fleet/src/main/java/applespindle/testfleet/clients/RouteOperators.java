package applespindle.testfleet.clients;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.protocol.Operation;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.ProxyWorkers;
import applespindle.testfleet.simulation.SimulatedPlatform;
import applespindle.testfleet.simulation.Simulation;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Two operators who send changes of the routes, each based on the newest number that it knows of:
 * sometimes concurrently, sometimes with equal numbers, sometimes invalid. A change without a
 * definite response is sent again unchanged, to any node.
 */
public final class RouteOperators {
  static final long RETENTION_MS = SimulatedPlatform.RESULT_RETENTION_MS;
  private static final long TIMEOUT_MS = 4_000;
  private static final long TARGET_MS = 500;
  private static final long GAP_TARGET_MS = 150;
  private static final int ATTEMPTS = 2;
  public static final long BATCH_TARGET_MS = 10_000;
  private static final long CALL_TIMEOUT_MS = 1_000;
  private static final double RETRY_PAUSE_MS = 200;
  private static final long READ_EVERY_MS = 700;
  private static final int MAX_ADDED_ROUTES = 2;
  private static final int OPERATORS = 2;
  private static final int MAX_IN_FLIGHT = 8;

  /** How often an old change is sent without a definite response before its operator gives up. */
  private static final int MAX_RESENDS = 4;

  private static final long MAX_DELAY_MS = 5_000;
  private static final int SAME_NUMBER_ONE_IN = 4;

  /** A route as the operators keep it; pools with their weights. */
  record Route(String name, String host, String prefix, String type, Map<String, Integer> pools) {}

  /** What makes a revision invalid, or nothing. */
  private enum Fault {
    NONE,
    UNKNOWN_POOL,
    SHARED_KEY
  }

  /** Needs no key even where there are tenants. */
  private static final String PUBLIC_ROUTE = "repeatable-1";

  /** One change; the same bytes are sent each time. */
  private record Change(String id, int operator, long number, long buildsOn, byte[] bytes) {}

  /** What becomes of one call in the network, besides the faults of the fleet. */
  private enum Delivery {
    NORMAL,
    LOST,
    DELAYED,
    RESPONSE_LOST
  }

  /** Null where no tenants are configured. */
  SimulatedTenants tenants;

  private final SimulatedFleet fleet;
  private final Simulation simulation;
  private final long waitingTokensMost;

  /** The percentage of calls that are lost, are delayed, or lose their response. */
  public int callsLostPercent;

  private final List<Change> sentChanges = new ArrayList<>();
  private final long[] newestKnownTo = new long[OPERATORS];
  private int inFlight;
  private final Map<String, Route> routes = new TreeMap<>();

  /** By the bytes of every change sent, its id. */
  private final Map<String, String> changeOfBytes = new HashMap<>();

  private final Map<String, List<Route>> routesOf = new HashMap<>();
  private long newest;
  private long current;
  private int changes;
  public int acknowledged;
  public int refused;

  /** Routes of the newest acknowledged change: what clients use. */
  private List<Route> inUse = List.of();

  /** Routes added or removed by the newest changes, for probes of whether they are in force. */
  final List<Route> probed = new ArrayList<>();

  /**
   * The time from sending to the acknowledgement of the first change, which waits for the fleet to
   * bootstrap.
   */
  public long firstYesMs;

  /** The longest time from sending to the acknowledgement of a later change. */
  public long slowestYesMs;

  RouteOperators(SimulatedFleet fleet, long waitingTokensMost) {
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

  /** The number of the newest acknowledged revision. */
  public long newestAcknowledged() {
    return current;
  }

  void start() {
    simulation.afterMs(1_500, () -> send(Fault.NONE));
    simulation.afterMs(3_000, this::readBack);
  }

  /** Sends one more change, based on the newest acknowledged one. */
  public void change() {
    alterRoutes();
    send(Fault.NONE);
  }

  /** Sends a change that takes a key away from a tenant. */
  public void withdrawKey() {
    tenants.replaceOneKey();
    send(Fault.NONE);
  }

  /** Sends a change by which a key moves from one tenant to another. */
  public void moveKey() {
    tenants.moveOneKey();
    send(Fault.NONE);
  }

  /** Sends a revision in which two tenants share a key. */
  public void sharedKey() {
    send(Fault.SHARED_KEY);
  }

  /** Sends two concurrent changes with the same base, to two nodes. */
  public void race() {
    long base = current;
    alterRoutes();
    send(Fault.NONE);
    alterRoutes();
    long newestCurrent = current;
    current = base;
    send(Fault.NONE);
    current = Math.max(newestCurrent, base);
  }

  /** Sends a revision that is not valid. */
  public void invalid() {
    send(Fault.UNKNOWN_POOL);
  }

  /** Sends changes of either operator at an interval, unless too many are in flight. */
  public void orders(int count, long everyMs) {
    for (int index = 0; index < count; index++) {
      simulation.afterMs(index * everyMs, this::changeUnlessBusy);
    }
  }

  private void changeUnlessBusy() {
    if (inFlight < MAX_IN_FLIGHT) {
      int operator = simulation.random.nextInt(OPERATORS);
      alterRoutes();
      begin(newChange(operator, newestKnownTo[operator], Fault.NONE));
    }
  }

  /** Sends old changes again, whatever their outcome, as an operator without records does. */
  public void resend(int count) {
    for (int index = 0; index < count; index++) {
      Change old = sentChanges.get(simulation.random.nextInt(sentChanges.size()));
      trySend(old, simulation.simulatedNowMs(), 0, MAX_RESENDS);
    }
  }

  private void alterRoutes() {
    List<Route> all = List.copyOf(routes.values());
    Route moved = all.get(simulation.random.nextInt(all.size()));
    Map<String, Integer> pools =
        switch (simulation.random.nextInt(3)) {
          case 0 -> Map.of("alpha", 1);
          case 1 -> Map.of("beta", 1);
          default -> new TreeMap<>(Map.of("alpha", 70, "beta", 30));
        };
    put(new Route(moved.name(), moved.host(), moved.prefix(), moved.type(), pools));
    int number = changes;
    put(
        new Route(
            "added-" + number,
            "h1.example",
            "/once-1/added-" + number + "/",
            "once",
            Map.of("beta", 1)));
    List<Route> added =
        routes.values().stream().filter(route -> route.name().startsWith("added-")).toList();
    if (added.size() > MAX_ADDED_ROUTES) {
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

  private void send(Fault fault) {
    begin(newChange(0, current, fault));
  }

  private long nextNumber(long base) {
    Change last = sentChanges.isEmpty() ? null : sentChanges.get(sentChanges.size() - 1);
    if (last != null
        && last.buildsOn() == base
        && simulation.random.nextInt(SAME_NUMBER_ONE_IN) == 0) {
      return last.number();
    }
    newest += 1 + simulation.random.nextInt(3);
    return newest;
  }

  private Change newChange(int operator, long base, Fault fault) {
    String id = "c" + ++changes;
    long number = nextNumber(base);
    Change change =
        new Change(id, operator, number, base, Json.bytes(configuration(number, fault)));
    sentChanges.add(change);
    changeOfBytes.put(new String(change.bytes(), UTF_8), id);
    routesOf.put(id, List.copyOf(routes.values()));
    simulation.history.add(
        simulation.simulatedNowMs(),
        Kind.CHANGE_SENT,
        id,
        fault == Fault.NONE ? "valid" : "invalid",
        Long.toString(base),
        number);
    routes.values().forEach(route -> recordRoute(change, route));
    if (tenants != null) {
      tenants.record(id, number);
    }
    return change;
  }

  private void recordRoute(Change change, Route route) {
    long maxTokens = route.type().equals("batch") ? waitingTokensMost : 0;
    String text =
        String.join(
            " ",
            route.host(),
            route.prefix(),
            route.type(),
            Integer.toString(ATTEMPTS),
            Long.toString(maxTokens),
            String.join(",", route.pools().keySet()) + (isPublic(route) ? " public" : ""));
    simulation.history.add(
        simulation.simulatedNowMs(),
        Kind.CHANGE_ROUTE,
        change.id(),
        route.name(),
        text,
        change.number());
  }

  private boolean isPublic(Route route) {
    return tenants != null && route.name().equals(PUBLIC_ROUTE);
  }

  private void begin(Change change) {
    inFlight++;
    trySend(change, simulation.simulatedNowMs(), 0, Integer.MAX_VALUE);
  }

  private void trySend(Change change, long begunMs, int tries, int maxTries) {
    long sentMs = simulation.simulatedNowMs();
    call(
        change,
        CALL_TIMEOUT_MS * (1 + Math.min(tries, 12) / 3),
        response -> {
          int status = response == null ? 0 : response.status();
          simulation.history.add(
              simulation.simulatedNowMs(),
              Kind.CHANGE_ANSWERED,
              change.id(),
              response == null ? "" : response.errorType(),
              Long.toString(sentMs),
              status);
          boolean clear = status > 0 && status < 500 && status != 408 && status != 429;
          if (!clear && tries + 1 < maxTries) {
            simulation.afterMs(
                RETRY_PAUSE_MS * Math.min(8, tries + 1),
                () -> trySend(change, begunMs, tries + 1, maxTries));
            return;
          }
          if (maxTries == Integer.MAX_VALUE) {
            inFlight--;
          }
          if (status == 200) {
            acknowledged(change, begunMs);
          } else if (clear) {
            refused++;
            readNewest(change.operator());
          }
        });
  }

  private void acknowledged(Change change, long begunMs) {
    acknowledged++;
    if (acknowledged == 1) {
      firstYesMs = simulation.simulatedNowMs() - begunMs;
    } else {
      slowestYesMs = Math.max(slowestYesMs, simulation.simulatedNowMs() - begunMs);
    }
    newestKnownTo[change.operator()] = Math.max(newestKnownTo[change.operator()], change.number());
    if (change.number() > current) {
      current = change.number();
      inUse = routesOf.get(change.id());
      if (tenants != null) {
        tenants.use(change.id());
      }
    }
    fleet.clientEventListener.accept("change", (long) acknowledged);
  }

  /** Sends a change to any node; gives the response, or null if none comes in time. */
  private void call(Change change, long timeoutMs, Consumer<Response> then) {
    Delivery delivery = delivery();
    boolean[] over = new boolean[1];
    Consumer<Response> once =
        response -> {
          if (!over[0]) {
            over[0] = true;
            then.accept(response);
          }
        };
    if (delivery != Delivery.NORMAL) {
      simulation.afterMs(timeoutMs, () -> once.accept(null));
    }
    if (delivery == Delivery.LOST) {
      return;
    }
    long delayMs = delivery == Delivery.DELAYED ? simulation.random.nextLong(MAX_DELAY_MS) : 0;
    Runnable deliver =
        () ->
            fleet.command(
                fleet.anyControlPlaneNode(),
                timeoutMs,
                Operation.SET_CONFIGURATION,
                "bundle",
                fleet.signed(change.bytes(), change.buildsOn()),
                delivery == Delivery.RESPONSE_LOST ? response -> {} : once);
    if (delayMs > 0) {
      simulation.afterMs(delayMs, deliver);
    } else {
      deliver.run();
    }
  }

  private Delivery delivery() {
    if (callsLostPercent == 0 || simulation.random.nextInt(100) >= callsLostPercent) {
      return Delivery.NORMAL;
    }
    return Delivery.values()[1 + simulation.random.nextInt(Delivery.values().length - 1)];
  }

  private ObjectNode configuration(long number, Fault fault) {
    ObjectNode configuration = JSON.createObjectNode().put("number", number);
    ObjectNode pools = configuration.putObject("pools");
    for (String pool : List.of("alpha", "beta")) {
      pools
          .putObject(pool)
          .put("prefixBlockChars", 64)
          .put("prefixBlocks", 4)
          .put("loadFactor", 1.5)
          .put("slots", ProxyWorkers.SLOTS)
          .put("connectionsMost", 200)
          .put("keptTokensMost", 20_000);
    }
    configuration.putArray("rules");
    ObjectNode limits = configuration.putObject("limits");
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
    ArrayNode routeNodes = configuration.putArray("routes");
    routes.values().forEach(route -> routeNode(routeNodes.addObject(), route, fault));
    if (tenants != null) {
      tenants.write(configuration, fault == Fault.SHARED_KEY);
    }
    return configuration;
  }

  private void routeNode(ObjectNode routeNode, Route route, Fault fault) {
    boolean batch = route.type().equals("batch");
    boolean streaming = route.type().equals("stream") || route.type().equals("resumable");
    routeNode
        .put("name", route.name())
        .put("host", route.host())
        .put("pathPrefix", route.prefix())
        .put("type", streaming ? "STREAM" : route.type().toUpperCase())
        .put("timeoutMs", TIMEOUT_MS)
        .put("targetMs", TARGET_MS)
        .put("gapTargetMs", streaming || batch ? GAP_TARGET_MS : 0)
        .put("attempts", ATTEMPTS)
        .put("rank", batch ? 5 : 0)
        .put("sticky", streaming || batch)
        .put("resumable", route.type().equals("resumable"))
        .put("completionTargetMs", batch ? BATCH_TARGET_MS : 0)
        .put("retentionMs", batch ? RETENTION_MS : 0)
        .put("waitingTokensMost", batch ? waitingTokensMost : 0);
    if (isPublic(route)) {
      routeNode.put("public", true);
    }
    ArrayNode split = routeNode.putArray("split");
    route
        .pools()
        .forEach(
            (pool, weight) ->
                split
                    .addObject()
                    .put("pool", fault == Fault.UNKNOWN_POOL ? "nowhere" : pool)
                    .put("weight", weight));
  }

  private void readBack() {
    read(number -> {});
    simulation.afterMs(READ_EVERY_MS, this::readBack);
  }

  /** An operator whose change was refused bases the next one on what is in force now. */
  private void readNewest(int operator) {
    read(number -> newestKnownTo[operator] = Math.max(newestKnownTo[operator], number));
  }

  private void read(Consumer<Long> whenRead) {
    long begunMs = simulation.simulatedNowMs();
    fleet.command(
        fleet.anyControlPlaneNode(),
        CALL_TIMEOUT_MS,
        Operation.READ_KEY,
        "bundle",
        new byte[] {'{', '}'},
        response -> {
          if (response != null && response.isSuccess() && !response.body().isNull()) {
            String bytes =
                new String(
                    Base64.getDecoder().decode(response.body().path("bytes").asText()), UTF_8);
            long number = response.body().path("number").asLong();
            simulation.history.add(
                simulation.simulatedNowMs(),
                Kind.CHANGE_READ,
                changeOfBytes.getOrDefault(bytes, "none"),
                "",
                Long.toString(begunMs),
                number);
            whenRead.accept(number);
          }
        });
  }
}
