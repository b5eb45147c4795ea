package applespindle.testfleet.checker;

import static applespindle.testfleet.checker.Checker.Rule.ACCEPTED_BATCH_LOST;
import static applespindle.testfleet.checker.Checker.Rule.BUNDLE_NOT_IN_FORCE;
import static applespindle.testfleet.checker.Checker.Rule.CEILING_OVERSHOT;
import static applespindle.testfleet.checker.Checker.Rule.ONCE_REQUEST_RAN_WRONGLY;
import static applespindle.testfleet.checker.Checker.Rule.RAN_AFTER_END;
import static applespindle.testfleet.checker.Checker.Rule.REFUSED_BATCH_RAN;
import static applespindle.testfleet.checker.Checker.Rule.REPORTED_MISSING;
import static applespindle.testfleet.checker.Checker.Rule.RESULT_NOT_WHOLE;
import static applespindle.testfleet.checker.Checker.Rule.RESULT_TWICE_OR_CHANGED;
import static applespindle.testfleet.checker.Checker.Rule.SERVICE_NOT_BACK;
import static applespindle.testfleet.checker.Checker.Rule.WORK_TO_LEAVING_WORKER;
import static applespindle.testfleet.checker.Checker.Rule.WRONG_OR_CUT_ANSWER;
import static applespindle.testfleet.checker.HistoryEvents.accepted;
import static applespindle.testfleet.checker.HistoryEvents.batchRead;
import static applespindle.testfleet.checker.HistoryEvents.batchReadFailed;
import static applespindle.testfleet.checker.HistoryEvents.ceiling;
import static applespindle.testfleet.checker.HistoryEvents.configurationAnswered;
import static applespindle.testfleet.checker.HistoryEvents.configurationRead;
import static applespindle.testfleet.checker.HistoryEvents.configurationRoute;
import static applespindle.testfleet.checker.HistoryEvents.edgeConfiguration;
import static applespindle.testfleet.checker.HistoryEvents.endAnswered;
import static applespindle.testfleet.checker.HistoryEvents.item;
import static applespindle.testfleet.checker.HistoryEvents.itemReceived;
import static applespindle.testfleet.checker.HistoryEvents.leavingAnswered;
import static applespindle.testfleet.checker.HistoryEvents.liveAt;
import static applespindle.testfleet.checker.HistoryEvents.liveClass;
import static applespindle.testfleet.checker.HistoryEvents.liveCompleted;
import static applespindle.testfleet.checker.HistoryEvents.liveReceived;
import static applespindle.testfleet.checker.HistoryEvents.liveRefused;
import static applespindle.testfleet.checker.HistoryEvents.liveSent;
import static applespindle.testfleet.checker.HistoryEvents.refused;
import static applespindle.testfleet.checker.HistoryEvents.resultRead;
import static applespindle.testfleet.checker.HistoryEvents.submitSent;
import static applespindle.testfleet.checker.HistoryEvents.workerPool;
import static com.google.common.truth.Truth.assertThat;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.EmulatedOutput;
import applespindle.testfleet.history.History;
import applespindle.testfleet.history.History.Seen;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The checker accepts a correct history and rejects a modified one for each rule. */
class CheckerTest {
  private static final String OUTPUT_A = EmulatedOutput.whole("prompt a", 3);
  private static final String OUTPUT_B = EmulatedOutput.whole("prompt b", 3);

  /** One accepted batch of two items, finished and read; one live request; one configuration. */
  private static final List<Seen> CORRECT =
      List.of(
          ceiling(0, 10),
          item(1, "k", "a", "prompt a", 3),
          item(1, "k", "b", "prompt b", 3),
          accepted(10, "k", "b-1"),
          itemReceived(20, "b-1/a", "prompt a"),
          itemReceived(20, "b-1/b", "prompt b"),
          resultRead(100, "k", "a|succeeded", OUTPUT_A, 1),
          resultRead(100, "k", "b|succeeded", OUTPUT_B, 2),
          batchRead(100, "k", "finished", 2),
          liveSent(200, "l1", "once-1", "live prompt", 2),
          liveReceived(210, "w1", "live prompt"),
          liveCompleted(220, "l1", EmulatedOutput.whole("live prompt", 2)),
          configurationAnswered(300, 2, "", 200),
          configurationRead(400, 350, 2),
          edgeConfiguration(2_400, "edge-1", 2));

  /** The correct history, followed by further events. */
  private static History history(List<Seen> further) {
    History history = new History();
    for (List<Seen> events : List.of(CORRECT, further)) {
      for (Seen each : events) {
        history.add(
            each.atMs(), each.kind(), each.subject(), each.detail(), each.text(), each.number());
      }
    }
    return history;
  }

