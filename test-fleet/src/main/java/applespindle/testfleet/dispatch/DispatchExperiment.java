package applespindle.testfleet.dispatch;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.batch.ProxiedBatch;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.live.ProxiedResponseListener;
import applespindle.corelogic.live.RequestHandle;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.protocol.Operation;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.simulation.ProxyWorkers;
import applespindle.testfleet.simulation.ProxyWorkers.Worker;
import applespindle.testfleet.simulation.SimulatedPlatform;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import applespindle.testfleet.simulation.Simulation.Caller;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Runs the traffic of a {@link DispatchShape} on simulated time with the real nodes and counts the
 * requests that meet their targets, and what delayed the others. The load is the same for the same
 * seed, whatever the nodes do.
 */
final class DispatchExperiment {
  static final long TRAFFIC_FROM_MS = 12_000;
  private static final double FIRST_EVENT_TARGET_MS = 300;
  private static final double GAP_TARGET_MS = 200;
  private static final double BATCH_TARGET_MS = 8_000;
  private static final int STREAM_TIMEOUT_MS = 2_000;
  private static final String POOL = "main";
  private static final String HOST = "h.example";
  private static final long CACHED_TOKENS = 305_000;
  private static final int TOKENS_PER_EVENT = 19;

  /** A fault of the workers or a burst of load, in time since the beginning of the traffic. */
  record Fault(Kind kind, long fromMs, long untilMs, double size) {
    enum Kind {
      DARK,
      BURST,
      BATCH_BURST
    }
  }

  private final DispatchShape shape;
  private final long trafficMs;
  private final List<Fault> faults;
  private final Simulation simulation;

  /** Draws the load only, so that it does not depend on what the nodes draw. */
  private final SplittableRandom load;

  /** Filled while the simulation runs. */
  private final DispatchResult result = new DispatchResult();

  /** By zone. */
  private final List<List<SimulatedProcess>> edges = new ArrayList<>();

  /** By zone and client, the edge that the client always calls. */
  private final List<List<SimulatedProcess>> edgeOfClient = new ArrayList<>();

  /** By id, when the batch of an item was submitted. */
  private final Map<String, Long> itemSentMs = new HashMap<>();

  private long ids;

  DispatchExperiment(DispatchShape shape, long trafficMs, List<Fault> faults, long seed) {
    this.shape = shape;
    this.trafficMs = trafficMs;
    this.faults = faults;
    this.simulation = new Simulation(seed, Map.of(), Deployment.AUTHORITY.pace);
    this.load = new SplittableRandom(seed);
  }

  DispatchResult run() {
    build();
    simulation.runUntil(8_000);
    configure();
    simulation.runUntil(TRAFFIC_FROM_MS);
    long messagesBefore = simulation.messages();
    for (int zone = 0; zone < shape.zones(); zone++) {
      scheduleTraffic(zone, "check", shape.checksPerS() * shape.weights().get(zone));
      scheduleTraffic(zone, "note", shape.notesPerS() * shape.weights().get(zone));
    }
    scheduleBatches();
    faults.forEach(this::schedule);
    simulation.runUntil(TRAFFIC_FROM_MS + trafficMs);
    result.peerMessages = simulation.messages() - messagesBefore;
    simulation.runUntil(TRAFFIC_FROM_MS + trafficMs + (long) BATCH_TARGET_MS);
    result.readTokens = simulation.platform.workers.readTokens;
    result.promptTokens = simulation.platform.workers.promptedTokens;
    return result;
  }

  // ---- fleet

