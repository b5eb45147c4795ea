package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.testfleet.scenario.CrashPoints.Case;
import applespindle.testfleet.simulation.CrashPoint;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A second loss beside a change of members: at each step of it, and in every order and spacing up
 * to the time after which a machine that came back counts as there. A few cases in CI;
 * -Dapplespindle.membershipSweep=all for all.
 */
@Execution(ExecutionMode.CONCURRENT)
class MembershipStepsTest {
  private static final boolean ALL =
      "all".equals(System.getProperty("applespindle.membershipSweep"));
  private static final Path STEPS = Path.of("src/test/resources/scenarios/membership-steps.txt");
  private static final List<String> KINDS =
      List.of("Ask:copy", "Ask:copied", "KeyPromised", "KeyAppended", "CorePing");
  private static final List<Double> SPACINGS =
      ALL ? List.of(0.0, 0.01, 0.05, 0.2, 0.5, 1.0, 2.0, 3.0, 4.9) : List.of(0.0, 0.2, 1.0);

  /** How long the second machine is down. */
  private static final double DOWN_S = 0.8;

  private static Scenario scenario(String text) {
    return Scenario.parse(text);
  }

  static Stream<Case> steps() {
    List<Integer> numbers = ALL ? List.of(1, 2, 5, 13, 34, 89) : List.of(1);
    return CrashPoints.cases(numbers).stream()
        .filter(each -> KINDS.contains(each.kind()))
        .filter(each -> ALL || each.powerLoss() && each.kind().startsWith("Ask"));
  }

  /** The process that sends or takes the message falls right then, and is back 3 s later. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("steps")
  void aLossAtAStepOfAChangeLosesNoData(Case step) throws IOException {
    Scenario.Outcome outcome = step.run(scenario(Files.readString(STEPS)), 1);
    assertWithMessage(step.toString()).that(outcome.faults()).isEmpty();
  }

  /**
   * How the first machine goes and what takes its place, and how the second goes and comes back.
   */
  record Pair(String first, String firstBack, String second, String secondBack, double spacing) {
    String scenario(String role) {
      return String.join(
          "\n",
          "fleet small",
          "tolerated-losses 1",
          "run 34",
          "beyond 17 41",
          "proxied once 3 repeatable 3",
          "proxied-batches 3 8",
          "at 16.9 change",
          "at 17 " + first.replace("ROLE", role),
          "at 17.3 " + firstBack.replace("ROLE", role),
          "at " + (17.3 + spacing) + " " + second.replace("ROLE", role),
          "at " + (17.3 + spacing + DOWN_S) + " " + secondBack.replace("ROLE", role),
          "at 30 change",
          "expect reduced-shards 0");
    }
  }

  static Stream<String> pairs() {
    List<String> texts = new ArrayList<>();
    for (String role : List.of("storage", "core")) {
      for (double spacing : SPACINGS) {
        for (String second : List.of("power-loss", "power-loss-torn", "kill")) {
          for (String which : List.of("ROLE-1", "ROLE-2", "all-ROLE")) {
            String start = "start " + which;
            texts.add(
                new Pair("lose-disk ROLE-1", "start ROLE-1", second + " " + which, start, spacing)
                    .scenario(role));
            if (!which.equals("ROLE-1")) {
              texts.add(
                  new Pair(
                          "destroy ROLE-1",
                          "add ROLE-4 zone-0",
                          second + " " + which,
                          start,
                          spacing)
                      .scenario(role));
            }
          }
        }
      }
    }
    return ALL ? texts.stream() : texts.stream().filter(text -> text.hashCode() % 5 == 0);
  }

  /** The second machine's disk comes back with it, so nothing may be lost. */
  @ParameterizedTest
  @MethodSource("pairs")
  void aSecondLossAfterAWipeOrAReplacementLosesNoData(String text) {
    assertWithMessage(text).that(scenario(text).run(1, false).faults()).isEmpty();
  }

  @Test
  void theStepsAreReached() throws IOException {
    for (String kind : List.of("Ask:copy", "Ask:copied")) {
      Case step = new Case(kind, 1, CrashPoint.Position.values()[0], true);
      Scenario.Outcome outcome = step.run(scenario(Files.readString(STEPS)), 1);
      assertThat(outcome.fleet().simulation.crashPoint.crashed()).isNotNull();
    }
  }
}
