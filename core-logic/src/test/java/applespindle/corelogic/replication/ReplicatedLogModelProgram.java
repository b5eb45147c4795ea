package applespindle.corelogic.replication;

import applespindle.corelogic.replication.ModelSearch.Outcome;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Runs searches from the command line: {@code breadth|walks PLAN[,PLAN...]|all SECONDS STATES
 * THREADS [SEED]}. Prints one line for each plan, and the shortest run found to a broken invariant.
 * Ends with 1 if there is one.
 */
final class ReplicatedLogModelProgram {
  private static final int MAX_WALK_STEPS = 200;

  private ReplicatedLogModelProgram() {}

  public static void main(String[] arguments) {
    boolean walks = arguments[0].equals("walks");
    Duration time = Duration.ofSeconds(Long.parseLong(arguments[2]));
    long states = Long.parseLong(arguments[3]);
    int threads = Integer.parseInt(arguments[4]);
    long seed = arguments.length > 5 ? Long.parseLong(arguments[5]) : 1;
    boolean broken = false;
    for (ModelPlan plan : plans(arguments[1])) {
      long begun = System.nanoTime();
      ModelSearch search = new ModelSearch(plan.bounds, states, time, threads);
      Outcome outcome = walks ? search.randomWalks(seed, MAX_WALK_STEPS) : search.breadthFirst();
      long millis = (System.nanoTime() - begun) / 1_000_000;
      System.out.println(line(plan, arguments[0], outcome) + " ms=" + millis);
      outcome.counterexample().ifPresent(found -> System.out.println(trace(found)));
      broken |= outcome.counterexample().isPresent();
    }
    System.exit(broken ? 1 : 0);
  }

  private static List<ModelPlan> plans(String names) {
    return names.equals("all")
        ? List.of(ModelPlan.values())
        : Arrays.stream(names.split(",")).map(ModelPlan::valueOf).toList();
  }

  static String line(ModelPlan plan, String kind, Outcome outcome) {
    return "plan=%s search=%s end=%s states=%d steps=%d depth=%d bounds=%s"
        .formatted(
            plan,
            kind,
            outcome.end(),
            outcome.states(),
            outcome.steps(),
            outcome.depth(),
            plan.bounds);
  }

  static String trace(ModelSearch.Counterexample found) {
    return found.steps().stream()
        .map(step -> "  " + step)
        .collect(Collectors.joining("\n", "", "\n  broken: " + found.violation().getMessage()));
  }
}