  private static void rejects(Rule rule, Seen... further) {
    rejects(rule, List.of(further));
  }

  private static void rejects(Rule rule, List<Seen> further) {
    List<Rule> violated =
        Checker.check(history(further)).stream().map(Violation::rule).distinct().toList();
    assertThat(violated).containsExactly(rule);
  }

  @Test
  void acceptsACorrectHistory() {
    assertThat(Checker.check(history(List.of()))).isEmpty();
  }

  @Test
  void rejectsALostBatch() {
    rejects(ACCEPTED_BATCH_LOST, accepted(500, "lost", "b-2"));
    rejects(ACCEPTED_BATCH_LOST, batchRead(500, "k", "running", 2));
  }

  @Test
  void rejectsAFinishedBatchThatLacksResults() {
    rejects(
        ACCEPTED_BATCH_LOST,
        item(500, "m", "a", "prompt a", 3),
        item(500, "m", "b", "prompt b", 3),
        accepted(510, "m", "b-2"),
        batchRead(600, "m", "finished", 1));
  }

  @Test
  void rejectsAnEndThatNobodyAskedFor() {
    rejects(ACCEPTED_BATCH_LOST, accepted(510, "m", "b-2"), batchRead(600, "m", "ended", 0));
  }

  @Test
  void rejectsARefusedBatchThatRan() {
    rejects(
        REFUSED_BATCH_RAN,
        refused(500, "r", "NotReady", "b-3", 503),
        itemReceived(900, "b-3/a", "x"));
  }

  @Test
  void rejectsABatchThatRanAfterAnyMixOfRefusals() {
    rejects(
        REFUSED_BATCH_RAN,
        refused(500, "m", "NotReady", "b-9", 503),
        itemReceived(600, "b-9/a", "x"),
        refused(700, "m", "BatchRefused", "b-9", 409));
  }

  @Test
  void rejectsAnItemTwiceAndAChangedResult() {
    rejects(RESULT_TWICE_OR_CHANGED, resultRead(500, "k", "a|succeeded", OUTPUT_A, 3));
    rejects(RESULT_TWICE_OR_CHANGED, resultRead(500, "k", "a|failed", "", 1));
  }

  @Test
  void rejectsAResultWithoutItsCompleteOutput() {
    rejects(
        RESULT_NOT_WHOLE,
        item(500, "k", "c", "prompt c", 3),
        resultRead(600, "k", "c|succeeded", EmulatedOutput.whole("prompt c", 2), 3),
        batchRead(600, "k", "finished", 3));
  }

  @Test
  void rejectsAFailedItemWhereNoWorkerFailed() {
    rejects(
        RESULT_NOT_WHOLE,
        item(500, "m", "a", "prompt a", 3),
        accepted(510, "m", "b-2"),
        resultRead(600, "m", "a|failed", "", 1),
        batchRead(600, "m", "finished", 1));
  }

  @Test
  void rejectsAnAcceptedBatchOrAReadResultReportedMissing() {
    rejects(
        REPORTED_MISSING,
        batchReadFailed(1_500, "k", "NoSuchBatch", 404),
        batchRead(1_600, "k", "finished", 2));
    rejects(
        REPORTED_MISSING,
        batchRead(1_500, "k", "finished", 1),
        batchRead(1_600, "k", "finished", 2));
  }

  @Test
  void rejectsAnOlderStateThanWasRead() {
    rejects(
        REPORTED_MISSING,
        batchRead(1_500, "k", "running", 2),
        batchRead(1_600, "k", "finished", 2));
  }

  @Test
  void rejectsItemsThatRunAfterTheEnd() {
    rejects(RAN_AFTER_END, endAnswered(500, "k"), itemReceived(3_501, "b-1/a", "prompt a"));
  }

  @Test
  void rejectsAOnceRequestThatRanTwiceOrAfterARefusal() {
    rejects(ONCE_REQUEST_RAN_WRONGLY, liveReceived(500, "w2", "live prompt"));
    rejects(
        ONCE_REQUEST_RAN_WRONGLY,
        liveSent(500, "l2", "once-2", "second", 2),
        liveRefused(600, "l2", "QueueFull", 429),
        liveReceived(700, "w1", "second"));
  }

  @Test
  void rejectsAnothersAndACutResponse() {
    for (String output :
        List.of(EmulatedOutput.whole("other", 2), EmulatedOutput.whole("second", 1))) {
      rejects(
          WRONG_OR_CUT_ANSWER,
          liveSent(500, "l2", "", "second", 2),
          liveCompleted(600, "l2", output));
    }
  }

