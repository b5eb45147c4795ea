package applespindle.testfleet.dispatch;

import applespindle.testfleet.dispatch.DispatchExperiment.Fault;
import applespindle.testfleet.dispatch.DispatchExperiment.Fault.Kind;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/**
 * Runs a shape with many seeds and prints each result and the mean. Usage: SHAPE FIRST_SEED
 * LAST_SEED [SECONDS] [calm|trouble].
 */
public final class DispatchProgram {
  /**
   * Simulates the choice of workers for each seed and prints what came of it; the arguments are
   * those in README.
   */
  public static void main(String[] arguments) {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    DispatchShape shape =
        arguments[0].equals("few") ? DispatchShape.FEW_EDGES : DispatchShape.MANY_EDGES;
    long seconds = arguments.length > 3 ? Long.parseLong(arguments[3]) : 20;
    boolean withFaults = arguments.length > 4 && arguments[4].equals("trouble");
    List<Fault> faults =
        withFaults
            ? List.of(
                new Fault(Kind.DARK, 6_000, 10_000, 0.2),
                new Fault(Kind.BURST, 8_000, 12_000, 1.4),
                new Fault(Kind.BATCH_BURST, 3_000, 5_300, 5))
            : List.of();
    List<DispatchResult> results =
        LongStream.rangeClosed(Long.parseLong(arguments[1]), Long.parseLong(arguments[2]))
            .parallel()
            .mapToObj(seed -> new DispatchExperiment(shape, seconds * 1_000, faults, seed).run())
            .toList();
    System.out.println(DispatchResult.HEADER);
    results.forEach(result -> System.out.println(result.line(seconds)));
    System.out.printf(
        Locale.ROOT,
        "mean of %d: checks %.3f notes %.3f items %.3f worst window %.3f waited %.3f%n",
        results.size(),
        mean(results, result -> result.checks.share()),
        mean(results, result -> result.notes.share()),
        mean(results, DispatchResult::itemsShare),
        mean(results, DispatchResult::worstWindow),
        mean(results, result -> result.liveWaited / (double) Math.max(1, result.live)));
  }

  private static double mean(List<DispatchResult> results, ToDoubleFunction<DispatchResult> of) {
    return results.stream().mapToDouble(of).average().orElse(0);
  }

  private DispatchProgram() {}
}
