package applespindle.testfleet.capacity;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchInput;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.live.LiveRequest;
import applespindle.corelogic.live.LiveResponseListener;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.KeyPosition;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import applespindle.testfleet.capacity.MeasuredFleet.Change;
import applespindle.testfleet.capacity.MeasuredFleet.Machine;
import applespindle.testfleet.capacity.MeasuredFleet.Shape;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/** What each role's state and messages cost, each at three sizes or more. */
final class ScalingMeasurements {
  private interface Experiment {
    void run(int size, long seed);
  }

  private record Planned(int[] sizes, Experiment experiment) {}

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final long STEADY_MS = 8_000;

  /**
   * The serial collector leaves some of the dead lie and compacts everything at one in four of its
   * full collections.
   */
  private static final int FULL_COLLECTIONS = 4;

  /** Of the experiment on batches and nodes. */
  static final int OPEN_BATCHES = 16;

  private static final int BATCH_ITEMS = 40;
  private static final int LIVE_REQUESTS = 400;
  private static final int PIECES = 100;
  private final Measurements measured;
  private final Map<String, Planned> planned = new LinkedHashMap<>();

  ScalingMeasurements(Measurements measured) {
    this.measured = measured;
    plan("nodes", this::nodes, 25, 50, 100, 200);
    plan("workers", this::workers, 25, 50, 100, 200, 400);
    plan("change", this::change, 20, 40, 80);
    plan("routes", this::routes, 10, 100, 1000, 4000);
    plan("changes-a-minute", this::changesAMinute, 0, 6, 27, 60);
    plan("load-reads", this::loadReads, 25, 50, 100, 200);
    plan("live", this::live, 25, 50, 100, 200);
    plan("pieces", this::pieces, 1, 10, 100, 400);
    plan("tenants", this::tenants, 10, 100, 1000, 3100);
    plan("open-batches", this::openBatches, 1, 4, 16, 64);
    plan("batch-edges", this::batchEdges, 9, 18, 36, 72);
    plan("batch-items", this::batchItems, 100, 1000, 4000, 10000);
    plan("core-silent", this::coreSilent, 5, 10, 20, 40);
    plan("join-members", this::joinMembers, 100, 400, 1700);
    plan("join-workers", this::joinWorkers, 500, 1000, 2000, 4000);
    plan("join-routes", this::joinRoutes, 10, 100, 1000, 4000);
    plan("places", this::places, 10, 40, 160);
    plan("feeders", this::feeders, 100, 400, 1700);
  }

  private void plan(String name, Experiment experiment, int... sizes) {
    planned.put(name, new Planned(sizes, experiment));
  }

  List<String> names() {
    return List.copyOf(planned.keySet());
  }

  /** Each size with every seed; the first size runs once more before, to warm the code up. */
  void run(String name, int runs, int sizesMost) {
    Planned each = planned.get(name);
    int[] sizes = IntStream.of(each.sizes).limit(sizesMost).toArray();
    warmUp(each, sizes[0]);
    for (int size : sizes) {
      long begunAt = System.nanoTime();
      for (int run = 1; run <= runs; run++) {
        each.experiment.run(size, run);
      }
      System.out.printf(
          "%-18s %6d  %d runs in %.1f s%n", name, size, runs, (System.nanoTime() - begunAt) / 1e9);
    }
  }

  private boolean warming;

  private void warmUp(Planned each, int size) {
    warming = true;
    each.experiment.run(size, 99);
    warming = false;
  }

  private void add(
      String experiment,
      String role,
      String metric,
      String unit,
      String variable,
      double size,
      double value) {
    if (!warming) {
      measured.add(experiment, role, metric, unit, variable, size, value);
    }
  }

  // ---- a fleet at rest

  private static double mean(List<Machine> machines, ToDoubleFunction<Meter> figure) {
    return machines.stream()
        .mapToDouble(machine -> figure.applyAsDouble(machine.meter))
        .average()
        .orElse(0);
  }

