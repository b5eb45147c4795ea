package applespindle.testfleet.checker;

import static com.google.common.truth.Truth.assertThat;

import applespindle.testfleet.history.History;
import applespindle.testfleet.history.History.Kind;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Histories that a register explains are accepted, and doctored ones are rejected. */
class LinearizabilityCheckerTest {
  private final History history = new History();

  private void sent(long atMs, String id, long buildsOn, long number) {
    history.add(atMs, Kind.CHANGE_SENT, id, "valid", Long.toString(buildsOn), number);
  }

  private void invalid(long atMs, String id, long buildsOn, long number) {
    history.add(atMs, Kind.CHANGE_SENT, id, "invalid", Long.toString(buildsOn), number);
  }

  private void answered(long sentMs, long atMs, String id, int status) {
    history.add(atMs, Kind.CHANGE_ANSWERED, id, "", Long.toString(sentMs), status);
  }

  private void read(long sentMs, long atMs, String id, long number) {
    history.add(atMs, Kind.CHANGE_READ, id, "", Long.toString(sentMs), number);
  }

  private void accepts() {
    assertThat(LinearizabilityChecker.check(history.all())).isEqualTo(Optional.empty());
  }

  private void rejects(String what) {
    Optional<String> violation = LinearizabilityChecker.check(history.all());
    assertThat(violation.isPresent()).isTrue();
    assertThat(violation.get()).contains(what);
  }

  /** a, taken and in force from 20 on. */
  private void first() {
    sent(10, "a", 0, 5);
    answered(10, 20, "a", 200);
  }

  @Test
  void acceptsAChainOfOrders() {
    first();
    sent(30, "b", 5, 7);
    sent(30, "c", 5, 8);
    answered(30, 50, "b", 200);
    answered(30, 60, "c", 412);
    read(70, 80, "b", 7);
    answered(90, 95, "a", 200);
    answered(90, 95, "c", 412);
    accepts();
  }

  @Test
  void rejectsTwoAcknowledgedOnOneBase() {
    first();
    sent(30, "b", 5, 7);
    sent(30, "c", 5, 8);
    answered(30, 50, "b", 200);
    answered(30, 60, "c", 200);
    rejects("c (5 to 8)");
  }

  @Test
  void rejectsTwoAcknowledgedUnderOneNumber() {
    first();
    sent(30, "b", 5, 7);
    sent(30, "c", 5, 7);
    answered(30, 50, "b", 200);
    answered(30, 60, "c", 200);
    rejects("c (5 to 7)");
  }

  @Test
  void rejectsTheRefusalOfARetryOfAnAcceptedCommand() {
    first();
    sent(30, "b", 5, 7);
    answered(30, 50, "b", 200);
    answered(60, 70, "a", 412);
    rejects("a (0 to 5)");
  }

  @Test
  void rejectsTheRefusalOfAnOrderOnlySeenByARead() {
    first();
    sent(30, "b", 5, 7);
    answered(30, 1_030, "b", 0);
    read(1_040, 1_050, "b", 7);
    answered(1_060, 1_070, "b", 412);
    rejects("b (5 to 7)");
  }

  @Test
  void rejectsALoserInForce() {
    first();
    sent(30, "b", 5, 7);
    sent(30, "c", 5, 8);
    answered(30, 50, "b", 200);
    answered(30, 60, "c", 412);
    read(70, 80, "c", 8);
    rejects("c (5 to 8)");
  }

  @Test
  void rejectsALoserThatComesIntoForceWhenTheWinnerWasNeverSeen() {
    first();
    sent(30, "b", 5, 7);
    sent(30, "c", 5, 8);
    answered(30, 1_030, "b", 0);
    answered(30, 60, "c", 412);
    read(70, 80, "c", 8);
    rejects("c (5 to 8)");
  }

  @Test
  void rejectsAnInvalidOrderAcknowledgedOrRead() {
    first();
    invalid(30, "b", 5, 7);
    answered(30, 40, "b", 200);
    rejects("b (5 to 7, invalid)");
  }

  @Test
  void rejectsAnOrderWhoseNumberDoesNotRise() {
    first();
    sent(30, "b", 5, 4);
    answered(30, 40, "b", 200);
    rejects("b (5 to 4)");
  }

  @Test
  void acceptsTheRefusalOfAnInvalidOrderByAnyStatus() {
    first();
    invalid(30, "b", 5, 7);
    sent(30, "c", 5, 4);
    answered(30, 40, "b", 422);
    answered(30, 40, "c", 400);
    accepts();
  }

  @Test
  void rejectsARefusalOnTopOfWhatIsInForce() {
    first();
    sent(30, "b", 5, 7);
    answered(30, 40, "b", 412);
    rejects("b (5 to 7)");
  }

  @Test
  void rejectsAReadThatGoesBack() {
    first();
    sent(30, "b", 5, 7);
    answered(30, 1_030, "b", 0);
    read(1_100, 1_110, "b", 7);
    read(1_120, 1_130, "a", 5);
    rejects("a (0 to 5)");
  }

  @Test
  void rejectsAReadOlderThanAnAcknowledgement() {
    first();
    sent(30, "b", 5, 7);
    answered(30, 50, "b", 200);
    read(60, 70, "a", 5);
    rejects("a (0 to 5)");
  }

  @Test
  void acceptsReadsOfEitherBesideAnAcknowledgement() {
    first();
    sent(30, "b", 5, 7);
    read(35, 60, "a", 5);
    read(35, 45, "b", 7);
    answered(30, 50, "b", 200);
    accepts();
  }

  @Test
  void acceptsACommandWithUnknownOutcomeThatTakesEffectMuchLater() {
    first();
    sent(30, "b", 5, 7);
    answered(30, 1_030, "b", 0);
    read(2_000, 2_010, "a", 5);
    read(3_000, 3_010, "b", 7);
    answered(4_000, 4_010, "b", 200);
    accepts();
  }

  @Test
  void rejectsAnOrderThatWasInForceBeforeItWasSent() {
    first();
    sent(50, "b", 5, 7);
    read(30, 40, "b", 7);
    rejects("b (5 to 7)");
  }

  @Test
  void keepsBothOfTwoOrdersUnderOneNumberInMindUntilOneIsSeen() {
    first();
    sent(30, "b", 5, 7);
    sent(30, "c", 5, 7);
    answered(30, 1_030, "b", 0);
    answered(30, 1_030, "c", 504);
    sent(1_100, "d", 7, 9);
    answered(1_100, 1_110, "d", 200);
    answered(1_200, 1_210, "c", 200);
    accepts();
    answered(1_300, 1_310, "b", 200);
    rejects("b (5 to 7)");
  }

  @Test
  void followsThousandsOfOrdersSomeWithoutAnswers() {
    SplittableRandom random = new SplittableRandom(1);
    long now = 0;
    long current = 0;
    for (int change = 1; change <= 3_000; change++) {
      now += 10;
      sent(now, "c" + change, current, current + 2);
      sent(now, "x" + change, current, current + 2);
      boolean acknowledged = random.nextInt(3) > 0;
      answered(now, now + 5, "c" + change, acknowledged ? 200 : 504);
      answered(now, now + 6, "x" + change, acknowledged ? 412 : 0);
      current += 2;
      if (!acknowledged) {
        answered(now + 7, now + 8, "c" + change, 200);
      }
    }
    answered(now + 20, now + 21, "c7", 200);
    accepts();
    answered(now + 30, now + 31, "c7", 412);
    rejects("c7 ");
  }
}
