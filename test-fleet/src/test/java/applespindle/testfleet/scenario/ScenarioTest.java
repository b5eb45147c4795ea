package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs every scenario file over its seeds on simulated time. */
@Execution(ExecutionMode.CONCURRENT)
class ScenarioTest {
  private static final Path FOLDER = Path.of("src/test/resources/scenarios");

  static Stream<Arguments> scenarios() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      List<Path> sorted = files.sorted().toList();
      return sorted.stream()
          .flatMap(
              file ->
                  read(file).seeds().stream()
                      .map(seed -> Arguments.of(file.getFileName().toString(), seed)));
    }
  }

  private static Scenario read(Path file) {
    try {
      return Scenario.parse(Files.readString(file));
    } catch (IOException fault) {
      throw new IllegalStateException(fault);
    }
  }

  @ParameterizedTest(name = "{0} seed {1}")
  @MethodSource("scenarios")
  void holds(String file, long seed) {
    assertThat(read(FOLDER.resolve(file)).run(seed, false).faults()).isEmpty();
  }

  @Test
  void repeatsItselfExactly() {
    Scenario scenario = read(FOLDER.resolve("leader-killed.txt"));
    Scenario.Outcome first = scenario.run(7, false);
    Scenario.Outcome second = scenario.run(7, false);
    assertThat(second.steps()).isEqualTo(first.steps());
    assertWithMessage("history")
        .that(second.history().toLines())
        .isEqualTo(first.history().toLines());
  }
}
