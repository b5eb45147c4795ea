package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.testfleet.scenario.ManyChanges.Absence;
import applespindle.testfleet.scenario.ManyChanges.Plan;
import applespindle.testfleet.scenario.ManyChanges.Result;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A process that was away for many changes catches up as soon as one that was away for a few, and
 * the last change costs no more than the memory of the ones before it.
 */
@Execution(ExecutionMode.CONCURRENT)
class ManyChangesTest {
  private static final int FEW = 10;
  private static final int MANY = Integer.getInteger("applespindle.changes", 300);
  private static final long SLOW_LINK = 256;
  private static final long DISK_TROUBLE_MS = 2_000;
  private static final long MEMORY_BYTES_A_CHANGE = 22;
  private static final long MARGIN_BYTES = 1_500;
  private static final long CAUGHT_UP_MS = 2_500;

  static Stream<Plan> plans() {
    return Stream.of(
        new Plan("core-2", Absence.POWER_LOST, MANY, SLOW_LINK, 0, 0, 1),
        new Plan("core-1", Absence.POWER_LOST, MANY, 0, DISK_TROUBLE_MS, 0, 2),
        new Plan("core-3", Absence.KILLED, MANY, 0, 0, DISK_TROUBLE_MS, 3),
        new Plan("core-2", Absence.DISK_LOST, MANY, SLOW_LINK, 0, 0, 4),
        new Plan("core-1", Absence.CUT_OFF, MANY, 0, 0, 0, 5),
        new Plan("edge-2", Absence.CUT_OFF, MANY, SLOW_LINK, 0, 0, 6),
        new Plan("edge-2", Absence.KILLED, MANY, SLOW_LINK, 0, 0, 7));
  }

  private static Plan withChanges(Plan plan, int changes) {
    return new Plan(
        plan.process(),
        plan.absence(),
        changes,
        plan.linkBytesPerMs(),
        plan.diskStallMs(),
        plan.diskRefusesMs(),
        plan.seed());
  }

  @ParameterizedTest
  @MethodSource("plans")
  void catchesUpInBoundedTime(Plan plan) {
    Result few = ManyChanges.run(withChanges(plan, FEW));
    Result many = ManyChanges.run(plan);
    long memory = MEMORY_BYTES_A_CHANGE * Math.min(MANY, 400) + MARGIN_BYTES;
    assertThat(few.violation()).isEqualTo(Optional.empty());
    assertThat(many.violation()).isEqualTo(Optional.empty());
    assertThat(many.caughtUpMs()).isAtLeast(0);
    assertWithMessage("after " + few.caughtUpMs() + " ms when few were missed")
        .that(many.caughtUpMs())
        .isAtMost(plan.diskStallMs() + plan.diskRefusesMs() + CAUGHT_UP_MS);
    assertThat(many.stateBytes()).isAtMost(few.stateBytes() + memory);
    assertThat(many.diskBytesOfLastChange()).isAtMost(few.diskBytesOfLastChange() + memory);
    assertWithMessage("edges are sent the configuration alone")
        .that(many.edgeBytesOfLastChange())
        .isAtMost(few.edgeBytesOfLastChange() + MARGIN_BYTES);
  }
}
