package applespindle.corelogic.usage;

import applespindle.corelogic.constants.UsageConstants;

/**
 * How far true time is ahead of this process's monotonic time, as learned from the holder's
 * answers.
 *
 * <p>The sample with the shortest round trip is used, as its error is at most half of that. A later
 * sample that contradicts it replaces it: either the monotonic clock has drifted or the holder's
 * estimate has changed. Unknown before the first answer that came fast, or a few that did not.
 */
public final class TrueTimeOffset {
  /** Samples that count as good as a fast one. */
  private static final int ENOUGH_SLOW_SAMPLES = 4;

  private int samples;
  private long offsetMs;
  private long roundTripMs;

  /** Adds the true time of an answer; the other two are monotonic times of this process. */
  public void addSample(long trueTimeMs, long sentAt, long receivedAt) {
    long sampleRoundTripMs = receivedAt - sentAt;
    if (sampleRoundTripMs < 0) {
      return;
    }
    long sampleOffsetMs = trueTimeMs - (sentAt + sampleRoundTripMs / 2);
    boolean first = samples == 0;
    samples++;
    if (first
        || sampleRoundTripMs < roundTripMs
        || contradicts(sampleOffsetMs, sampleRoundTripMs)) {
      offsetMs = sampleOffsetMs;
      roundTripMs = sampleRoundTripMs;
    }
  }

  private boolean contradicts(long sampleOffsetMs, long sampleRoundTripMs) {
    long explainedMs = (sampleRoundTripMs + roundTripMs) / 2 + UsageConstants.OFFSET_TOLERANCE_MS;
    return Math.abs(sampleOffsetMs - offsetMs) > explainedMs;
  }

  /** Whether the true time is known well enough to tell windows by it. */
  public boolean isKnown() {
    return samples >= ENOUGH_SLOW_SAMPLES
        || samples > 0 && roundTripMs <= UsageConstants.MAX_CLOCK_ROUND_TRIP_MS;
  }

  /** The true time at a monotonic time of this process; only if the offset is known. */
  public long trueTimeMs(long monotonicMs) {
    return monotonicMs + offsetMs;
  }

  /** The monotonic time of this process at a true time; only if the offset is known. */
  public long monotonicMs(long trueTimeMs) {
    return trueTimeMs - offsetMs;
  }
}