  /** What a node of each role costs a second, as metered over the time given. */
  private void addRates(
      MeasuredFleet fleet, String experiment, String variable, double size, long millis) {
    double seconds = millis / 1000.0;
    for (String role : List.of("edge", "core", "storage")) {
      List<Machine> machines = fleet.ofRole(role);
      add(
          experiment,
          role,
          "processor",
          "ms/s",
          variable,
          size,
          mean(machines, meter -> meter.processorNanos / 1e6) / seconds);
      add(
          experiment,
          role,
          "sent",
          "B/s",
          variable,
          size,
          mean(machines, Meter::sentBytes) / seconds);
      add(
          experiment,
          role,
          "received",
          "B/s",
          variable,
          size,
          mean(machines, meter -> meter.receivedBytes) / seconds);
      add(
          experiment,
          role,
          "messages sent",
          "1/s",
          variable,
          size,
          mean(machines, Meter::sentMessages) / seconds);
      add(
          experiment,
          role,
          "disk",
          "B/s",
          variable,
          size,
          mean(machines, meter -> meter.diskBytes) / seconds);
    }
  }

  private static MeasuredFleet opened(Shape shape, long seed, int workers, byte[] bundle) {
    MeasuredFleet fleet = new MeasuredFleet(shape, seed);
    fleet.open(workers, bundle);
    return fleet;
  }

  private static byte[] plainBundle() {
    return MeasuredFleet.bundle(1, 1, 0);
  }

  private void nodes(int edges, long seed) {
    MeasuredFleet fleet = opened(Shape.of(edges), seed, 0, plainBundle());
    fleet.resetMeters();
    fleet.runFor(STEADY_MS);
    addRates(fleet, "nodes", "nodes", edges, STEADY_MS);
  }

  private void workers(int workers, long seed) {
    MeasuredFleet fleet = opened(Shape.of(10), seed, 0, plainBundle());
    fleet.resetMeters();
    fleet.listWorkers(workers, 3_600_000);
    add(
        "workers",
        "edge",
        "sent to list one worker",
        "B",
        "workers",
        workers,
        mean(fleet.edges, meter -> meter.sentBytes("KeysKnown")) / workers);
    fleet.runFor(2_000);
    fleet.resetMeters();
    fleet.runFor(STEADY_MS);
    addRates(fleet, "workers", "workers", workers, STEADY_MS);
  }

  /**
   * One change of a small bundle, with two workers for each node: the cost beyond that of resting.
   */
  private void change(int edges, long seed) {
    int workers = 2 * edges;
    MeasuredFleet fleet = opened(Shape.of(edges), seed, workers, plainBundle());
    List<Long> delays = new ArrayList<>();
    List<Long> acknowledged = new ArrayList<>();
    fleet.resetMeters();
    fleet.runFor(6_000);
    Map<String, double[]> resting = perRole(fleet);
    fleet.resetMeters();
    int changes = 3;
    for (int number = 2; number < 2 + changes; number++) {
      Change change = fleet.sendBundle(number, MeasuredFleet.bundle(number, 1, 0));
      fleet.runFor(6_000 / changes);
      delays.addAll(fleet.delaysOf(change));
      acknowledged.add(
          change.acknowledgedAtMs < 0 ? -1 : change.acknowledgedAtMs - change.sentAtMs);
    }
    Map<String, double[]> changing = perRole(fleet);
    for (String role : List.of("edge", "core")) {
      String[] metrics = {"processor for a change", "sent for a change", "received for a change"};
      String[] units = {"ms", "B", "B"};
      for (int index = 0; index < metrics.length; index++) {
        add(
            "change",
            role,
            metrics[index],
            units[index],
            "nodes (2 workers each)",
            edges,
            (changing.get(role)[index] - resting.get(role)[index]) / changes);
      }
    }
    add(
        "change",
        "edge",
        "known to it after (slowest)",
        "ms",
        "nodes (2 workers each)",
        edges,
        delays.stream().mapToLong(Long::longValue).max().orElse(-1));
    add(
        "change",
        "core",
        "acknowledged after (slowest)",
        "ms",
        "nodes (2 workers each)",
        edges,
        acknowledged.stream().mapToLong(Long::longValue).max().orElse(-1));
  }

