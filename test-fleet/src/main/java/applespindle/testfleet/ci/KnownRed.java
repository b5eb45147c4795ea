package applespindle.testfleet.ci;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Whether a run of all tests may pass: failures only of tests that are listed as known, each of
 * which must fail. A line of the list is: test, cause, issue. The test is its full name as
 * reported, which may hold commas of its own.
 */
final class KnownRed {
  enum Outcome {
    PASSED,
    FAILED,
    SKIPPED
  }

  /**
   * Whether the run passes.
   *
   * @param reasons why it does not pass; empty if it does
   * @param known the lines of the list whose tests failed as listed
   */
  record Verdict(List<String> reasons, List<String> known) {
    boolean passes() {
      return reasons.isEmpty();
    }
  }

  /**
   * Compares a run with the list.
   *
   * @param results outcomes by the full name of the test
   * @param unreported test classes of the sources without a report
   * @param lines the list of known failures
   */
  static Verdict judge(Map<String, Outcome> results, List<String> unreported, List<String> lines) {
    List<String> reasons = new ArrayList<>();
    Map<String, String> listed = listed(results, lines, reasons);
    if (results.isEmpty()) {
      reasons.add("no test was reported");
    }
    unreported.forEach(missing -> reasons.add("no report of " + missing));
    List<String> known = new ArrayList<>();
    listed.forEach(
        (test, line) -> {
          Outcome outcome = results.get(test);
          if (outcome == Outcome.FAILED) {
            known.add(line);
          } else {
            String actual = outcome == Outcome.PASSED ? "passes: " : "is skipped: ";
            reasons.add("listed, and it " + actual + test);
          }
        });
    results.forEach(
        (test, outcome) -> {
          if (outcome == Outcome.FAILED && !listed.containsKey(test)) {
            reasons.add("failed: " + test);
          }
        });
    return new Verdict(reasons, known);
  }

  /** The lines of the list by their test; adds a reason for each line that can't be used. */
  private static Map<String, String> listed(
      Map<String, Outcome> results, List<String> lines, List<String> reasons) {
    Map<String, String> listed = new LinkedHashMap<>();
    for (String line : lines) {
      String entry = line.strip();
      if (entry.isEmpty()) {
        continue;
      }
      String test = testOf(entry, results);
      if (test == null) {
        reasons.add("listed, and there is no such test: " + entry);
      } else if (!entry.substring(test.length() + 2).matches("\\S.*, .*\\S")) {
        reasons.add("a line of the list is not of the form test, cause, issue: " + entry);
      } else if (listed.put(test, entry) != null) {
        reasons.add("listed twice: " + test);
      }
    }
    return listed;
  }

  /** The reported test that a line begins with, the longest if there are several; null if none. */
  private static String testOf(String entry, Map<String, Outcome> results) {
    return results.keySet().stream()
        .filter(name -> entry.startsWith(name + ", "))
        .max(Comparator.comparingInt(String::length))
        .orElse(null);
  }

  private KnownRed() {}
}