  @Test
  void rejectsWorkToALeavingWorker() {
    rejects(WORK_TO_LEAVING_WORKER, leavingAnswered(500, "w1"), liveReceived(3_501, "w1", "third"));
  }

  @Test
  void rejectsAConfigurationThatIsNotInForceOrUndone() {
    rejects(BUNDLE_NOT_IN_FORCE, edgeConfiguration(2_301, "edge-2", 1));
    rejects(BUNDLE_NOT_IN_FORCE, configurationRead(900, 800, 1));
  }

  @Test
  void rejectsAConfigurationWithoutEffect() {
    rejects(
        BUNDLE_NOT_IN_FORCE,
        workerPool("w1", "main"),
        configurationRoute(0, 1, "check", "main"),
        configurationRoute(290, 2, "check", "spare"),
        liveClass(2_310, "l9", "check", "late prompt"),
        liveReceived(2_320, "w1", "late prompt"));
  }

  @Test
  void rejectsAServiceThatDoesNotRecover() {
    List<Seen> events = new ArrayList<>();
    for (int number = 2; number < 20; number++) {
      events.add(liveSent(number * 1_000L, "l" + number, "", "p" + number, 2));
      events.add(liveRefused(number * 1_000L + 10, "l" + number, "NotReady", 503));
    }
    rejects(SERVICE_NOT_BACK, events);
  }

  @Test
  void rejectsOneEdgeThatServesNobody() {
    List<Seen> events = new ArrayList<>();
    for (int number = 0; number < 20; number++) {
      long atMs = 1_000 + number * 1_000L;
      events.add(liveSent(atMs, "x" + number, "", "p" + number, 2));
      events.add(liveAt(atMs, "x" + number, "edge-1"));
      events.add(liveRefused(atMs + 1, "x" + number, "NotReady", 503));
      events.add(liveSent(atMs + 2, "y" + number, "", "q" + number, 2));
      events.add(liveCompleted(atMs + 3, "y" + number, EmulatedOutput.whole("q" + number, 2)));
    }
    rejects(SERVICE_NOT_BACK, events);
  }

  @Test
  void rejectsABatchThatCanNotBeRead() {
    List<Seen> events = new ArrayList<>();
    for (int number = 0; number < 6; number++) {
      events.add(batchReadFailed(1_000 + number * 4_000, "k", "NoMajority", 503));
    }
    events.add(batchRead(30_000, "k", "finished", 2));
    rejects(SERVICE_NOT_BACK, events);
  }

  @Test
  void rejectsABatchThatIsPassedOver() {
    List<Seen> events = new ArrayList<>();
    events.add(item(1_000, "m", "a", "prompt a", 3));
    events.add(item(3_500, "n", "a", "prompt a", 3));
    events.add(accepted(1_000, "m", "b-2"));
    events.add(accepted(3_500, "n", "b-3"));
    events.add(batchRead(5_000, "n", "finished", 1));
    for (int second = 2; second < 16; second++) {
      events.add(batchRead(second * 1_000L, "m", "accepted", 0));
    }
    events.add(batchRead(16_000, "m", "finished", 1));
    rejects(SERVICE_NOT_BACK, events);
  }

  @Test
  void rejectsCommandsThatStayUnanswered() {
    List<Seen> events = new ArrayList<>();
    for (int number = 0; number < 8; number++) {
      events.add(configurationAnswered(1_000 + number * 2_000, 3, "OutcomeUnknown", 504));
    }
    rejects(SERVICE_NOT_BACK, events);
  }

  @Test
  void rejectsACapacityRefusalWhereCapacityIsFree() {
    rejects(
        SERVICE_NOT_BACK, submitSent(20_000, "m", 2), refused(20_010, "m", "NoRoom", "b-2", 429));
  }

  @Test
  void rejectsAnOvershotCeiling() {
    List<Seen> events = new ArrayList<>();
    for (int number = 0; number < 12; number++) {
      events.add(item(400, "big", "i" + number, "p", 1));
    }
    events.add(accepted(500, "big", "b-9"));
    events.add(batchRead(600, "big", "finished", 12));
    rejects(CEILING_OVERSHOT, events);
  }

  @Test
  void namesTheLineOfABrokenHistory() throws History.UnreadableHistoryException {
    String lines = history(List.of()).toLines();
    assertThat(History.fromLines(lines).toLines()).isEqualTo(lines);
    try {
      History.fromLines(lines + "{broken");
      throw new AssertionError("a broken line was read");
    } catch (History.UnreadableHistoryException broken) {
      assertThat(broken.line).isEqualTo(16);
    }
  }
}
