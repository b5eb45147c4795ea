package applespindle.testfleet.checker;

import static com.google.common.truth.Truth.assertThat;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History;
import applespindle.testfleet.history.History.Kind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The rule on usage accepts what workers began, and rejects what is more than a little off. */
final class UsageRulesTest {
  private static final long WINDOW_MS = 5_000;
  private static final int OK = 200;
  private static final int BEGUN = 100;

  private History history;

  /** Two edges; 100 requests of each of two tenants begin in window 1. */
  @BeforeEach
  void begin() {
    history = new History();
    history.add(0, Kind.BOUND, "usageOfEdges", "", "", 1);
    history.add(0, Kind.BOUND, "usageWindowMs", "", "", WINDOW_MS);
    for (int number = 0; number < BEGUN; number++) {
      run("one", "a" + number, "edge-1");
      run("two", "b" + number, "edge-2");
    }
  }

  private void run(String tenant, String request, String edge) {
    history.add(6_000, Kind.REQUEST_SENT, request, "stream " + edge, "", 1);
    history.add(6_010, Kind.RUN_PUT_OUT, tenant, request, "run-" + request, 0);
  }

  private List<Rule> brokenBy(String counters) {
    history.add(12_000, Kind.USAGE_REPORTED, "usage", "a 1", "1 " + counters, OK);
    List<Violation> violations = new ArrayList<>();
    new UsageRules(new ObservedTraffic(history), violations).usageIsAsBegun();
    return violations.stream().map(Violation::rule).distinct().toList();
  }

  @Test
  void trueUsageIsAccepted() {
    assertThat(brokenBy("{one=100, two=100}")).isEmpty();
    assertThat(brokenBy("{one=97, two=103}")).isEmpty();
  }

  @Test
  void tooManyAndTooFewAreViolations() {
    assertThat(brokenBy("{one=120, two=100}")).containsExactly(Rule.USAGE_WRONG);
  }

  @Test
  void aTenantThatIsLeftOutIsAViolation() {
    assertThat(brokenBy("{one=100}")).containsExactly(Rule.USAGE_WRONG);
  }

  @Test
  void anotherTenantsRequestsAreAViolation() {
    assertThat(brokenBy("{one=60, two=140}")).containsExactly(Rule.USAGE_WRONG);
  }

  @Test
  void aFurtherRunAndAnItemOfABatchDoNotCount() {
    for (int number = 0; number < BEGUN; number++) {
      history.add(6_500, Kind.RUN_PUT_OUT, "one", "a" + number, "again-" + number, 0);
      history.add(6_500, Kind.RUN_PUT_OUT, "one", "item-" + number, "run-" + number, 0);
    }
    assertThat(brokenBy("{one=100, two=100}")).isEmpty();
  }

  @Test
  void anEdgeThatDiesTakesAPartAlong() {
    assertThat(brokenBy("{one=80, two=100}")).containsExactly(Rule.USAGE_WRONG);
    begin();
    history.add(9_000, Kind.TROUBLE, "edge-1", "began down", "edge", 0);
    assertThat(brokenBy("{one=80, two=100}")).isEmpty();
  }
}
