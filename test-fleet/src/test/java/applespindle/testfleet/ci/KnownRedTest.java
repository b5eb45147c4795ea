package applespindle.testfleet.ci;

import static applespindle.testfleet.ci.KnownRed.Outcome.FAILED;
import static applespindle.testfleet.ci.KnownRed.Outcome.PASSED;
import static applespindle.testfleet.ci.KnownRed.Outcome.SKIPPED;
import static com.google.common.truth.Truth.assertThat;

import applespindle.testfleet.ci.KnownRed.Outcome;
import applespindle.testfleet.ci.KnownRed.Verdict;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class KnownRedTest {
  private static final String LINE = "a.BTest.holds(), the owner forgets, issue 7";

  private static Verdict judge(Map<String, Outcome> results, String... lines) {
    return KnownRed.judge(results, List.of(), List.of(lines));
  }

  @Test
  void passesWhereAllPassAndNothingIsListed() {
    assertThat(judge(Map.of("a.BTest.holds()", PASSED)).passes()).isTrue();
    assertThat(judge(Map.of("a.BTest.holds()", PASSED), "", "  ").passes()).isTrue();
  }

  @Test
  void failsForAFailureThatIsNotListed() {
    assertThat(judge(Map.of("a.BTest.holds()", FAILED)).passes()).isFalse();
    assertThat(judge(Map.of("a.BTest.holds()", FAILED, "a.BTest.other()", FAILED), LINE).reasons())
        .containsExactly("failed: a.BTest.other()");
  }

  @Test
  void letsAListedFailureThroughAndTellsIt() {
    Verdict verdict = judge(Map.of("a.BTest.holds()", FAILED, "a.BTest.other()", PASSED), LINE);
    assertThat(verdict.passes()).isTrue();
    assertThat(verdict.known()).containsExactly(LINE);
  }

  @Test
  void failsForAListedTestThatPassesOrIsSkippedOrDoesNotExist() {
    assertThat(judge(Map.of("a.BTest.holds()", PASSED), LINE).passes()).isFalse();
    assertThat(judge(Map.of("a.BTest.holds()", SKIPPED), LINE).passes()).isFalse();
    assertThat(judge(Map.of("a.BTest.other()", PASSED), LINE).passes()).isFalse();
  }

  @Test
  void knowsATestWhoseNameHoldsCommasAndBeginsAnothers() {
    String longer = "a.BTest.holds(String, long) quiet.txt seed 11";
    Map<String, Outcome> results =
        Map.of("a.BTest.holds(String, long) quiet.txt seed 1", PASSED, longer, FAILED);
    assertThat(judge(results, longer + ", a cause, with a comma, issue 7").passes()).isTrue();
    assertThat(
            judge(results, "a.BTest.holds(String, long) quiet.txt seed 1, a cause, issue 7")
                .passes())
        .isFalse();
  }

  @Test
  void failsForALineWithoutCauseOrIssueAndForOneListedTwice() {
    assertThat(judge(Map.of("a.BTest.holds()", FAILED), "a.BTest.holds(), a cause").passes())
        .isFalse();
    assertThat(judge(Map.of("a.BTest.holds()", FAILED), LINE, LINE).passes()).isFalse();
  }

  @Test
  void failsWhereTestsWereNotRun() {
    assertThat(judge(Map.of()).passes()).isFalse();
    assertThat(
            KnownRed.judge(Map.of("a.BTest.holds()", PASSED), List.of("a.CTest"), List.of())
                .passes())
        .isFalse();
  }

  @Test
  void readsReportsAndList(@TempDir Path root) throws Exception {
    report(root, "<testcase classname=\"a.BTest\" name=\"holds()\"><failure/></testcase>");
    assertThat(KnownRedProgram.run(root)).isEqualTo(1);
    Files.writeString(root.resolve("KNOWN-RED.txt"), LINE + "\n");
    assertThat(KnownRedProgram.run(root)).isEqualTo(0);
    Files.createDirectories(root.resolve("module/src/test/java/a"));
    Files.writeString(root.resolve("module/src/test/java/a/CTest.java"), "");
    assertThat(KnownRedProgram.run(root)).isEqualTo(1);
  }

  @Test
  void failsForAReportThatCanNotBeRead(@TempDir Path root) throws Exception {
    report(root, "<testcase classname=\"a.BTest\" name=\"holds()\"/>");
    assertThat(KnownRedProgram.run(root)).isEqualTo(0);
    report(root, "<testcase");
    assertThat(KnownRedProgram.run(root)).isEqualTo(1);
  }

  private static void report(Path root, String cases) throws IOException {
    Path module = root.resolve("module");
    Files.createDirectories(module.resolve("target/surefire-reports"));
    Files.writeString(module.resolve("pom.xml"), "");
    Files.writeString(
        module.resolve("target/surefire-reports/TEST-a.BTest.xml"),
        "<testsuite>" + cases + "</testsuite>");
  }
}
