package applespindle.corelogic.environment;

/**
 * The stages that one piece of work went through, each with its elapsed time and the processor time
 * of the thread that ran it, for one line of the log. Confined to that thread. Processor time
 * covers all that the thread did meanwhile, also for other work.
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

  /** Ends a stage: the time since the last one ended, or since the trace began, belongs to it. */
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

  /** Milliseconds from the beginning of the trace to the end of its last stage. */
  public long elapsedMs() {
    return lastAt - beganAt;
  }

  /** key=value fields, each behind a blank: of each stage, then the whole time. */
  @Override
  public String toString() {
    return stages + " total_ms=" + elapsedMs();
  }
}
