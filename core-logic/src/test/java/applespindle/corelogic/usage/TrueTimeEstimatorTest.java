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
      estimator.putSample("edge-" + node, TRUE_TIME_AT_ZERO + stepMs, 1_000);
    }
    assertThat(estimator.trueTimeMs(5_000)).isEqualTo(TRUE_TIME_AT_ZERO + 5_000);
  }

  @Test
  void theLastSampleOfANodeCounts() {
    estimator.putSample("edge", TRUE_TIME_AT_ZERO + 8_000, 1_000);
    estimator.putSample("edge", TRUE_TIME_AT_ZERO, 2_000);
    assertThat(estimator.trueTimeMs(3_000)).isEqualTo(TRUE_TIME_AT_ZERO + 3_000);
  }

  @Test
  void nodesThatWereNotHeardForLongHaveNoPart() {
    estimator.putSample("gone", TRUE_TIME_AT_ZERO + 70_000, 1_000);
    long now = 1_001 + UsageConstants.CLOCK_SAMPLE_EXPIRY_MS;
    estimator.putSample("edge", TRUE_TIME_AT_ZERO, now);
    assertThat(estimator.nodes(now)).isEqualTo(1);
    assertThat(estimator.trueTimeMs(now)).isEqualTo(TRUE_TIME_AT_ZERO + now);
  }

  @Test
  void halfOfTheClocksMayBeOffByDifferentSteps() {
    estimator.putSample("one", TRUE_TIME_AT_ZERO, 0);
    estimator.putSample("two", TRUE_TIME_AT_ZERO + 20, 0);
    estimator.putSample("ahead", TRUE_TIME_AT_ZERO + 5_000, 0);
    estimator.putSample("far-ahead", TRUE_TIME_AT_ZERO + 9_000, 0);
    assertThat(estimator.trueTimeMs(0)).isEqualTo(TRUE_TIME_AT_ZERO + 10);
  }

  @Test
  void withoutAgreementTheClockInTheMiddleIsTaken() {
    estimator.putSample("behind", TRUE_TIME_AT_ZERO - 7_000, 0);
    estimator.putSample("middle", TRUE_TIME_AT_ZERO, 0);
    estimator.putSample("ahead", TRUE_TIME_AT_ZERO + 5_000, 0);
    assertThat(estimator.trueTimeMs(0)).isEqualTo(TRUE_TIME_AT_ZERO);
  }

  @Test
  void betweenTwoClocksIsTheirMiddle() {
    estimator.putSample("one", TRUE_TIME_AT_ZERO + 10, 0);
    estimator.putSample("two", TRUE_TIME_AT_ZERO + 20, 0);
    assertThat(estimator.trueTimeMs(0)).isEqualTo(TRUE_TIME_AT_ZERO + 15);
  }
}