  private void build() {
    simulation.platform = new SimulatedPlatform(simulation, 2, 800, 210);
    simulation.platform.workers.engine = shape.engine();
    simulation.platform.workers.paces = shape.paces();
    simulation.platform.workers.watcher = this::observeAtWorker;
    List<String> seeds = List.of("core-0", "core-1", "core-2");
    List<SimulatedProcess> all = new ArrayList<>();
    for (int index = 0; index < 5; index++) {
      all.add(simulation.add("core-" + index, zone(index), "core", seeds, true));
      all.add(simulation.add("storage-" + index, zone(index), "storage", seeds, true));
    }
    for (int zone = 0; zone < shape.zones(); zone++) {
      List<SimulatedProcess> inZone = new ArrayList<>();
      for (int index = 0; index < shape.edges().get(zone); index++) {
        inZone.add(simulation.add("edge-" + zone + "-" + index, zone(zone), "edge", seeds, false));
      }
      edges.add(inZone);
      all.addAll(inZone);
      List<SimulatedProcess> ofClients = new ArrayList<>();
      for (int client = 0; client < shape.clients().get(zone); client++) {
        ofClients.add(inZone.get(load.nextInt(inZone.size())));
      }
      edgeOfClient.add(ofClients);
      for (int worker = 0; worker < shape.workers().get(zone); worker++) {
        simulation.platform.join(POOL, zone(zone));
      }
    }
    all.forEach(process -> simulation.atMs(load.nextInt(300), process::start));
  }

  private String zone(int index) {
    return "zone-" + index % shape.zones();
  }

  private void configure() {
    ObjectNode configuration = Json.JSON.createObjectNode().put("number", 1);
    configuration
        .putObject("pools")
        .putObject(POOL)
        .put("prefixBlockChars", 64)
        .put("prefixBlocks", 4)
        .put("loadFactor", 1.5)
        .put("slots", shape.engine().slots())
        .put("connectionsMost", 510)
        .put("keptTokensMost", CACHED_TOKENS);
    configuration.putArray("rules");
    ObjectNode limits = configuration.putObject("limits");
    limits.putObject("classes").putObject("live").put("rank", 0).put("queueMost", 0);
    limits
        .putObject("batch")
        .put("pool", POOL)
        .put("waitingItemsMost", 0)
        .put("perWorkerMost", 0)
        .put("liveReserve", 0)
        .put("cancelForLive", true)
        .put("itemExpiryMs", 3_600_000)
        .putNull("retentionMs");
    ArrayNode routes = configuration.putArray("routes");
    route(routes, "stream", "STREAM", 1, 0, 0);
    route(routes, "resumable", "STREAM", 2, 0, 0);
    route(routes, "batch", "BATCH", 3, 2, (long) BATCH_TARGET_MS);
    call(
        simulation.processes.get("core-0"),
        (Consumer<Response> then) ->
            ((ControlPlaneNode) simulation.processes.get("core-0").node())
                .command(
                    Operation.SET_CONFIGURATION,
                    "bundle",
                    new SignedConfiguration(0, Json.bytes(configuration), "", new byte[0], 0L),
                    then),
        response -> {
          if (!response.isSuccess()) {
            throw new IllegalStateException("the configuration was refused: " + response);
          }
        });
  }

  private static void route(
      ArrayNode routes, String name, String type, int attempts, int rank, long completionMs) {
    ObjectNode route =
        routes
            .addObject()
            .put("name", name)
            .put("host", HOST)
            .put("pathPrefix", "/" + name + "/")
            .put("type", type)
            .put("timeoutMs", completionMs > 0 ? 8_000 : STREAM_TIMEOUT_MS)
            .put("targetMs", (int) FIRST_EVENT_TARGET_MS)
            .put("gapTargetMs", (int) GAP_TARGET_MS)
            .put("attempts", attempts)
            .put("rank", rank)
            .put("sticky", true)
            .put("resumable", !name.equals("stream"))
            .put("completionTargetMs", completionMs)
            .put("retentionMs", completionMs * 5)
            .put("waitingTokensMost", completionMs > 0 ? 1_500_000 : 0);
    route.putArray("split").addObject().put("pool", POOL).put("weight", 1);
  }

  private <T> void call(
      SimulatedProcess process, Consumer<Consumer<T>> question, Consumer<T> whenAnswered) {
    simulation.call(
        process,
        question,
        new Caller<T>() {
          @Override
          public void answered(T answer) {
            whenAnswered.accept(answer);
          }

          @Override
          public void broken(boolean neverReached) {}
        });
  }

  // ---- faults

  private void schedule(Fault fault) {
    if (fault.kind() != Fault.Kind.DARK) {
      return;
    }
    List<Worker> hit =
        simulation.platform.workers.present().stream()
            .filter(worker -> load.nextDouble() < fault.size())
            .toList();
    simulation.atMs(
        TRAFFIC_FROM_MS + fault.fromMs(),
        () -> hit.forEach(worker -> worker.become(ProxyWorkers.Condition.DARK)));
    simulation.atMs(
        TRAFFIC_FROM_MS + fault.untilMs(),
        () -> hit.forEach(worker -> worker.become(ProxyWorkers.Condition.WELL)));
  }

