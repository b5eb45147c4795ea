package applespindle.testfleet.capacity;

import applespindle.testfleet.capacity.MeasuredFleet.Change;
import applespindle.testfleet.capacity.MeasuredFleet.Machine;
import applespindle.testfleet.capacity.MeasuredFleet.Shape;
import java.util.ArrayList;
import java.util.List;

/**
 * One scale run on simulated time: six regions of two zones each, the control plane in three of the
 * regions.
 */
final class SimulatedScale {
  private static final int REGIONS = 6;
  private static final int ZONES_EACH = 2;
  private static final int RACK_NODES = 20;

  /** A region without a control plane node: the three of them are in the zones 0, 4 and 8. */
  private static final String CUT_REGION = "region-1";

  private static final long RECOVERY_MS = 120_000;
  private static final long HEAP_BASE_BYTES = 64L << 20;

  /** Measured by the slopes' joins and places, rounded up; see docs/CAPACITY.md. */
  private static final long HEAP_A_NODE_BYTES = 300_000;

  private static final long HEAP_A_PAIR_BYTES = 500;

  private final Measurements measured;
  private final MeasuredFleet fleet;
  private final int nodes;
  private final int workers;
  private final long phaseMs;
  private final int changesAMinute;
  private long configurationNumber = 1;

  SimulatedScale(
      Measurements measured, int nodes, int workers, long phaseMs, int changesAMinute, long seed) {
    this.measured = measured;
    this.nodes = nodes;
    this.workers = workers;
    this.phaseMs = phaseMs;
    this.changesAMinute = changesAMinute;
    this.fleet = new MeasuredFleet(new Shape(nodes, REGIONS, ZONES_EACH, false, 8, 20), seed);
  }

  /**
   * Heap of a run: a table in every node, and in each control plane node the positions of all
   * nodes.
   */
  static long heapBytes(int nodes, int workers) {
    return HEAP_BASE_BYTES
        + nodes * HEAP_A_NODE_BYTES
        + (long) nodes * (nodes + 3L * workers) * HEAP_A_PAIR_BYTES;
  }

  void run() {
    fleet.open(0, SyntheticConfiguration.of(1, 10, 0));
    add("join", "edge", "all ready after", "ms", fleet.nowMs());
    fleet.resetMeters();
    fleet.listWorkers(workers, 3_600_000);
    fleet.runFor(3_000);
    rest();
    changes("changes");
    lose("machines", everyNth(fleet.edges, 100));
    lose(
        "rack",
        fleet.edges.stream()
            .filter(machine -> machine.zone.equals("zone-3"))
            .limit(Math.min(RACK_NODES, nodes / 12))
            .toList());
    lose("zone", fleet.edges.stream().filter(machine -> machine.zone.equals("zone-3")).toList());
    cutRegion();
  }

  private void add(String experiment, String role, String metric, String unit, double value) {
    measured.add(experiment, role, metric, unit, "nodes", nodes, value);
  }

  private void rest() {
    fleet.resetMeters();
    fleet.runFor(phaseMs);
    rates("rest", phaseMs, fleet.edges);
  }

  private void rates(String experiment, long millis, List<Machine> edges) {
    double seconds = millis / 1000.0;
    carriedAndProcessor(experiment, "edge", edges, seconds);
    List<Machine> controlPlane = fleet.ofRole("core");
    carriedAndProcessor(experiment, "core", controlPlane, seconds);
    double messages = MeasuredFleet.mean(controlPlane, Meter::sentMessages);
    add(experiment, "core", "messages sent", "1/s", messages / seconds);
    double diskBytes = MeasuredFleet.mean(controlPlane, meter -> meter.diskBytes);
    add(experiment, "core", "disk", "B/s", diskBytes / seconds);
  }

  private void carriedAndProcessor(
      String experiment, String role, List<Machine> machines, double seconds) {
    double processorMs = MeasuredFleet.mean(machines, meter -> meter.processorNanos / 1e6);
    add(experiment, role, "processor", "ms/s", processorMs / seconds);
    double carriedBytes =
        MeasuredFleet.mean(machines, meter -> meter.sentBytes() + meter.receivedBytes);
    add(experiment, role, "sent and received", "B/s", carriedBytes / seconds);
  }

  private static List<Machine> everyNth(List<Machine> machines, int step) {
    List<Machine> chosen = new ArrayList<>();
    for (int index = 0; index < machines.size(); index += step) {
      chosen.add(machines.get(index));
    }
    return chosen;
  }

  private Change send() {
    configurationNumber++;
    return fleet.sendConfiguration(
        configurationNumber, SyntheticConfiguration.of(configurationNumber, 10, 0));
  }