  private static Map<String, double[]> perRole(MeasuredFleet fleet) {
    Map<String, double[]> figures = new LinkedHashMap<>();
    for (String role : List.of("edge", "core", "storage")) {
      List<Machine> machines = fleet.ofRole(role);
      figures.put(
          role,
          new double[] {
            mean(machines, meter -> meter.processorNanos / 1e6),
            mean(machines, Meter::sentBytes),
            mean(machines, meter -> meter.receivedBytes)
          });
    }
    return figures;
  }

  private void routes(int rules, long seed) {
    MeasuredFleet fleet = opened(Shape.of(10), seed, 5, MeasuredFleet.bundle(1, rules, 0));
    fleet.runFor(1_000);
    fleet.resetMeters();
    Change change = fleet.sendBundle(2, MeasuredFleet.bundle(2, rules, 0));
    fleet.runFor(2_000);
    add(
        "routes",
        "edge",
        "received for a change",
        "B",
        "routes",
        rules,
        mean(fleet.edges, meter -> meter.receivedBytes));
    add(
        "routes",
        "edge",
        "processor for a change",
        "ms",
        "routes",
        rules,
        mean(fleet.edges, meter -> meter.processorNanos / 1e6));
    add(
        "routes",
        "core",
        "processor for a change",
        "ms",
        "routes",
        rules,
        mean(fleet.ofRole("core"), meter -> meter.processorNanos / 1e6));
    add(
        "routes",
        "core",
        "disk for a change",
        "B",
        "routes",
        rules,
        mean(fleet.ofRole("core"), meter -> meter.diskBytes));
    add(
        "routes",
        "core",
        "sent for a change",
        "B",
        "routes",
        rules,
        mean(fleet.ofRole("core"), Meter::sentBytes));
    add(
        "routes",
        "core",
        "acknowledged after",
        "ms",
        "routes",
        rules,
        change.acknowledgedAtMs - change.sentAtMs);
  }

  private void changesAMinute(int changes, long seed) {
    MeasuredFleet fleet = opened(Shape.of(30), seed, 60, plainBundle());
    fleet.resetMeters();
    long millis = 20_000;
    int sent = Math.round(changes * millis / 60_000f);
    for (int index = 0; index < sent; index++) {
      fleet.sendBundle(2 + index, MeasuredFleet.bundle(2 + index, 1, 0));
      fleet.runFor(millis / sent);
    }
    if (sent == 0) {
      fleet.runFor(millis);
    }
    addRates(fleet, "changes-a-minute", "changes a minute", changes, millis);
  }

  // ---- live requests

  private void loadReads(int workers, long seed) {
    MeasuredFleet fleet = opened(new Shape(1, 1, 3, true, 8, 20), seed, workers, plainBundle());
    fleet.resetMeters();
    fleet.runFor(STEADY_MS);
    Meter meter = fleet.edges.get(0).meter;
    add(
        "load-reads",
        "edge",
        "reads of load",
        "1/s",
        "workers",
        workers,
        meter.loadReads * 1000.0 / STEADY_MS);
    add(
        "load-reads",
        "edge",
        "processor",
        "ms/s",
        "workers",
        workers,
        meter.processorNanos / 1e6 * 1000 / STEADY_MS);
  }

  private void live(int workers, long seed) {
    MeasuredFleet fleet = opened(new Shape(1, 1, 3, true, 8, 20), seed, workers, plainBundle());
    add(
        "live",
        "edge",
        "processor for a request",
        "us",
        "workers",
        workers,
        liveMicros(fleet, "sender", 1));
  }

  private void pieces(int pieces, long seed) {
    MeasuredFleet fleet = opened(new Shape(1, 1, 3, true, 8, 20), seed, 25, plainBundle());
    fleet.workerOutput = IntStream.range(0, pieces).mapToObj(index -> "word ").toList();
    add(
        "pieces",
        "edge",
        "processor for a request",
        "us",
        "pieces of output",
        pieces,
        liveMicros(fleet, "sender", 1));
  }

