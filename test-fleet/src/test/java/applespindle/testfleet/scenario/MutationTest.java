package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.testfleet.checker.Checker;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Each mutation names a rule and a scenario that exist, still fits the code, and together they
 * cover every rule.
 */
class MutationTest {
  private static final Path FOLDER = Path.of("mutations");
  private static final Path SCENARIOS = Path.of("src/test/resources/scenarios");

  /** Checks of the replicated register, found by the model check and not by a scenario. */
  private static final Path MODEL_FOLDER = FOLDER.resolve("model");

  private static final Path PLANS =
      Path.of("../core-logic/src/test/java/applespindle/corelogic/replication/ModelPlan.java");

  private static List<Path> patches() throws IOException {
    return patchesIn(FOLDER);
  }

  private static List<Path> allPatches() throws IOException {
    return Stream.concat(patches().stream(), patchesIn(MODEL_FOLDER).stream()).toList();
  }

  private static List<Path> patchesIn(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(file -> file.toString().endsWith(".patch")).sorted().toList();
    }
  }

  private static String field(List<String> lines, String name) {
    return lines.stream()
        .filter(line -> line.startsWith(name + ": "))
        .findFirst()
        .map(line -> line.substring(name.length() + 2))
        .orElse("");
  }

  @Test
  void namesWhatExists() throws IOException {
    Set<String> broken = new TreeSet<>();
    for (Path patch : patches()) {
      List<String> lines = Files.readAllLines(patch);
      broken.add(field(lines, "breaks"));
      assertWithMessage(patch + " names a scenario")
          .that(Files.exists(SCENARIOS.resolve(field(lines, "scenario"))))
          .isTrue();
      assertWithMessage(patch + " names seeds").that(field(lines, "seeds")).matches("\\d+ \\d+");
    }
    for (Checker.Rule rule : Checker.Rule.values()) {
      assertThat(broken).contains(rule.name());
    }
    broken.remove("INVARIANT");
    assertThat(broken).hasSize(Checker.Rule.values().length);
  }

  @Test
  void namesAPlanOfTheModel() throws IOException {
    String plans = Files.readString(PLANS);
    assertThat(patchesIn(MODEL_FOLDER)).isNotEmpty();
    for (Path patch : allPatches()) {
      List<String> lines = Files.readAllLines(patch);
      String model = field(lines, "model");
      if (model.isEmpty() && !patch.startsWith(MODEL_FOLDER)) {
        continue;
      }
      assertWithMessage(patch + " names a search").that(model).matches("[A-Z_]+ (walks|breadth)");
      assertWithMessage(patch + " names a plan")
          .that(plans)
          .contains("  " + model.substring(0, model.indexOf(' ')) + "(");
      assertWithMessage(patch + " names invariants").that(field(lines, "invariants")).isNotEmpty();
    }
  }

  @Test
  void stillFitsTheCode() throws IOException {
    for (Path patch : allPatches()) {
      String code = "";
      StringBuilder before = new StringBuilder();
      for (String line : Files.readAllLines(patch)) {
        if (line.startsWith("+++ b/")) {
          code = Files.readString(Path.of("..").resolve(line.substring(6)));
        }
        if (line.startsWith("@@") || line.startsWith("diff ")) {
          assertWithMessage(patch.toString()).that(code).contains(before.toString());
          before.setLength(0);
        } else if (!code.isEmpty()
            && (line.startsWith(" ") || line.startsWith("-") && !line.startsWith("---"))) {
          before.append(line.substring(1)).append('\n');
        }
      }
      assertWithMessage(patch.toString()).that(code).contains(before.toString());
      assertWithMessage(patch + " changes code").that(code).isNotEmpty();
    }
  }
}
