package applespindle.testfleet.checker;

import static applespindle.testfleet.checker.Checker.Rule.BUNDLE_NOT_IN_FORCE;
import static applespindle.testfleet.checker.Checker.Rule.UNKNOWN_KEY_RAN;
import static applespindle.testfleet.checker.Checker.Rule.WITHDRAWN_KEY_RAN;
import static applespindle.testfleet.checker.Checker.Rule.WRONG_TENANT;
import static applespindle.testfleet.checker.ProxyHistories.ONCE;
import static applespindle.testfleet.checker.ProxyHistories.add;
import static applespindle.testfleet.checker.ProxyHistories.answered;
import static applespindle.testfleet.checker.ProxyHistories.part;
import static applespindle.testfleet.checker.ProxyHistories.runs;
import static applespindle.testfleet.history.History.Kind.BOUND;
import static applespindle.testfleet.history.History.Kind.CHANGE_ANSWERED;
import static applespindle.testfleet.history.History.Kind.CHANGE_KEY;
import static applespindle.testfleet.history.History.Kind.CHANGE_ROUTE;
import static applespindle.testfleet.history.History.Kind.CHANGE_SENT;
import static applespindle.testfleet.history.History.Kind.REQUEST_ANSWERED;
import static applespindle.testfleet.history.History.Kind.REQUEST_KEY;
import static applespindle.testfleet.history.History.Kind.REQUEST_SENT;
import static applespindle.testfleet.history.History.Kind.RUN_TENANT;
import static applespindle.testfleet.history.History.Kind.TROUBLE;
import static applespindle.testfleet.history.History.Kind.WORKER_BORN;
import static com.google.common.truth.Truth.assertThat;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.history.History;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules of tenants accept what is right and reject each breach. */
final class TenantRulesTest {
  private static final String FREE = "POST h /free/1 body-1";

  /** Two tenants; the second change, acknowledged at 10 s, takes key-1 away from the first. */
  private static History history() {
    History history = new History();
    add(history, 0, BOUND, "revokeMs", "", "", 5_000);
    add(history, 0, WORKER_BORN, "i-1", "alpha", "10.0.0.1:1", 0);
    change(history, 10, "c1", 1, 0, "one key-1", "two key-2");
    add(history, 20, CHANGE_ANSWERED, "c1", "", "", 200);
    change(history, 9_990, "c2", 2, 1, "one key-3", "two key-2");
    add(history, 10_000, CHANGE_ANSWERED, "c2", "", "", 200);
    return history;
  }

  private static void change(
      History history, long at, String id, long number, long buildsOn, String... keys) {
    add(history, at, CHANGE_SENT, id, "valid", Long.toString(buildsOn), number);
    add(history, at, CHANGE_ROUTE, id, "once", "h /once/ once 2 0 alpha", number);
    add(history, at, CHANGE_ROUTE, id, "free", "h /free/ once 2 0 alpha public", number);
    for (String key : keys) {
      String[] words = key.split(" ");
      add(history, at, CHANGE_KEY, id, words[0], words[1], number);
    }
  }

  private static void sent(History history, long at, String asked, String key) {
    add(history, at, REQUEST_SENT, "q1", "once edge-1", asked, 4);
    add(history, at, REQUEST_KEY, "q1", "", key, 0);
  }

  private static void ran(History history, long at, String asked, String tenant, int passedOn) {
    runs(history, at, "i-1", "q1", asked, "r1", 0, 200);
    add(history, at, RUN_TENANT, tenant, "q1", "r1", passedOn);
    answered(history, at + 60, "q1", "complete", asked, "r1", part(asked, 1, 4, "r1"), 200);
  }

  private static List<Rule> broken(History history) {
    return Checker.check(history).stream().map(Checker.Violation::rule).distinct().toList();
  }

  private static List<Rule> broken(long at, String asked, String key, String tenant, int passedOn) {
    History history = history();
    sent(history, at, asked, key);
    ran(history, at + 10, asked, tenant, passedOn);
    return broken(history);
  }

  private static List<Rule> brokenByRefusal(long at, String key) {
    History history = history();
    sent(history, at, ONCE, key);
    add(history, at + 10, REQUEST_ANSWERED, "q1", "refused", "\n", 401);
    return broken(history);
  }

  @Test
  void aRunForTheTenantOfTheKeyIsRight() {
    assertThat(broken(5_000, ONCE, "key-1", "one", 0)).isEmpty();
    assertThat(broken(5_000, ONCE, "key-2", "two", 0)).isEmpty();
    assertThat(broken(5_000, FREE, "never-held", "", 0)).isEmpty();
    assertThat(broken(5_000, FREE, "key-1", "one", 0)).isEmpty();
  }

  @Test
  void anotherTenantOrTheClientsCredentialsAreWrong() {
    assertThat(broken(5_000, ONCE, "key-1", "two", 0)).containsExactly(WRONG_TENANT);
    assertThat(broken(5_000, ONCE, "key-1", "", 0)).containsExactly(WRONG_TENANT);
    assertThat(broken(5_000, ONCE, "key-1", "", 1)).containsExactly(WRONG_TENANT);
    assertThat(broken(5_000, FREE, "key-1", "", 1)).containsExactly(WRONG_TENANT);
    assertThat(broken(5_000, FREE, "never-held", "one", 0)).containsExactly(WRONG_TENANT);
  }

  @Test
  void aKeyThatNoChangeHeldRunsNowhere() {
    assertThat(broken(5_000, ONCE, "never-held", "one", 0))
        .containsExactly(WRONG_TENANT, UNKNOWN_KEY_RAN, BUNDLE_NOT_IN_FORCE);
    assertThat(broken(5_000, ONCE, "", "", 0))
        .containsAtLeast(UNKNOWN_KEY_RAN, BUNDLE_NOT_IN_FORCE);
  }

  @Test
  void aWithdrawnKeyRunsNoLongerThanTheBoundAtAnyMachine() {
    assertThat(broken(11_500, ONCE, "key-1", "one", 0)).isEmpty();
    assertThat(broken(12_500, ONCE, "key-1", "one", 0)).containsExactly(BUNDLE_NOT_IN_FORCE);
    assertThat(broken(15_100, ONCE, "key-1", "one", 0))
        .containsExactly(BUNDLE_NOT_IN_FORCE, WITHDRAWN_KEY_RAN);
    assertThat(brokenAtAFrozenEdge(14_500)).isEmpty();
    assertThat(brokenAtAFrozenEdge(15_100)).containsExactly(WITHDRAWN_KEY_RAN);
  }

  private static List<Rule> brokenAtAFrozenEdge(long at) {
    History history = history();
    add(history, 9_000, TROUBLE, "edge-1", "began frozen", "edge", 0);
    sent(history, at, ONCE, "key-1");
    ran(history, at + 10, ONCE, "one", 0);
    return broken(history);
  }

  @Test
  void aKeyInForceIsNotRefusedAsUnknown() {
    assertThat(brokenByRefusal(5_000, "key-1")).containsExactly(BUNDLE_NOT_IN_FORCE);
    assertThat(brokenByRefusal(5_000, "key-2")).containsExactly(BUNDLE_NOT_IN_FORCE);
    assertThat(brokenByRefusal(15_000, "key-3")).containsExactly(BUNDLE_NOT_IN_FORCE);
    assertThat(brokenByRefusal(11_000, "key-3")).isEmpty();
    assertThat(brokenByRefusal(15_000, "key-1")).isEmpty();
    assertThat(brokenByRefusal(15_000, "never-held")).isEmpty();
  }
}