  private void tenants(int tenants, long seed) {
    MeasuredFleet fleet =
        opened(new Shape(1, 1, 3, true, 8, 20), seed, 25, MeasuredFleet.bundle(1, 0, tenants));
    add(
        "tenants",
        "edge",
        "processor for a request",
        "us",
        "tenants",
        tenants,
        liveMicros(fleet, "tenant-", tenants));
  }

  /**
   * Processor time of one request in the logic, without HTTP, beyond that of the edge's own beats.
   */
  private static double liveMicros(MeasuredFleet fleet, String sender, int senders) {
    Machine edge = fleet.edges.get(0);
    fleet.runFor(1_000);
    fleet.resetMeters();
    fleet.runFor(LIVE_REQUESTS * 10L);
    long resting = edge.meter.processorNanos;
    fleet.resetMeters();
    int[] served = new int[1];
    String prompt =
        "Write in the usual form of the office, with greeting, place and hour of the event. "
            .repeat(8);
    for (int index = 0; index < LIVE_REQUESTS; index++) {
      String from = senders == 1 ? sender : sender + index * 7919 % senders;
      ObjectNode body =
          JSON.createObjectNode()
              .put("prompt", prompt + index)
              .put("max_tokens", 100)
              .put("stream", true);
      var request = new LiveRequest(from, null, "note", Map.of(), prompt + index, body, true, "");
      edge.enter(
          () ->
              ((EdgeNode) edge.node)
                  .complete(
                      request,
                      new LiveResponseListener() {
                        @Override
                        public void text(String text) {}

                        @Override
                        public void end(String wholeOutput, String finishReason) {
                          served[0]++;
                        }

                        @Override
                        public void fail(Response response, boolean cut) {
                          throw new IllegalStateException(
                              "a request was refused: " + response.errorType());
                        }
                      }));
      fleet.runFor(10);
    }
    fleet.runFor(100);
    if (served[0] != LIVE_REQUESTS) {
      throw new IllegalStateException(
          "only " + served[0] + " of " + LIVE_REQUESTS + " requests were served");
    }
    return (edge.meter.processorNanos - resting) / 1e3 / LIVE_REQUESTS;
  }

  // ---- batches

  private static BatchInput batch(int items) {
    ObjectNode input = JSON.createObjectNode().put("due_in_ms", 3_600_000);
    var rows = input.putArray("items");
    String shared =
        "In the usual form of the office, with greeting, place and hour of the event. ".repeat(4);
    for (int index = 0; index < items; index++) {
      rows.addObject()
          .put("id", "i" + index)
          .put("prompt", shared + "Guest " + index)
          .put("max_tokens", 40);
    }
    return BatchInput.read(Json.bytes(input)).value();
  }

  private static void submit(
      MeasuredFleet fleet, Machine edge, String key, int items, Runnable whenTaken) {
    BatchInput input = batch(items);
    edge.enter(
        () ->
            ((EdgeNode) edge.node)
                .submit(
                    "sender",
                    key,
                    input,
                    response -> {
                      if (!response.isSuccess()) {
                        throw new IllegalStateException(
                            "a batch was refused: " + response.errorType());
                      }
                      whenTaken.run();
                    }));
  }

  /** Batches that wait for room: no worker is listed. */
  private MeasuredFleet withOpenBatches(int edges, int batches, long seed) {
    MeasuredFleet fleet = opened(Shape.of(edges), seed, 0, plainBundle());
    int[] taken = new int[1];
    for (int index = 0; index < batches; index++) {
      submit(
          fleet, fleet.edges.get(index % edges), "batch-" + index, BATCH_ITEMS, () -> taken[0]++);
    }
    if (!fleet.runUntil(() -> taken[0] == batches, 60_000)) {
      throw new IllegalStateException(
          "only " + taken[0] + " of " + batches + " batches were taken");
    }
    fleet.runFor(1_000);
    fleet.resetMeters();
    fleet.runFor(STEADY_MS);
    return fleet;
  }

  private void openBatches(int batches, long seed) {
    addRates(withOpenBatches(9, batches, seed), "open-batches", "open batches", batches, STEADY_MS);
  }

