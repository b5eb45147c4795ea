package applespindle.testfleet;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.protocol.Operation;
import applespindle.testfleet.History.Kind;
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
 * Two operators who send changes of the routes, each on top of the number that it knows of,
 * sometimes at once, sometimes under one number, sometimes faulty ones. What gets no clear answer
 * is sent again as it was, to any node.
 */
final class RouteOperators {
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
  private static final int OPERATORS = 2;
  private static final int UNDER_WAY_MOST = 8;

  /** How often an old order is sent again before its operator leaves it at no clear answer. */
  private static final int RESEND_TRIES = 4;

  private static final long LATE_MS = 5_000;
  private static final int SAME_NUMBER_ONE_IN = 4;

  /** A route as the operators keep it; pools with their weights. */
  record Route(String name, String host, String prefix, String type, Map<String, Integer> pools) {}

  /** One change, sent in the same words each time. */
  private record Order(String id, int operator, long number, long buildsOn, byte[] bytes) {}

  /** What becomes of one call on its way, besides what the fleet does to it. */
  private enum Passage {
    WHOLE,
    LOST,
    LATE,
    ANSWER_LOST
  }

  private final SimulatedFleet fleet;
  private final Simulation simulation;
  private final long waitingTokensMost;

  /** So many of 100 calls are lost, late, or lose their answer. */
  int callsLostPercent;

  private final List<Order> orders = new ArrayList<>();
  private final long[] knownTo = new long[OPERATORS];
  private int underWay;
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

  long newestAcknowledged() {
    return current;
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

  /** Orders of either operator at a pace, as long as no more are under way than may be. */
  void orders(int count, long everyMs) {
    for (int index = 0; index < count; index++) {
      simulation.afterMs(index * everyMs, this::orderUnlessBusy);
    }
  }

  private void orderUnlessBusy() {
    if (underWay < UNDER_WAY_MOST) {
      int operator = simulation.random.nextInt(OPERATORS);
      alter();
      begin(order(operator, knownTo[operator], false));
    }
  }

  /** Old orders, whatever became of them, as they were: an operator that has lost track. */
  void resend(int count) {
    for (int index = 0; index < count; index++) {
      Order old = orders.get(simulation.random.nextInt(orders.size()));
      trySend(old, simulation.simulatedNowMs(), 0, RESEND_TRIES);
    }
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
    begin(order(0, current, invalid));
  }

  private long nextNumber(long base) {
    Order last = orders.isEmpty() ? null : orders.get(orders.size() - 1);
    if (last != null
        && last.buildsOn() == base
        && simulation.random.nextInt(SAME_NUMBER_ONE_IN) == 0) {
      return last.number();
    }
    newest += 1 + simulation.random.nextInt(3);
    return newest;
  }

  private Order order(int operator, long base, boolean invalid) {
    String id = "c" + ++changes;
    long number = nextNumber(base);
    Order order = new Order(id, operator, number, base, Json.bytes(bundle(number, invalid)));
    orders.add(order);
    changeOfBytes.put(new String(order.bytes(), UTF_8), id);
    routesOf.put(id, List.copyOf(routes.values()));
    simulation.history.add(
        simulation.simulatedNowMs(),
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
                    simulation.simulatedNowMs(),
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
    return order;
  }

  private void begin(Order order) {
    underWay++;
    trySend(order, simulation.simulatedNowMs(), 0, Integer.MAX_VALUE);
  }

  private void trySend(Order order, long begunMs, int tries, int triesMost) {
    long sentMs = simulation.simulatedNowMs();
    call(
        order,
        SILENCE_MS * (1 + Math.min(tries, 12) / 3),
        response -> {
          int status = response == null ? 0 : response.status();
          simulation.history.add(
              simulation.simulatedNowMs(),
              Kind.CHANGE_ANSWERED,
              order.id(),
              response == null ? "" : response.errorType(),
              Long.toString(sentMs),
              status);
          boolean clear = status > 0 && status < 500 && status != 408 && status != 429;
          if (!clear && tries + 1 < triesMost) {
            simulation.afterMs(
                PAUSE_MS * Math.min(8, tries + 1),
                () -> trySend(order, begunMs, tries + 1, triesMost));
            return;
          }
          if (triesMost == Integer.MAX_VALUE) {
            underWay--;
          }
          if (status == 200) {
            acknowledged(order, begunMs);
          } else if (clear) {
            refused++;
            lookForNewest(order.operator());
          }
        });
  }

  private void acknowledged(Order order, long begunMs) {
    acknowledged++;
    if (acknowledged == 1) {
      firstYesMs = simulation.simulatedNowMs() - begunMs;
    } else {
      slowestYesMs = Math.max(slowestYesMs, simulation.simulatedNowMs() - begunMs);
    }
    knownTo[order.operator()] = Math.max(knownTo[order.operator()], order.number());
    if (order.number() > current) {
      current = order.number();
      inUse = routesOf.get(order.id());
    }
    fleet.clientEventListener.accept("change", (long) acknowledged);
  }

  /** Gives the answer, or null if none comes in time. */
  private void call(Order order, long patienceMs, Consumer<Response> then) {
    Passage passage = passage();
    boolean[] over = new boolean[1];
    Consumer<Response> once =
        response -> {
          if (!over[0]) {
            over[0] = true;
            then.accept(response);
          }
        };
    if (passage != Passage.WHOLE) {
      simulation.afterMs(patienceMs, () -> once.accept(null));
    }
    if (passage == Passage.LOST) {
      return;
    }
    long delayMs = passage == Passage.LATE ? simulation.random.nextLong(LATE_MS) : 0;
    Runnable deliver =
        () ->
            fleet.command(
                fleet.anyControlPlaneNode(),
                patienceMs,
                Operation.SET_CONFIGURATION,
                "bundle",
                fleet.signed(order.bytes(), order.buildsOn()),
                passage == Passage.ANSWER_LOST ? response -> {} : once);
    if (delayMs > 0) {
      simulation.afterMs(delayMs, deliver);
    } else {
      deliver.run();
    }
  }

  private Passage passage() {
    if (callsLostPercent == 0 || simulation.random.nextInt(100) >= callsLostPercent) {
      return Passage.WHOLE;
    }
    return Passage.values()[1 + simulation.random.nextInt(Passage.values().length - 1)];
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
          .put("slots", ProxyWorkers.SLOTS)
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
    read(number -> {});
    simulation.afterMs(READ_EVERY_MS, this::readBack);
  }

  /** An operator that was refused builds on what is in force now. */
  private void lookForNewest(int operator) {
    read(number -> knownTo[operator] = Math.max(knownTo[operator], number));
  }

  private void read(Consumer<Long> whenRead) {
    long begunMs = simulation.simulatedNowMs();
    fleet.command(
        fleet.anyControlPlaneNode(),
        SILENCE_MS,
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