  private double burst(String kind) {
    long now = simulation.simulatedNowMs() - TRAFFIC_FROM_MS;
    Fault.Kind wanted = kind.equals("batch") ? Fault.Kind.BATCH_BURST : Fault.Kind.BURST;
    if (kind.equals("note")) {
      return 1;
    }
    return faults.stream()
        .filter(each -> each.kind() == wanted)
        .filter(each -> now >= each.fromMs() && now < each.untilMs())
        .mapToDouble(Fault::size)
        .findFirst()
        .orElse(1);
  }

  // ---- live requests

  private void scheduleTraffic(int zone, String kind, double perS) {
    double phase = load.nextDouble();
    SplittableRandom own = load.split();
    simulation.atMs(TRAFFIC_FROM_MS, () -> sendNext(zone, kind, perS, phase, own));
  }

  private void sendNext(int zone, String kind, double perS, double phase, SplittableRandom own) {
    if (simulation.simulatedNowMs() >= TRAFFIC_FROM_MS + trafficMs) {
      return;
    }
    double turn = simulation.simulatedNowMs() / shape.wavePeriodMs() + phase;
    double rate =
        perS * burst(kind) * (1 + shape.swing() * Math.sin(2 * Math.PI * turn)) / shape.clump();
    int together = 1;
    while (own.nextDouble() > 1 / shape.clump()) {
      together++;
    }
    for (int index = 0; index < together; index++) {
      new LiveRequest(zone, kind, own).send();
    }
    simulation.afterMs(
        -Math.log(1 - own.nextDouble()) * 1_000 / rate,
        () -> sendNext(zone, kind, perS, phase, own));
  }

  private static int spread(SplittableRandom random, double mean, double sigma, int most) {
    double gauss = random.doubles(12).sum() - 6;
    double drawn = mean * Math.exp(sigma * gauss - sigma * sigma / 2);
    return (int) Math.max(1, Math.min(most, Math.round(drawn)));
  }

  private final class LiveRequest implements ProxiedResponseListener {
    final DispatchResult.Kind kind;
    final SimulatedProcess edge;
    final ProxiedRequest request;
    final int tokens;
    final double sentMs = simulation.nowUs() / 1_000.0;
    double lastMs = sentMs;
    boolean first = true;
    boolean late;

    LiveRequest(int zone, String kind, SplittableRandom own) {
      boolean check = kind.equals("check");
      List<SimulatedProcess> choice = edgeOfClient.get(zone);
      this.kind = check ? result.checks : result.notes;
      this.edge = choice.get(own.nextInt(choice.size()));
      String id = "q" + ++ids;
      int events = check ? spread(own, 1.5, 0.9, 6) : spread(own, 9, 0.7, 31);
      this.tokens = TOKENS_PER_EVENT * events;
      List<PromptPart> prompt =
          List.of(
              new PromptPart((check ? "c" : "n") + own.nextInt(check ? 16 : 40), check ? 341 : 210),
              new PromptPart(
                  (check ? "cs" : "ns") + own.nextInt(check ? 4_124 : 593), check ? 227 : 140),
              new PromptPart(id, spread(own, check ? 1_800 : 1_110, 0.9, check ? 6_870 : 3_790)));
      this.request =
          new ProxiedRequest(
              id,
              "POST",
              (check ? "/stream/" : "/resumable/") + id,
              HOST,
              List.of(new Header("Content-Type", "text/plain")),
              ("body-" + id + "." + tokens).getBytes(UTF_8),
              check ? 2_000 : 4_000,
              "m",
              prompt.stream().mapToInt(PromptPart::tokens).sum(),
              tokens,
              prompt,
              "");
      this.kind.asked++;
    }

    void send() {
      simulation.call(
          edge,
          (Consumer<Runnable> then) -> {
            RequestHandle ignored = ((EdgeNode) edge.node()).proxy(request, this);
          },
          new Caller<Runnable>() {
            @Override
            public void answered(Runnable answer) {}

            @Override
            public void broken(boolean neverReached) {
              over(false);
            }
          });
    }

