package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** The time to accept a batch at edges with little processor time; see issue 19. */
@Execution(ExecutionMode.CONCURRENT)
class SlowEdgesTest {
  private static final Path SCENARIO =
      Path.of("src/test/resources/slow-edges/proxied-slow-edges.txt");

  @Test
  void batchesAreAcceptedInTime() throws IOException {
    assertThat(faultsOf(Scenario.parse(scenarioText()))).isEmpty();
  }

  /** Shows that the scenario above asks for nothing that the links and the rounds forbid. */
  @Test
  void batchesAreAcceptedInTimeWithoutProcessorTime() throws IOException {
    String withoutProcessors =
        scenarioText()
            .replaceAll("(?m)^edge-processor .*$", "")
            .replaceAll("(?m)^larger-edges (\\S+) \\S+ (\\S+)$", "larger-edges $1 0 $2");
    assertThat(faultsOf(Scenario.parse(withoutProcessors))).isEmpty();
  }

  private static String scenarioText() throws IOException {
    return Files.readString(SCENARIO);
  }

  private static List<String> faultsOf(Scenario scenario) {
    return scenario.seeds().stream().flatMap(seed -> faultsOf(scenario, seed)).toList();
  }

  private static Stream<String> faultsOf(Scenario scenario, long seed) {
    return scenario.run(seed, false).faults().stream().map(fault -> "seed " + seed + ": " + fault);
  }
}
