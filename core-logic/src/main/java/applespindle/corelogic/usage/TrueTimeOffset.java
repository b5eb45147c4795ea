package applespindle.corelogic.usage;

import applespindle.corelogic.constants.UsageConstants;

/**
 * How far true time is ahead of this process's monotonic time, as learned from the holder's
 * answers.
 *
 * <p>The sample with the shortest round trip is used, as its error is at most half of that. A later
 * sample that contradicts it replaces it: either the monotonic clock has drifted or the holder's
 * estimate has changed. Unknown before the first answer.
 */
public final class TrueTimeOffset {
  private boolean known;
  private long offsetMs;
  private long roundTripMs;

  /** Adds the true time of an answer; the other two are monotonic times of this process. */
  public void addSample(long trueTimeMs, long sentAt, long receivedAt) {
    long sampleRoundTripMs = receivedAt - sentAt;
    if (sampleRoundTripMs < 0) {
      return;
    }
    long sampleOffsetMs = trueTimeMs - (sentAt + sampleRoundTripMs / 2);
    if (!known
        || sampleRoundTripMs < roundTripMs
        || contradicts(sampleOffsetMs, sampleRoundTripMs)) {
      known = true;
      offsetMs = sampleOffsetMs;
      roundTripMs = sampleRoundTripMs;
    }
  }

  private boolean contradicts(long sampleOffsetMs, long sampleRoundTripMs) {
    long explainedMs = (sampleRoundTripMs + roundTripMs) / 2 + UsageConstants.OFFSET_TOLERANCE_MS;
    return Math.abs(sampleOffsetMs - offsetMs) > explainedMs;
  }

  /** Whether an answer with the true time has come. */
  public boolean isKnown() {
    return known;
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
