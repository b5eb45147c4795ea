package applespindle.corelogic.environment;

/**
 * Measures the stages of one piece of work, each with its elapsed time and the processor time of
 * the thread that ran it, for a line of the log. Confined to that thread. Processor time includes
 * everything else that the thread did during the stage.
 */
public final class StageTimer {
  private final Environment environment;
  private final long beganAt;
  private final StringBuilder stages = new StringBuilder();
  private long lastAt;
  private long lastProcessorMicros;

  public StageTimer(Environment environment) {
    this.environment = environment;
    beganAt = environment.nowMs();
    lastAt = beganAt;
    lastProcessorMicros = environment.processorMicros();
  }

  /** Ends a stage that began when the last one ended or, for the first, when this was created. */
  public void mark(String stage) {
    long now = environment.nowMs();
    long processorMicros = environment.processorMicros();
    stages
        .append(' ')
        .append(stage)
        .append("_ms=")
        .append(now - lastAt)
        .append(' ')
        .append(stage)
        .append("_cpu_ms=")
        .append((processorMicros - lastProcessorMicros) / 1_000);
    lastAt = now;
    lastProcessorMicros = processorMicros;
  }

  /** Milliseconds from the creation to the end of the last stage. */
  public long elapsedMs() {
    return lastAt - beganAt;
  }

  /** The stages as key=value fields, each preceded by a space, and at the end the total time. */
  @Override
  public String toString() {
    return stages + " total_ms=" + elapsedMs();
  }
}