  /** Sends changes at the rate of the target for one phase; adds their delays at the edges. */
  private void changes(String experiment) {
    fleet.resetMeters();
    int count = (int) Math.max(1, changesAMinute * phaseMs / 60_000);
    List<Change> sent = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      sent.add(send());
      fleet.runFor(phaseMs / count);
    }
    rates(experiment, phaseMs, fleet.edges);
    fleet.runUntil(
        () -> sent.stream().allMatch(change -> change.acknowledgedAtMs >= 0), RECOVERY_MS);
    delays(experiment, sent);
  }

  private void delays(String experiment, List<Change> sent) {
    List<Long> delays = new ArrayList<>();
    List<Long> acknowledged = new ArrayList<>();
    long unknown = 0;
    for (Change change : sent) {
      for (long delay : fleet.delaysOf(change)) {
        if (delay < 0) {
          unknown++;
        } else {
          delays.add(delay);
        }
      }
      acknowledged.add(acknowledgementDelayMs(change));
    }
    add(experiment, "edge", "known after, median", "ms", percentile(delays, 50));
    add(experiment, "edge", "known after, 99th", "ms", percentile(delays, 99));
    add(experiment, "edge", "known after, slowest", "ms", percentile(delays, 100));
    add(experiment, "edge", "never known by then", "nodes", unknown);
    add(experiment, "core", "acknowledged after, median", "ms", percentile(acknowledged, 50));
    add(experiment, "core", "acknowledged after, slowest", "ms", percentile(acknowledged, 100));
  }

  static long percentile(List<Long> values, int percent) {
    List<Long> sorted = values.stream().sorted().toList();
    return sorted.isEmpty()
        ? -1
        : sorted.get(Math.min(sorted.size() - 1, sorted.size() * percent / 100));
  }

  /** Kills machines together, sends changes for a phase and starts the machines again. */
  private void lose(String experiment, List<Machine> lost) {
    lost.forEach(Machine::kill);
    changes(experiment);
    lost.forEach(Machine::start);
    long begunAt = fleet.nowMs();
    boolean back = fleet.runUntil(() -> allReady(lost), RECOVERY_MS);
    add(
        experiment,
        "edge",
        "ready again after, slowest",
        "ms",
        back ? fleet.nowMs() - begunAt : RECOVERY_MS);
    fleet.runFor(3_000);
  }

  /**
   * Cuts one region, which has no control plane node, off from the others while a change is sent;
   * then the network heals.
   */
  private void cutRegion() {
    List<Machine> inside =
        fleet.edges.stream().filter(machine -> machine.region.equals(CUT_REGION)).toList();
    fleet.cut =
        link -> link.from().region.equals(CUT_REGION) != link.to().region.equals(CUT_REGION);
    fleet.runFor(1_500);
    fleet.resetMeters();
    Change change = send();
    fleet.runFor(phaseMs);
    addCostOfCut(inside, change);
    fleet.cut = link -> false;
    long healedAt = fleet.nowMs();
    boolean known =
        fleet.runUntil(() -> fleet.knownEverywhere(change) && allReady(inside), RECOVERY_MS);
    add(
        "region-cut",
        "edge",
        "known and ready inside, after it healed",
        "ms",
        known ? fleet.nowMs() - healedAt : RECOVERY_MS);
  }

  private void addCostOfCut(List<Machine> inside, Change change) {
    double seconds = phaseMs / 1000.0;
    double carriedBytes =
        MeasuredFleet.mean(inside, meter -> meter.sentBytes() + meter.receivedBytes);
    double processorMs = MeasuredFleet.mean(inside, meter -> meter.processorNanos / 1e6);
    List<Machine> outside =
        fleet.edges.stream().filter(machine -> !inside.contains(machine)).toList();
    add("region-cut", "edge", "sent and received, inside", "B/s", carriedBytes / seconds);
    add("region-cut", "edge", "processor, inside", "ms/s", processorMs / seconds);
    add("region-cut", "core", "acknowledged after", "ms", acknowledgementDelayMs(change));
    add(
        "region-cut",
        "edge",
        "isolated inside: nothing new is begun",
        "nodes",
        countIsolated(inside));
    add("region-cut", "edge", "isolated outside", "nodes", countIsolated(outside));
  }

  /** A change that is not acknowledged counts as one that took the time for recovery. */
  private static long acknowledgementDelayMs(Change change) {
    return change.acknowledgedAtMs < 0 ? RECOVERY_MS : change.acknowledgementDelayMs();
  }

  private static long countIsolated(List<Machine> machines) {
    return machines.stream()
        .filter(machine -> machine.node.status().path("isolated").asBoolean())
        .count();
  }

  private static boolean allReady(List<Machine> machines) {
    return machines.stream().allMatch(machine -> machine.node.notReadyReason().isEmpty());
  }
}