  private void batchEdges(int edges, long seed) {
    addRates(
        withOpenBatches(edges, OPEN_BATCHES, seed),
        "batch-edges",
        "nodes (16 open batches)",
        edges,
        STEADY_MS);
  }

  /**
   * One batch from submission to its end; what it leaves in a storage node's heap, and what a
   * takeover reads.
   */
  private void batchItems(int items, long seed) {
    MeasuredFleet fleet = opened(new Shape(3, 1, 3, true, 64, 20), seed, 4, plainBundle());
    List<AppendRequest> appends = new ArrayList<>();
    String[] batch = new String[1];
    fleet.sentFrames =
        (from, envelope) -> {
          if (envelope.message() instanceof AppendRequest append
              && append.key().startsWith("batch/")
              && !append.entries().isEmpty()) {
            batch[0] = append.key();
            appends.add(append);
          }
        };
    long[] takenAt = new long[1];
    fleet.resetMeters();
    long begunAt = fleet.nowMs();
    submit(fleet, fleet.edges.get(0), "one", items, () -> takenAt[0] = fleet.nowMs());
    require(fleet.runUntil(() -> takenAt[0] > 0, 60_000), "the batch was not taken");
    String name = batch[0].substring("batch/".length());
    boolean[] finished = new boolean[1];
    require(
        fleet.runUntil(
            () -> {
              Machine edge = fleet.edges.get(0);
              edge.enter(
                  () ->
                      ((EdgeNode) edge.node)
                          .readBatch(
                              name,
                              response ->
                                  finished[0] |=
                                      response.body().path("state").asText().equals("finished")));
              return finished[0];
            },
            3_600_000),
        "the batch did not finish");
    double edgesNanos =
        fleet.edges.stream().mapToLong(machine -> machine.meter.processorNanos).sum();
    double storageNanos =
        fleet.ofRole("storage").stream().mapToLong(machine -> machine.meter.processorNanos).sum()
            / 3.0;
    add(
        "batch-items",
        "edge",
        "processor for an item (all edges)",
        "us",
        "items in a batch",
        items,
        edgesNanos / 1e3 / items);
    add(
        "batch-items",
        "edge",
        "sent for an item (all edges)",
        "B",
        "items in a batch",
        items,
        fleet.edges.stream().mapToLong(machine -> machine.meter.sentBytes()).sum()
            / (double) items);
    add(
        "batch-items",
        "storage",
        "processor for an item",
        "us",
        "items in a batch",
        items,
        storageNanos / 1e3 / items);
    add(
        "batch-items",
        "storage",
        "disk for an item",
        "B",
        "items in a batch",
        items,
        mean(fleet.ofRole("storage"), meter -> meter.diskBytes) / items);
    add(
        "batch-items",
        "edge",
        "time to the end",
        "ms",
        "items in a batch",
        items,
        fleet.nowMs() - begunAt);
    add(
        "batch-items",
        "storage",
        "largest frame taken",
        "B",
        "items in a batch",
        items,
        appends.stream().mapToInt(IsolatedNode::bytesOf).max().orElse(0));
    List<AppendRequest> ofOneReplica = firstOfEach(appends);
    add(
        "batch-items",
        "storage",
        "heap for an item",
        "B",
        "items in a batch",
        items,
        heapOf(
                () -> {
                  IsolatedNode storage = IsolatedNode.storage();
                  ofOneReplica.forEach(storage::tell);
                  return storage;
                })
            / items);
  }

  private static List<AppendRequest> firstOfEach(List<AppendRequest> appends) {
    Map<Long, AppendRequest> byLast = new LinkedHashMap<>();
    appends.forEach(
        append ->
            byLast.putIfAbsent(
                append.entries().get(append.entries().size() - 1).sequence(), append));
    return List.copyOf(byLast.values());
  }

  private static void require(boolean condition, String otherwise) {
    if (!condition) {
      throw new IllegalStateException(otherwise);
    }
  }

  // ---- without the core

