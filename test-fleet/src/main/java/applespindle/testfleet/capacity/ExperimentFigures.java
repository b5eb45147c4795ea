package applespindle.testfleet.capacity;

import applespindle.testfleet.capacity.MeasuredFleet.Machine;
import java.util.List;

/** The figures of one experiment at one size; the variable names what the size counts. */
record ExperimentFigures(
    ExperimentMeasurements measurements, String experiment, String variable, double size) {
  void add(String role, String metric, String unit, double value) {
    measurements.add(experiment, role, metric, unit, variable, size, value);
  }

  /** Adds what a node of each role cost a second, as metered over the time given. */
  void addRates(MeasuredFleet fleet, long millis) {
    double seconds = millis / 1000.0;
    for (String role : List.of("edge", "core", "storage")) {
      List<Machine> machines = fleet.ofRole(role);
      double processorMs = MeasuredFleet.mean(machines, meter -> meter.processorNanos / 1e6);
      add(role, "processor", "ms/s", processorMs / seconds);
      add(role, "sent", "B/s", MeasuredFleet.mean(machines, Meter::sentBytes) / seconds);
      double receivedBytes = MeasuredFleet.mean(machines, meter -> meter.receivedBytes);
      add(role, "received", "B/s", receivedBytes / seconds);
      double sentMessages = MeasuredFleet.mean(machines, Meter::sentMessages);
      add(role, "messages sent", "1/s", sentMessages / seconds);
      add(role, "disk", "B/s", MeasuredFleet.mean(machines, meter -> meter.diskBytes) / seconds);
    }
  }
}
