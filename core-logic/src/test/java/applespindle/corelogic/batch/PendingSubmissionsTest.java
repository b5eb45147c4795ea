package applespindle.corelogic.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** A batch without an answer past its deadline is found, once. */
class PendingSubmissionsTest {
  private final PendingSubmissions submissions = new PendingSubmissions();

  @Test
  void oneCallPastTheDeadlineIsNotOverdue() {
    submissions.begin("one", 100);

    assertThat(submissions.overdue(100)).isEmpty();
    assertThat(submissions.overdue(101)).isEmpty();
    assertThat(submissions.overdue(102)).containsExactly("one");
    assertThat(submissions.overdue(103)).isEmpty();
  }

  @Test
  void aResponseBetweenTwoCallsIsNotOverdue() {
    long number = submissions.begin("one", 100);
    submissions.begin("two", 100);
    submissions.overdue(101);
    submissions.end(number);

    assertThat(submissions.overdue(102)).containsExactly("two");
    assertThat(submissions.size()).isEqualTo(0);
  }
}
