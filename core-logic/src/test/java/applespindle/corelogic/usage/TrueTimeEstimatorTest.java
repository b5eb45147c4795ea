package applespindle.corelogic.usage;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.constants.UsageConstants;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The median of wall clocks is the true time while most of them are right. */
final class TrueTimeEstimatorTest {
  private static final long TRUE_TIME_AT_ZERO = 1_700_000_000_000L;

  private final TrueTimeEstimator estimator = new TrueTimeEstimator();

  @Test
  void aMinorityOfSteppedClocksDoesNotMoveIt() {
    SplittableRandom random = new SplittableRandom(11);
    for (int node = 0; node < 21; node++) {
      long stepMs = node < 10 ? random.nextLong(-60_000, 60_000) : 0;
      estimator.addSample("edge-" + node, TRUE_TIME_AT_ZERO + 1_000 + stepMs, 1_000);
    }
    assertThat(estimator.trueTimeMs(5_000)).isEqualTo(TRUE_TIME_AT_ZERO + 5_000);
  }

  @Test
  void theSampleThatWasDelayedLeastCounts() {
    estimator.addSample("edge", TRUE_TIME_AT_ZERO + 1_000, 1_900);
    estimator.addSample("edge", TRUE_TIME_AT_ZERO + 2_000, 2_003);
    estimator.addSample("edge", TRUE_TIME_AT_ZERO + 3_000, 3_400);
    assertThat(estimator.trueTimeMs(4_000)).isEqualTo(TRUE_TIME_AT_ZERO + 3_997);
  }

  @Test
  void aClockThatWasSetBackIsFollowedAfterAFewSamples() {
    estimator.addSample("edge", TRUE_TIME_AT_ZERO + 9_000, 1_000);
    for (int sample = 0; sample < UsageConstants.CLOCK_SAMPLES; sample++) {
      estimator.addSample("edge", TRUE_TIME_AT_ZERO + 2_000 + sample, 2_000 + sample);
    }
    assertThat(estimator.trueTimeMs(3_000)).isEqualTo(TRUE_TIME_AT_ZERO + 3_000);
  }

  @Test
  void nodesThatWereNotHeardForLongHaveNoPart() {
    estimator.addSample("gone", TRUE_TIME_AT_ZERO + 70_000, 1_000);
    long now = 1_001 + UsageConstants.CLOCK_SAMPLE_EXPIRY_MS;
    estimator.addSample("edge", TRUE_TIME_AT_ZERO + now, now);
    assertThat(estimator.nodes(now)).isEqualTo(1);
    assertThat(estimator.trueTimeMs(now)).isEqualTo(TRUE_TIME_AT_ZERO + now);
  }

  @Test
  void betweenTwoClocksIsTheirMiddle() {
    estimator.addSample("one", TRUE_TIME_AT_ZERO + 10, 0);
    estimator.addSample("two", TRUE_TIME_AT_ZERO + 20, 0);
    assertThat(estimator.trueTimeMs(0)).isEqualTo(TRUE_TIME_AT_ZERO + 15);
  }
}
