package applespindle.testfleet.clients;

import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.Simulation;
import java.util.List;

/** Measures of one simulated fleet as a line; times are simulated milliseconds. */
final class FleetSummary {
  private final SimulatedFleet fleet;
  private final Simulation simulation;

  FleetSummary(SimulatedFleet fleet) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
  }

  @Override
  public String toString() {
    if (fleet.platform != null) {
      return fleet.clients.summary()
          + "; list calls "
          + fleet.platform.list.calls
          + ", refused "
          + fleet.platform.list.refusedCalls;
    }
    List<Long> batches =
        fleet.senders.stream()
            .filter(sender -> sender.finishedAtMs >= 0)
            .map(sender -> sender.finishedAtMs - sender.acceptedAtMs)
            .toList();
    long accepted = fleet.senders.stream().filter(sender -> sender.acceptedAtMs >= 0).count();
    long received =
        simulation.history.of(Kind.WORKER_RECEIVED).stream()
            .filter(seen -> !seen.detail().isEmpty())
            .count();
    return "batches "
        + fleet.senders.size()
        + ", accepted "
        + accepted
        + ", done median "
        + SimulatedFleet.percentile(batches, 50)
        + " most "
        + SimulatedFleet.percentile(batches, 100)
        + "; checks "
        + fleet.checkLatencies.size()
        + " median "
        + SimulatedFleet.percentile(fleet.checkLatencies, 50)
        + " p99 "
        + SimulatedFleet.percentile(fleet.checkLatencies, 99)
        + "; notes "
        + fleet.noteLatencies.size()
        + " p99 "
        + SimulatedFleet.percentile(fleet.noteLatencies, 99)
        + "; item runs "
        + received
        + "; cache hits "
        + cacheHitPercent()
        + "%";
  }

  long cacheHitPercent() {
    int looks =
        simulation.workers.all().values().stream().mapToInt(worker -> worker.cacheLooks).sum();
    int hits =
        simulation.workers.all().values().stream().mapToInt(worker -> worker.cacheHits).sum();
    return looks == 0 ? 0 : 100 * hits / looks;
  }
}
