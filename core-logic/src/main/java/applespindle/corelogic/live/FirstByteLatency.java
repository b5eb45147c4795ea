package applespindle.corelogic.live;

import applespindle.corelogic.constants.WorkerConstants;

/**
 * Moving averages of the first-byte latency of one route and of its deviation, in milliseconds.
 * Both are 0 until the first sample. Confined to the logic thread.
 */
final class FirstByteLatency {
  private double averageMs;
  private double deviationMs;

  /** Adds the time from sending a request to the head of its successful response. */
  void record(double latencyMs) {
    if (averageMs == 0) {
      averageMs = latencyMs;
      deviationMs = latencyMs / 2;
      return;
    }
    deviationMs +=
        (Math.abs(latencyMs - averageMs) - deviationMs) * WorkerConstants.MOVING_AVERAGE_WEIGHT;
    averageMs += (latencyMs - averageMs) * WorkerConstants.MOVING_AVERAGE_WEIGHT;
  }

  /** A latency that few requests exceed: the average plus twice the deviation. */
  double upperEstimateMs() {
    return averageMs + 2 * deviationMs;
  }
}
