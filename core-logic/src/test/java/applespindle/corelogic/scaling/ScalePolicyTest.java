package applespindle.corelogic.scaling;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.constants.ScalingConstants;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Fast out, slow in, within the bounds. */
final class ScalePolicyTest {
  private static final PoolZone SUBJECT = new PoolZone("pool", "zone");
  private static final int SLOTS = 8;
  private static final int MIN = 3;
  private static final int MAX = 20;
  private static final long STEP_MS = 200;

  private final ScalePolicy policy = new ScalePolicy();
  private long now = 1_000;
  private int present = 10;
  private boolean complete;

  @BeforeEach
  void allEdgesReport() {
    complete = true;
  }

  private Optional<ScaleDecision> decide(double calls) {
    now += STEP_MS;
    return policy.decide(
        new ScaleObservation(SUBJECT, MIN, MAX, SLOTS, present, 3, calls, complete), now);
  }

  /** The number that was decided last within this time. */
  private int countAfter(double calls, long millis) {
    int count = policy.decidedCount(SUBJECT).orElse(present);
    for (long until = now + millis; now < until; ) {
      count = decide(calls).map(ScaleDecision::count).orElse(count);
    }
    return count;
  }

  @Test
  void moreDemandIsMetAtOnce() {
    ScaleDecision decision = decide(40).orElseThrow();
    assertThat(decision.count()).isEqualTo(14);
    assertThat(decision.before()).isEqualTo(10);
    assertThat(decision.reason())
        .isEqualTo("40.0 open calls with 8 slots a worker need 14 workers within 3 to 20.");
    assertThat(decide(40)).isEmpty();
  }

  @Test
  void demandAboveTheBoundIsMetUpToIt() {
    assertThat(decide(400).orElseThrow().count()).isEqualTo(MAX);
  }

  @Test
  void thereIsRoomForTheLossOfAZone() {
    ScaleObservation twoZones = new ScaleObservation(SUBJECT, 1, 100, SLOTS, 1, 2, 56, true);
    assertThat(ScalePolicy.neededFor(56, twoZones)).isEqualTo(20 + ScalingConstants.SPARE_WORKERS);
    ScaleObservation oneZone = new ScaleObservation(SUBJECT, 1, 100, SLOTS, 1, 1, 56, true);
    assertThat(ScalePolicy.neededFor(56, oneZone)).isEqualTo(18 + ScalingConstants.SPARE_WORKERS);
  }

  @Test
  void workersAreTakenAwayAfterACalmPeriodOneByOne() {
    assertThat(countAfter(10, ScalingConstants.CALM_MS - STEP_MS)).isEqualTo(10);
    assertThat(countAfter(10, 2 * STEP_MS)).isEqualTo(9);
    assertThat(countAfter(10, ScalingConstants.SCALE_IN_INTERVAL_MS - STEP_MS)).isEqualTo(9);
    assertThat(countAfter(10, 2 * STEP_MS)).isEqualTo(8);
    assertThat(countAfter(10, 20 * ScalingConstants.SCALE_IN_INTERVAL_MS)).isEqualTo(5);
  }

  @Test
  void aPeakWithinTheCalmPeriodKeepsTheWorkers() {
    for (int round = 0; round < 10; round++) {
      assertThat(countAfter(10, 8_000)).isEqualTo(10);
      assertThat(countAfter(28, 400)).isEqualTo(10);
    }
  }

  @Test
  void aWaveDoesNotMakeTheNumberSwing() {
    int decisions = 0;
    for (long until = now + 120_000; now < until; ) {
      double calls = 24 + 8 * Math.sin(now / 11_000.0 * 2 * Math.PI);
      decisions += decide(calls).isPresent() ? 1 : 0;
    }
    assertThat(decisions).isAtMost(2);
  }

  @Test
  void aPoolThatWasNeverUsedIsLeftAloneForLonger() {
    assertThat(countAfter(0, ScalingConstants.IDLE_CALM_MS - STEP_MS)).isEqualTo(10);
    assertThat(countAfter(0, 30 * ScalingConstants.IDLE_CALM_MS)).isEqualTo(MIN);
  }

  @Test
  void withoutTheReportsOfAllEdgesNothingIsTakenAway() {
    complete = false;
    assertThat(countAfter(10, 100_000)).isEqualTo(10);
    assertThat(decide(40).orElseThrow().count()).isEqualTo(14);
  }

  @Test
  void crashedWorkersAreNoReasonToTakeOthersAway() {
    assertThat(countAfter(28, 2_000)).isEqualTo(10);
    present = 4;
    countAfter(28, 5_000);
    assertThat(policy.decidedCount(SUBJECT)).isEmpty();
  }

  @Test
  void aNumberOutOfBoundsIsCorrectedAtOnce() {
    present = 1;
    assertThat(decide(0).orElseThrow().count()).isEqualTo(MIN);
    policy.reset();
    present = 30;
    assertThat(decide(0).orElseThrow().count()).isEqualTo(MAX);
  }
}
