package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;

import applespindle.testfleet.scenario.CrashPoints.Case;
import applespindle.testfleet.simulation.CrashPoint;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Power fails at the second message of each kind, at each of the four instants about it. The long
 * sweep is a program.
 */
@Execution(ExecutionMode.CONCURRENT)
class CrashPointsTest {
  private static final long SEED = 1;

  private static Scenario scenario() {
    try {
      return Scenario.parse(
          Files.readString(Path.of("src/test/resources/scenarios/crash-points.txt")));
    } catch (IOException fault) {
      throw new IllegalStateException(fault);
    }
  }

  static Stream<Case> cases() {
    return CrashPoints.cases(List.of(2)).stream().filter(Case::powerLoss);
  }

  @ParameterizedTest
  @MethodSource("cases")
  void holds(Case instant) {
    assertThat(instant.run(scenario(), SEED).faults()).isEmpty();
  }

  @Test
  void strikes() {
    Scenario.Outcome outcome =
        new Case("KeyAppend", 2, CrashPoint.Position.RECEIVER_AFTER, true).run(scenario(), SEED);
    assertThat(outcome.fleet().simulation.crashPoint.crashed()).isNotNull();
  }
}
