package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.replication.ModelSearch.Outcome;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * No invariant of the replicated log breaks in any plan, searched for a short while. The large
 * searches are run by {@link ReplicatedLogModelProgram}.
 */
final class ReplicatedLogModelTest {
  private static final Duration MAX_TIME = Duration.ofMillis(500);
  private static final long MAX_STATES = 20_000;
  private static final int MAX_WALK_STEPS = 200;
  private static final long SEED = 1;

  private static ModelSearch search(ModelPlan plan) {
    return new ModelSearch(plan.bounds, MAX_STATES, MAX_TIME, 1);
  }

  private static void expectNoViolation(ModelPlan plan, String kind, Outcome outcome) {
    System.out.println(ReplicatedLogModelProgram.line(plan, kind, outcome));
    assertWithMessage(outcome.counterexample().map(ReplicatedLogModelProgram::trace).orElse(""))
        .that(outcome.counterexample().isPresent())
        .isFalse();
    assertWithMessage("states reached").that(outcome.states()).isAtLeast(ModelSearch.MIN_STATES);
  }

  @ParameterizedTest
  @EnumSource(ModelPlan.class)
  void breadthFirst(ModelPlan plan) {
    expectNoViolation(plan, "breadth", search(plan).breadthFirst());
  }

  @ParameterizedTest
  @EnumSource(ModelPlan.class)
  void randomWalks(ModelPlan plan) {
    expectNoViolation(plan, "walks", search(plan).randomWalks(SEED, MAX_WALK_STEPS));
  }
}
