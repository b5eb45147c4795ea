package applespindle.testfleet.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.testfleet.soak.SoakFault.Kind;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class SoakPlanTest {
  private static final long LENGTH_MS = 20_000;
  private static final int SEEDS = 200;

  private static List<SoakPlan> plans() {
    return LongStream.rangeClosed(1, SEEDS).mapToObj(seed -> SoakPlan.of(seed, LENGTH_MS)).toList();
  }

  @Test
  void aSeedAlwaysDrawsTheSamePlan() {
    assertThat(SoakPlan.of(7, LENGTH_MS)).isEqualTo(SoakPlan.of(7, LENGTH_MS));
    assertThat(SoakPlan.of(7, LENGTH_MS)).isNotEqualTo(SoakPlan.of(8, LENGTH_MS));
  }

  @Test
  void everyKindOfFaultIsInjectedAndAllAreHealedInTheEnd() {
    Set<Kind> drawn = EnumSet.noneOf(Kind.class);
    for (SoakPlan plan : plans()) {
      for (SoakFault fault : plan.faults()) {
        drawn.add(fault.kind());
        assertThat(fault.fromMs()).isLessThan(fault.untilMs());
        assertThat(fault.untilMs()).isAtMost(plan.endsMs());
      }
    }
    assertThat(drawn).isEqualTo(EnumSet.allOf(Kind.class));
  }

  @Test
  void faultsOverlapAndTwoNeverHoldOneProcess() {
    for (SoakPlan plan : plans()) {
      int overlaps = 0;
      for (SoakFault one : plan.faults()) {
        for (SoakFault another : plan.faults()) {
          if (one == another || !one.overlaps(another)) {
            continue;
          }
          overlaps++;
          assertWithMessage(plan.toString())
              .that(
                  one.kind().ofProcess()
                      && another.kind().ofProcess()
                      && one.target().equals(another.target()))
              .isFalse();
        }
      }
      assertThat(overlaps).isGreaterThan(0);
    }
  }
}
