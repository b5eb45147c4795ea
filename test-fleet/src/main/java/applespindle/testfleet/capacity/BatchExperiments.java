package applespindle.testfleet.capacity;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.batch.BatchInput;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.testfleet.capacity.MeasuredFleet.Machine;
import applespindle.testfleet.capacity.MeasuredFleet.Shape;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** Experiments on batches: open ones that wait for room, and one from its submission to its end. */
final class BatchExperiments {
  private static final long STEADY_MS = 8_000;

  /** How many batches are open in the experiment on batches and nodes. */
  static final int OPEN_BATCHES = 16;

  private static final int BATCH_ITEMS = 40;
  private static final String BATCH_KEY_PREFIX = "batch/";

  private final ExperimentMeasurements measurements;

  BatchExperiments(ExperimentMeasurements measurements) {
    this.measurements = measurements;
  }

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

  private static void submit(Machine edge, String key, int items, Runnable whenTaken) {
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
    MeasuredFleet fleet =
        MeasuredFleet.opened(Shape.of(edges), seed, 0, SyntheticConfiguration.minimal());
    int[] taken = new int[1];
    for (int index = 0; index < batches; index++) {
      submit(fleet.edges.get(index % edges), "batch-" + index, BATCH_ITEMS, () -> taken[0]++);
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

  void openBatches(int batches, long seed) {
    ExperimentFigures figures = measurements.at("open-batches", "open batches", batches);
    figures.addRates(withOpenBatches(9, batches, seed), STEADY_MS);
  }

  void batchEdges(int edges, long seed) {
    ExperimentFigures figures = measurements.at("batch-edges", "nodes (16 open batches)", edges);
    figures.addRates(withOpenBatches(edges, OPEN_BATCHES, seed), STEADY_MS);
  }

  /**
   * Runs one batch from its submission to its end. Measures too what it leaves in the heap of a
   * storage node, and the largest frame of a takeover.
   */
  void batchItems(int items, long seed) {
    ExperimentFigures figures = measurements.at("batch-items", "items in a batch", items);
    MeasuredFleet fleet =
        MeasuredFleet.opened(
            new Shape(3, 1, 3, true, 64, 20), seed, 4, SyntheticConfiguration.minimal());
    List<AppendRequest> appends = recordAppends(fleet);
    fleet.resetMeters();
    long begunAt = fleet.nowMs();
    runBatch(fleet, items, appends);
    addCostOfAnItem(figures, fleet, items);
    figures.add("edge", "time to the end", "ms", fleet.nowMs() - begunAt);
    int largestFrame = appends.stream().mapToInt(IsolatedNode::bytesOf).max().orElse(0);
    figures.add("storage", "largest frame taken", "B", largestFrame);
    figures.add("storage", "heap for an item", "B", storageHeap(firstOfEach(appends)) / items);
  }

  /** Every append of batch entries that a node of the fleet sends from now on, as it is sent. */
  private static List<AppendRequest> recordAppends(MeasuredFleet fleet) {
    List<AppendRequest> appends = new ArrayList<>();
    fleet.sentFrames =
        (from, envelope) -> {
          if (envelope.message() instanceof AppendRequest append
              && append.key().startsWith(BATCH_KEY_PREFIX)
              && !append.entries().isEmpty()) {
            appends.add(append);
          }
        };
    return appends;
  }

  private static void runBatch(MeasuredFleet fleet, int items, List<AppendRequest> appends) {
    Machine edge = fleet.edges.get(0);
    long[] takenAt = new long[1];
    submit(edge, "one", items, () -> takenAt[0] = fleet.nowMs());
    MeasuredFleet.require(fleet.runUntil(() -> takenAt[0] > 0, 60_000), "the batch was not taken");
    String key = appends.get(appends.size() - 1).key();
    String batchId = key.substring(BATCH_KEY_PREFIX.length());
    AtomicBoolean finished = new AtomicBoolean();
    MeasuredFleet.require(
        fleet.runUntil(
            () -> {
              readState(edge, batchId, finished);
              return finished.get();
            },
            3_600_000),
        "the batch did not finish");
  }

  /** Asks an edge for the state of a batch; the response may come later. */
  private static void readState(Machine edge, String batchId, AtomicBoolean finished) {
    edge.enter(
        () ->
            ((EdgeNode) edge.node)
                .readBatch(
                    batchId,
                    response -> {
                      if (response.body().path("state").asText().equals("finished")) {
                        finished.set(true);
                      }
                    }));
  }

  private static void addCostOfAnItem(ExperimentFigures figures, MeasuredFleet fleet, int items) {
    double edgesNanos =
        fleet.edges.stream().mapToLong(machine -> machine.meter.processorNanos).sum();
    double edgesSentBytes =
        fleet.edges.stream().mapToLong(machine -> machine.meter.sentBytes()).sum();
    List<Machine> storage = fleet.ofRole("storage");
    double storageNanos = MeasuredFleet.mean(storage, meter -> meter.processorNanos);
    double diskBytes = MeasuredFleet.mean(storage, meter -> meter.diskBytes);
    figures.add("edge", "processor for an item (all edges)", "us", edgesNanos / 1e3 / items);
    figures.add("edge", "sent for an item (all edges)", "B", edgesSentBytes / items);
    figures.add("storage", "processor for an item", "us", storageNanos / 1e3 / items);
    figures.add("storage", "disk for an item", "B", diskBytes / items);
  }

  /** The heap that a storage node holds after it took the appends. */
  private static double storageHeap(List<AppendRequest> appends) {
    return HeapMeter.heapOf(
        () -> {
          IsolatedNode storage = IsolatedNode.storage();
          appends.forEach(storage::deliver);
          return storage;
        });
  }

  /** One append of each entry, as the leader sends the same to every replica. */
  private static List<AppendRequest> firstOfEach(List<AppendRequest> appends) {
    Map<Long, AppendRequest> byLast = new LinkedHashMap<>();
    appends.forEach(
        append ->
            byLast.putIfAbsent(
                append.entries().get(append.entries().size() - 1).sequence(), append));
    return List.copyOf(byLast.values());
  }
}
