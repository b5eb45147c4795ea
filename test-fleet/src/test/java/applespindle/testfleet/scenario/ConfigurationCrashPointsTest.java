package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.testfleet.simulation.CrashPoint.Position;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A process dies between two steps of an order: before it is appended, between append, commit and
 * answer, in the midst of a claim. -Dapplespindle.instantNumbers=1,2,3,5,8 for the long run.
 */
class ConfigurationCrashPointsTest {
  private static final Path SCENARIO =
      Path.of("src/test/resources/scenarios/configuration-crash-points.txt");
  private static final List<Integer> NUMBERS =
      Arrays.stream(System.getProperty("applespindle.instantNumbers", "3").split(","))
          .map(Integer::parseInt)
          .toList();

  private static final List<String> STEPS =
      List.of(
          "Ask:bundle",
          "KeyAppend",
          "KeyAppended",
          "FeedNews",
          "KeysKnown",
          "AskResponse",
          "KeyPromise",
          "KeyPromised");

  private static List<CrashPoints.Case> cases() {
    List<CrashPoints.Case> cases = new ArrayList<>();
    for (String kind : STEPS) {
      for (int number : NUMBERS) {
        for (Position position : Position.values()) {
          for (boolean powerLoss : new boolean[] {false, true}) {
            cases.add(new CrashPoints.Case(kind, number, position, powerLoss));
          }
        }
      }
    }
    return cases;
  }

  @Test
  void ordersFitOneRegisterWhereverAProcessDies() throws IOException {
    Scenario scenario = Scenario.parse(Files.readString(SCENARIO));
    int[] struck = new int[1];
    cases().parallelStream()
        .forEach(
            each -> {
              Scenario.Outcome outcome = each.run(scenario, each.hashCode());
              assertWithMessage(each + " seed " + each.hashCode()).that(outcome.faults()).isEmpty();
              synchronized (struck) {
                struck[0] += outcome.fleet().simulation.crashPoint.crashed() == null ? 0 : 1;
              }
            });
    System.out.println(struck[0] + " of " + cases().size() + " instants struck");
    assertThat(struck[0]).isAtLeast(cases().size() * 3 / 4);
  }
}
