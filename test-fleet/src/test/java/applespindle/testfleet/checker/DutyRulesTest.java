package applespindle.testfleet.checker;

import static com.google.common.truth.Truth.assertThat;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History;
import applespindle.testfleet.history.History.Kind;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** The rules on the duties accept a correct history, and reject a modified one for each rule. */
final class DutyRulesTest {
  private static final long WINDOW_MS = 5_000;
  private static final long DELAY_MS = 10_000;
  private static final long LEASE_MS = 3_000;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final long WINDOWS = 8;
  private static final long END_MS = 70_000;

  private static void report(
      History history, long atMs, String holder, long fence, long window, int count, int status) {
    history.add(
        atMs,
        Kind.USAGE_REPORTED,
        "usage",
        holder + " " + fence,
        window + " {tenant=" + count + "}",
        status);
  }

  private static long reportedAt(long window) {
    return (window + 1) * WINDOW_MS + 2_000;
  }

  /** All windows reported in time by one holder, except for one; then more, and the end. */
  private static List<Rule> broken(long leftOut, Consumer<History> more) {
    History history = new History();
    history.add(0, Kind.BOUND, "leaseMs", "", "", LEASE_MS);
    history.add(0, Kind.BOUND, "usageWindowMs", "", "", WINDOW_MS);
    history.add(0, Kind.BOUND, "usageDelayMs", "", "", DELAY_MS);
    for (long window = 1; window <= WINDOWS; window++) {
      if (window != leftOut) {
        report(history, reportedAt(window), "a", 3, window, 5, OK);
      }
    }
    more.accept(history);
    history.add(END_MS, Kind.FAULT, "end", "", "", 0);
    return Checker.check(history).stream().map(Violation::rule).distinct().toList();
  }

  @Test
  void aCorrectHistoryIsAccepted() {
    assertThat(broken(0, history -> {})).isEmpty();
  }

  @Test
  void anExactRepeatIsAccepted() {
    assertThat(broken(0, history -> report(history, 50_000, "b", 4, 8, 5, OK))).isEmpty();
  }

  @Test
  void anotherContentIsAViolationUnlessItIsRefused() {
    assertThat(broken(0, history -> report(history, 50_000, "b", 4, 8, 6, OK)))
        .containsExactly(Rule.USAGE_REPORTS_DIFFER);
    assertThat(broken(0, history -> report(history, 50_000, "b", 2, 8, 6, CONFLICT))).isEmpty();
  }

  @Test
  void aFenceOfTwoHoldersIsAViolation() {
    assertThat(broken(0, history -> report(history, 50_000, "b", 3, 8, 5, OK)))
        .containsExactly(Rule.FENCE_SHARED);
  }

  @Test
  void aHolderThatComesBackWithinALeaseIsAViolation() {
    long last = reportedAt(WINDOWS);
    assertThat(
            broken(
                0,
                history -> {
                  report(history, last + 100, "b", 4, 8, 5, OK);
                  report(history, last + LEASE_MS - 1, "a", 5, 8, 5, OK);
                }))
        .containsExactly(Rule.DUTY_HOLDER_BACK_TOO_SOON);
    assertThat(
            broken(
                0,
                history -> {
                  report(history, last + 100, "b", 4, 8, 5, OK);
                  report(history, last + 200, "c", 5, 8, 5, OK);
                  report(history, last + LEASE_MS - 1, "a", 6, 8, 5, OK);
                }))
        .containsExactly(Rule.DUTY_HOLDER_BACK_TOO_SOON);
    assertThat(
            broken(
                0,
                history -> {
                  report(history, last + 100, "b", 4, 8, 5, OK);
                  report(history, last + 200, "a", 3, 8, 5, CONFLICT);
                  report(history, last + LEASE_MS, "a", 5, 8, 5, OK);
                }))
        .isEmpty();
  }

  @Test
  void aWindowThatIsNeverReportedIsAViolation() {
    assertThat(broken(4, history -> {})).containsExactly(Rule.WINDOW_NOT_REPORTED);
    assertThat(broken(4, history -> report(history, 24_000, "a", 2, 4, 5, CONFLICT)))
        .containsExactly(Rule.WINDOW_NOT_REPORTED);
  }

  @Test
  void aWindowThatIsReportedLateIsAViolationInCalm() {
    long due = 5 * WINDOW_MS + DELAY_MS;
    assertThat(broken(4, history -> report(history, due, "a", 3, 4, 5, OK))).isEmpty();
    assertThat(broken(4, history -> report(history, due + 1, "a", 3, 4, 5, OK)))
        .containsExactly(Rule.WINDOW_NOT_REPORTED);
    assertThat(
            broken(
                4,
                history -> {
                  history.add(22_000, Kind.DUTY_TROUBLE, "", "began", "DOWN", 0);
                  history.add(36_000, Kind.DUTY_TROUBLE, "", "ended", "WELL", 0);
                  report(history, due + 3_000, "a", 3, 4, 5, OK);
                }))
        .isEmpty();
  }
}