    @Override
    public void head(ResponseHead head) {}

    @Override
    public void chunk(ResponseChunk chunk) {
      double nowMs = simulation.nowUs() / 1_000.0;
      if (first) {
        first = false;
        kind.firstMs.add(nowMs - sentMs);
        late = nowMs - sentMs > FIRST_EVENT_TARGET_MS;
      } else {
        late |= nowMs - lastMs > GAP_TARGET_MS;
      }
      lastMs = nowMs;
    }

    @Override
    public void end() {
      over(!late && !first);
    }

    @Override
    public void truncated(ApiError error) {
      over(false);
    }

    @Override
    public void rejected(Response response) {
      kind.refused++;
      over(false);
    }

    private void over(boolean inTime) {
      kind.inTime += inTime ? 1 : 0;
      result.countInWindow((long) ((sentMs - TRAFFIC_FROM_MS) / 2_000), inTime);
    }
  }

  /** Counts a live request that reaches a worker, and whether it waits while another is idle. */
  private void observeAtWorker(Worker worker, String edgeZone, ProxiedRequest request) {
    if (request.target().startsWith("/batch/")) {
      return;
    }
    result.live++;
    result.liveOtherZone += worker.zone.equals(edgeZone) ? 0 : 1;
    if (worker.inWork() < worker.slots) {
      return;
    }
    result.liveWaited++;
    result.liveWaitedBehindItems += worker.itemsRunning() >= worker.slots / 2 ? 1 : 0;
    boolean idle =
        simulation.platform.workers.present().stream()
            .anyMatch(
                each ->
                    each.condition == ProxyWorkers.Condition.WELL
                        && each.inWork() < each.slots - 1);
    result.liveWaitedWhileOthersIdle += idle ? 1 : 0;
  }

  // ---- batches

  private void scheduleBatches() {
    SplittableRandom own = load.split();
    simulation.atMs(TRAFFIC_FROM_MS, () -> submitNextBatch(own));
  }

  private void submitNextBatch(SplittableRandom own) {
    if (simulation.simulatedNowMs() >= TRAFFIC_FROM_MS + trafficMs) {
      return;
    }
    String batchId = "b" + ++ids;
    List<ProxiedBatch.Item> rows = new ArrayList<>();
    int items = spread(own, shape.batchItems(), 0.5, 150);
    for (int index = 0; index < items; index++) {
      rows.add(item(batchId + "-" + index, own));
    }
    ProxiedBatch batch = new ProxiedBatch(batchId, HOST, "/batch/" + batchId, rows);
    List<SimulatedProcess> zone = edges.get(own.nextInt(shape.zones()));
    SimulatedProcess edge = zone.get(own.nextInt(zone.size()));
    result.items += items;
    this.<Response>call(
        edge,
        then -> ((EdgeNode) edge.node()).submitProxiedBatch(BatchSubmission.of(batch), "", then),
        response -> {});
    simulation.afterMs(
        -Math.log(1 - own.nextDouble()) * 1_000 / (shape.batchesPerS() * burst("batch")),
        () -> submitNextBatch(own));
  }

  private ProxiedBatch.Item item(String id, SplittableRandom own) {
    int tokens = TOKENS_PER_EVENT * spread(own, 35, 0.5, 77);
    List<PromptPart> prompt =
        List.of(
            new PromptPart("i" + own.nextInt(30), 432),
            new PromptPart(id, spread(own, 768, 0.5, 4_370)));
    itemSentMs.put(id, simulation.simulatedNowMs());
    simulation.platform.workers.whenDone.put(
        id,
        () -> {
          boolean inTime = simulation.simulatedNowMs() - itemSentMs.get(id) <= BATCH_TARGET_MS;
          result.itemsInTime += inTime ? 1 : 0;
        });
    return new ProxiedBatch.Item(
        id,
        "/batch/plain/" + id,
        List.of(new Header("Content-Type", "text/plain")),
        ("body-" + id + "." + tokens).getBytes(UTF_8),
        prompt.stream().mapToInt(PromptPart::tokens).sum() + tokens);
  }
}
