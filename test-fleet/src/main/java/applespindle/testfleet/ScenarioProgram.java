package applespindle.testfleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Runs scenario files in the simulator: FILE... [--seeds FIRST LAST] [--log] [--history FILE]. */
public final class ScenarioProgram {
  public static void main(String[] arguments) throws IOException {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    List<String> words = Arrays.asList(arguments);
    int seedsAt = words.indexOf("--seeds");
    boolean logging = words.contains("--log");
    int historyAt = words.indexOf("--history");
    boolean good = true;
    for (String word : words) {
      if (!word.endsWith(".txt")) {
        continue;
      }
      Scenario scenario = Scenario.parse(Files.readString(Path.of(word)));
      List<Long> seeds =
          seedsAt < 0
              ? scenario.seeds()
              : java.util.stream.LongStream.rangeClosed(
                      Long.parseLong(words.get(seedsAt + 1)),
                      Long.parseLong(words.get(seedsAt + 2)))
                  .boxed()
                  .toList();
      for (long seed : seeds) {
        long begun = System.nanoTime();
        Scenario.Outcome outcome = scenario.run(seed, logging);
        System.out.printf(
            "%s seed %d: %s, %d steps, %d messages, %d ms%n",
            Path.of(word).getFileName(),
            seed,
            outcome.faults().isEmpty() ? "good" : "BROKEN",
            outcome.steps(),
            outcome.messages(),
            (System.nanoTime() - begun) / 1_000_000);
        System.out.println("    " + outcome.fleet().summary());
        if (outcome.fleet().controlPlaneProbe != null) {
          System.out.println("    " + outcome.fleet().controlPlaneProbe.summary());
        }
        outcome.faults().stream().limit(10).forEach(fault -> System.out.println("    " + fault));
        if (!outcome.faults().isEmpty()) {
          System.out.println(
              "    broken: "
                  + outcome.faults().stream()
                      .map(ScenarioProgram::ruleOf)
                      .distinct()
                      .sorted()
                      .collect(java.util.stream.Collectors.joining(" ")));
        }
        good &= outcome.faults().isEmpty();
        if (historyAt >= 0) {
          Files.writeString(Path.of(words.get(historyAt + 1)), outcome.history().toLines());
        }
      }
    }
    System.exit(good ? 0 : 1);
  }

  private static String ruleOf(String fault) {
    if (fault.startsWith("invariant")) {
      return "INVARIANT";
    }
    return fault.matches("(?s)[A-Z_]+ at .*") ? fault.split(" ")[0] : "EXPECTATION";
  }

  private ScenarioProgram() {}
}
