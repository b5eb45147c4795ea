package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.replication.ModelSearch.Outcome;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * No invariant of the replicated register breaks in any plan, searched for a short while. The large
 * searches are run by {@link ReplicatedLogModelProgram}.
 */
final class ReplicatedLogModelTest {
  private static final Duration TIME_MOST = Duration.ofMillis(500);
  private static final long STATES_MOST = 20_000;
  private static final int WALK_STEPS_MOST = 200;
  private static final long SEED = 1;

  private static ModelSearch search(ModelPlan plan) {
    return new ModelSearch(plan.bounds, STATES_MOST, TIME_MOST, 1);
  }

  private static void expectWhole(ModelPlan plan, String kind, Outcome outcome) {
    System.out.println(ReplicatedLogModelProgram.line(plan, kind, outcome));
    assertWithMessage(outcome.counterexample().map(ReplicatedLogModelProgram::trace).orElse(""))
        .that(outcome.counterexample().isPresent())
        .isFalse();
    assertWithMessage("states reached").that(outcome.states()).isAtLeast(ModelSearch.STATES_LEAST);
  }

  @ParameterizedTest
  @EnumSource(ModelPlan.class)
  void breadthFirst(ModelPlan plan) {
    expectWhole(plan, "breadth", search(plan).breadthFirst());
  }

  @ParameterizedTest
  @EnumSource(ModelPlan.class)
  void randomWalks(ModelPlan plan) {
    expectWhole(plan, "walks", search(plan).randomWalks(SEED, WALK_STEPS_MOST));
  }
}
