package applespindle.testfleet.capacity;

import applespindle.testfleet.capacity.MeasuredFleet.Change;
import applespindle.testfleet.capacity.MeasuredFleet.Machine;
import applespindle.testfleet.capacity.MeasuredFleet.Shape;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Experiments on a simulated fleet: what its size, its workers and changes of its configuration
 * cost.
 */
final class FleetExperiments {
  /** What the nodes of one role cost on the average. */
  private record RoleCost(double processorMs, double sentBytes, double receivedBytes) {}

  private static final long STEADY_MS = 8_000;

  /** How many changes of the configuration are measured together, and over what time. */
  private static final int CHANGES = 3;

  private static final long CHANGES_MS = 6_000;

  private final ExperimentMeasurements measurements;

  FleetExperiments(ExperimentMeasurements measurements) {
    this.measurements = measurements;
  }

  void nodes(int edges, long seed) {
    ExperimentFigures figures = measurements.at("nodes", "nodes", edges);
    MeasuredFleet fleet =
        MeasuredFleet.opened(Shape.of(edges), seed, 0, SyntheticConfiguration.minimal());
    fleet.resetMeters();
    fleet.runFor(STEADY_MS);
    figures.addRates(fleet, STEADY_MS);
  }

  void workers(int workers, long seed) {
    ExperimentFigures figures = measurements.at("workers", "workers", workers);
    MeasuredFleet fleet =
        MeasuredFleet.opened(Shape.of(10), seed, 0, SyntheticConfiguration.minimal());
    fleet.resetMeters();
    fleet.listWorkers(workers, 3_600_000);
    figures.add(
        "edge",
        "sent to list one worker",
        "B",
        MeasuredFleet.mean(fleet.edges, meter -> meter.sentBytes("KeysKnown")) / workers);
    fleet.runFor(2_000);
    fleet.resetMeters();
    fleet.runFor(STEADY_MS);
    figures.addRates(fleet, STEADY_MS);
  }

  /**
   * Changes a small configuration of a fleet with two workers for each node, and measures what a
   * change costs beyond the fleet at rest.
   */
  void change(int edges, long seed) {
    ExperimentFigures figures = measurements.at("change", "nodes (2 workers each)", edges);
    MeasuredFleet fleet =
        MeasuredFleet.opened(Shape.of(edges), seed, 2 * edges, SyntheticConfiguration.minimal());
    List<Long> delays = new ArrayList<>();
    List<Long> acknowledged = new ArrayList<>();
    fleet.resetMeters();
    fleet.runFor(CHANGES_MS);
    Map<String, RoleCost> resting = costOfRoles(fleet);
    fleet.resetMeters();
    for (int number = 2; number < 2 + CHANGES; number++) {
      Change change = fleet.sendConfiguration(number, SyntheticConfiguration.of(number, 1, 0));
      fleet.runFor(CHANGES_MS / CHANGES);
      delays.addAll(fleet.delaysOf(change));
      acknowledged.add(change.acknowledgedAtMs < 0 ? -1 : change.acknowledgementDelayMs());
    }
    Map<String, RoleCost> changing = costOfRoles(fleet);
    for (String role : List.of("edge", "core")) {
      addCostOfAChange(figures, role, resting.get(role), changing.get(role));
    }
    figures.add("edge", "known to it after (slowest)", "ms", slowest(delays));
    figures.add("core", "acknowledged after (slowest)", "ms", slowest(acknowledged));
  }

  private static void addCostOfAChange(
      ExperimentFigures figures, String role, RoleCost resting, RoleCost changing) {
    double processorMs = changing.processorMs() - resting.processorMs();
    double sentBytes = changing.sentBytes() - resting.sentBytes();
    double receivedBytes = changing.receivedBytes() - resting.receivedBytes();
    figures.add(role, "processor for a change", "ms", processorMs / CHANGES);
    figures.add(role, "sent for a change", "B", sentBytes / CHANGES);
    figures.add(role, "received for a change", "B", receivedBytes / CHANGES);
  }

  private static long slowest(List<Long> delays) {
    return delays.stream().mapToLong(Long::longValue).max().orElse(-1);
  }

  private static Map<String, RoleCost> costOfRoles(MeasuredFleet fleet) {
    Map<String, RoleCost> costs = new LinkedHashMap<>();
    for (String role : List.of("edge", "core", "storage")) {
      List<Machine> machines = fleet.ofRole(role);
      costs.put(
          role,
          new RoleCost(
              MeasuredFleet.mean(machines, meter -> meter.processorNanos / 1e6),
              MeasuredFleet.mean(machines, Meter::sentBytes),
              MeasuredFleet.mean(machines, meter -> meter.receivedBytes)));
    }
    return costs;
  }

  void routes(int rules, long seed) {
    ExperimentFigures figures = measurements.at("routes", "routes", rules);
    MeasuredFleet fleet =
        MeasuredFleet.opened(Shape.of(10), seed, 5, SyntheticConfiguration.of(1, rules, 0));
    fleet.runFor(1_000);
    fleet.resetMeters();
    Change change = fleet.sendConfiguration(2, SyntheticConfiguration.of(2, rules, 0));
    fleet.runFor(2_000);
    figures.add(
        "edge",
        "received for a change",
        "B",
        MeasuredFleet.mean(fleet.edges, meter -> meter.receivedBytes));
    figures.add(
        "edge",
        "processor for a change",
        "ms",
        MeasuredFleet.mean(fleet.edges, meter -> meter.processorNanos / 1e6));
    figures.add(
        "core",
        "processor for a change",
        "ms",
        MeasuredFleet.mean(fleet.ofRole("core"), meter -> meter.processorNanos / 1e6));
    figures.add(
        "core",
        "disk for a change",
        "B",
        MeasuredFleet.mean(fleet.ofRole("core"), meter -> meter.diskBytes));
    figures.add(
        "core",
        "sent for a change",
        "B",
        MeasuredFleet.mean(fleet.ofRole("core"), Meter::sentBytes));
    figures.add("core", "acknowledged after", "ms", change.acknowledgementDelayMs());
  }

  void changesAMinute(int changes, long seed) {
    ExperimentFigures figures = measurements.at("changes-a-minute", "changes a minute", changes);
    MeasuredFleet fleet =
        MeasuredFleet.opened(Shape.of(30), seed, 60, SyntheticConfiguration.minimal());
    fleet.resetMeters();
    long millis = 20_000;
    int sent = Math.round(changes * millis / 60_000f);
    for (int index = 0; index < sent; index++) {
      fleet.sendConfiguration(2 + index, SyntheticConfiguration.of(2 + index, 1, 0));
      fleet.runFor(millis / sent);
    }
    if (sent == 0) {
      fleet.runFor(millis);
    }
    figures.addRates(fleet, millis);
  }

  /** No control plane node can be reached: edges ask each other for changes. */
  void coreSilent(int edges, long seed) {
    ExperimentFigures figures = measurements.at("core-silent", "nodes (2 workers each)", edges);
    MeasuredFleet fleet =
        MeasuredFleet.opened(Shape.of(edges), seed, 2 * edges, SyntheticConfiguration.minimal());
    fleet.cut = link -> link.from().role.equals("core") || link.to().role.equals("core");
    fleet.runFor(1_500);
    fleet.resetMeters();
    fleet.runFor(3_000);
    List<Machine> machines = fleet.edges;
    figures.add("edge", "sent", "B/s", MeasuredFleet.mean(machines, Meter::sentBytes) / 3);
    figures.add(
        "edge",
        "processor",
        "ms/s",
        MeasuredFleet.mean(machines, meter -> meter.processorNanos / 1e6) / 3);
  }
}