  /** Every core process silent: edges ask each other for news. */
  private void coreSilent(int edges, long seed) {
    MeasuredFleet fleet = opened(Shape.of(edges), seed, 2 * edges, plainBundle());
    fleet.cut = link -> link.from().role.equals("core") || link.to().role.equals("core");
    fleet.runFor(1_500);
    fleet.resetMeters();
    fleet.runFor(3_000);
    List<Machine> machines = fleet.edges;
    add(
        "core-silent",
        "edge",
        "sent",
        "B/s",
        "nodes (2 workers each)",
        edges,
        mean(machines, Meter::sentBytes) / 3);
    add(
        "core-silent",
        "edge",
        "processor",
        "ms/s",
        "nodes (2 workers each)",
        edges,
        mean(machines, meter -> meter.processorNanos / 1e6) / 3);
  }

  // ---- one node alone

  /** Bytes that stay reachable through what the supplier makes. */
  private static double heapOf(Supplier<Object> maker) {
    long before = usedHeap();
    Object kept = maker.get();
    long after = usedHeap();
    java.lang.ref.Reference.reachabilityFence(kept);
    return after - before;
  }

  private static long usedHeap() {
    for (int round = 0; round < FULL_COLLECTIONS; round++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private void joined(String experiment, String variable, int size, List<MetadataRecord> items) {
    Message checkpoint = IsolatedNode.checkpoint(items);
    long[] nanos = new long[1];
    double heap =
        heapOf(
            () -> {
              IsolatedNode edge = IsolatedNode.edge();
              edge.tell(IsolatedNode.roster());
              long begun = THREADS.getCurrentThreadCpuTime();
              edge.tell(checkpoint);
              nanos[0] = THREADS.getCurrentThreadCpuTime() - begun;
              return edge;
            });
    add(experiment, "edge", "heap", "B", variable, size, heap);
    add(experiment, "edge", "processor to take all in", "ms", variable, size, nanos[0] / 1e6);
    add(
        experiment,
        "edge",
        "received to take all in",
        "B",
        variable,
        size,
        IsolatedNode.bytesOf(checkpoint));
  }

  private void joinMembers(int members, long seed) {
    joined("join-members", "nodes", members, IsolatedNode.members(members));
  }

  private void joinWorkers(int workers, long seed) {
    joined("join-workers", "workers", workers, IsolatedNode.workers(workers));
  }

  private void joinRoutes(int rules, long seed) {
    joined(
        "join-routes",
        "routes",
        rules,
        List.of(IsolatedNode.bundle(1, MeasuredFleet.bundle(1, rules, 0))));
  }

  /** What a core node keeps of what each edge says it knows, with 200 workers listed. */
  private void places(int edges, long seed) {
    int workers = 200;
    List<KeyPosition> places =
        IntStream.range(0, workers)
            .mapToObj(index -> new KeyPosition("worker/w" + index, 1))
            .toList();
    double heap =
        heapOf(
            () -> {
              IsolatedNode core = IsolatedNode.core();
              for (int index = 0; index < edges; index++) {
                core.tell(
                    new Message.AppliedPositions(
                        "10.1." + index / 250 + "." + index % 250 + ":7001", places));
              }
              return core;
            });
    add(
        "places",
        "core",
        "heap for a pair of node and worker",
        "B",
        "nodes (200 workers)",
        edges,
        heap / edges / workers);
    add(
        "places",
        "edge",
        "sent to one core node for a change",
        "B",
        "nodes (200 workers)",
        edges,
        IsolatedNode.bytesOf(new Message.AppliedPositions("10.1.0.1:7001", places)));
  }

  /** The choice of a worker's feeder, made anew for every worker when a member comes or goes. */
  private void feeders(int members, long seed) {
    List<String> ids =
        IntStream.range(0, members).mapToObj(index -> String.format("%012x", index)).toList();
    int workers = 200;
    long begun = THREADS.getCurrentThreadCpuTime();
    for (int worker = 0; worker < workers; worker++) {
      RendezvousHashing.first("feeder/w" + worker, ids);
    }
    add(
        "feeders",
        "edge",
        "processor for a worker",
        "us",
        "nodes",
        members,
        (THREADS.getCurrentThreadCpuTime() - begun) / 1e3 / workers);
  }
}
