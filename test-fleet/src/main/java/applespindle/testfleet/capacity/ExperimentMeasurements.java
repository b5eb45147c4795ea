package applespindle.testfleet.capacity;

/** Keeps the figures of experiments; those of a run that only warms the code up are dropped. */
final class ExperimentMeasurements {
  private final Measurements measurements;
  private boolean warmingUp;

  ExperimentMeasurements(Measurements measurements) {
    this.measurements = measurements;
  }

  /** Runs a task whose figures are not kept. */
  void warmUp(Runnable task) {
    warmingUp = true;
    task.run();
    warmingUp = false;
  }

  /** Takes the figures of one experiment at one size; the variable names what the size counts. */
  ExperimentFigures at(String experiment, String variable, double size) {
    return new ExperimentFigures(this, experiment, variable, size);
  }

  void add(
      String experiment,
      String role,
      String metric,
      String unit,
      String variable,
      double size,
      double value) {
    if (!warmingUp) {
      measurements.add(experiment, role, metric, unit, variable, size, value);
    }
  }
}
