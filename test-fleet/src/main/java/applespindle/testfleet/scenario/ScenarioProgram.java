package applespindle.testfleet.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/** Runs scenario files in the simulator: FILE... [--seeds FIRST LAST] [--log] [--history FILE]. */
public final class ScenarioProgram {
  private static final int REPORTED_FAULTS = 10;
  private static final int NS_PER_MS = 1_000_000;

  /** Runs a scenario file on simulated time and prints the outcome of each seed. */
  public static void main(String[] arguments) throws IOException {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    List<String> words = Arrays.asList(arguments);
    boolean good = true;
    for (String word : words) {
      if (word.endsWith(".txt")) {
        good &= runAllSeeds(Path.of(word), words);
      }
    }
    System.exit(good ? 0 : 1);
  }

  /** Returns whether no run of the scenario had a fault. */
  private static boolean runAllSeeds(Path file, List<String> words) throws IOException {
    int historyAt = words.indexOf("--history");
    Scenario scenario = Scenario.parse(Files.readString(file));
    boolean good = true;
    for (long seed : seeds(scenario, words)) {
      long begun = System.nanoTime();
      Scenario.Outcome outcome = scenario.run(seed, words.contains("--log"));
      report(file, seed, outcome, (System.nanoTime() - begun) / NS_PER_MS);
      good &= outcome.faults().isEmpty();
      if (historyAt >= 0) {
        Files.writeString(Path.of(words.get(historyAt + 1)), outcome.history().toLines());
      }
    }
    return good;
  }

  private static List<Long> seeds(Scenario scenario, List<String> words) {
    int seedsAt = words.indexOf("--seeds");
    if (seedsAt < 0) {
      return scenario.seeds();
    }
    long first = Long.parseLong(words.get(seedsAt + 1));
    long last = Long.parseLong(words.get(seedsAt + 2));
    return LongStream.rangeClosed(first, last).boxed().toList();
  }

  private static void report(Path file, long seed, Scenario.Outcome outcome, long tookMs) {
    List<String> faults = outcome.faults();
    System.out.printf(
        "%s seed %d: %s, %d steps, %d messages, %d ms%n",
        file.getFileName(),
        seed,
        faults.isEmpty() ? "good" : "BROKEN",
        outcome.steps(),
        outcome.messages(),
        tookMs);
    System.out.println("    " + outcome.fleet().summary());
    if (outcome.fleet().controlPlaneProbe != null) {
      System.out.println("    " + outcome.fleet().controlPlaneProbe.summary());
    }
    faults.stream().limit(REPORTED_FAULTS).forEach(fault -> System.out.println("    " + fault));
    if (!faults.isEmpty()) {
      String rules =
          faults.stream()
              .map(ScenarioProgram::ruleOf)
              .distinct()
              .sorted()
              .collect(Collectors.joining(" "));
      System.out.println("    broken: " + rules);
    }
  }

  private static String ruleOf(String fault) {
    if (fault.startsWith("invariant")) {
      return "INVARIANT";
    }
    return fault.matches("(?s)[A-Z_]+ at .*") ? fault.split(" ")[0] : "EXPECTATION";
  }

  private ScenarioProgram() {}
}
