package applespindle.testfleet;

import static applespindle.testfleet.Checker.Rule.ACCEPTED_BATCH_LOST;
import static applespindle.testfleet.Checker.Rule.BUNDLE_NOT_IN_FORCE;
import static applespindle.testfleet.Checker.Rule.CEILING_OVERSHOT;
import static applespindle.testfleet.Checker.Rule.ONCE_REQUEST_RAN_WRONGLY;
import static applespindle.testfleet.Checker.Rule.RAN_AFTER_END;
import static applespindle.testfleet.Checker.Rule.REFUSED_BATCH_RAN;
import static applespindle.testfleet.Checker.Rule.REPORTED_MISSING;
import static applespindle.testfleet.Checker.Rule.RESULT_NOT_WHOLE;
import static applespindle.testfleet.Checker.Rule.RESULT_TWICE_OR_CHANGED;
import static applespindle.testfleet.Checker.Rule.SERVICE_NOT_BACK;
import static applespindle.testfleet.Checker.Rule.WORK_TO_LEAVING_WORKER;
import static applespindle.testfleet.Checker.Rule.WRONG_OR_CUT_ANSWER;
import static applespindle.testfleet.History.Kind.BATCH_READ;
import static applespindle.testfleet.History.Kind.BUNDLE_ANSWERED;
import static applespindle.testfleet.History.Kind.BUNDLE_READ;
import static applespindle.testfleet.History.Kind.BUNDLE_WAY;
import static applespindle.testfleet.History.Kind.CEILING;
import static applespindle.testfleet.History.Kind.EDGE_BUNDLE;
import static applespindle.testfleet.History.Kind.END_ANSWERED;
import static applespindle.testfleet.History.Kind.ITEM;
import static applespindle.testfleet.History.Kind.LEAVING_ANSWERED;
import static applespindle.testfleet.History.Kind.LIVE_ANSWERED;
import static applespindle.testfleet.History.Kind.LIVE_AT;
import static applespindle.testfleet.History.Kind.LIVE_CLASS;
import static applespindle.testfleet.History.Kind.LIVE_SENT;
import static applespindle.testfleet.History.Kind.RESULT_READ;
import static applespindle.testfleet.History.Kind.SUBMIT_ANSWERED;
import static applespindle.testfleet.History.Kind.SUBMIT_SENT;
import static applespindle.testfleet.History.Kind.WORKER_POOL;
import static applespindle.testfleet.History.Kind.WORKER_RECEIVED;
import static com.google.common.truth.Truth.assertThat;

import applespindle.testfleet.Checker.Rule;
import applespindle.testfleet.History.Kind;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** The checker accepts a sound history and rejects a doctored one for each never-rule. */
class CheckerTest {
  private static final String WHOLE_A = EmulatedOutput.whole("prompt a", 3);
  private static final String WHOLE_B = EmulatedOutput.whole("prompt b", 3);

  private static void add(
      History history,
      long at,
      Kind kind,
      String subject,
      String detail,
      String text,
      long number) {
    history.add(at, kind, subject, detail, text, number);
  }

  /** One accepted batch of two items, finished and read; one live request; one bundle. */
  private static History sound() {
    History history = new History();
    add(history, 0, CEILING, "", "", "", 10);
    add(history, 1, ITEM, "k", "a", "prompt a", 3);
    add(history, 1, ITEM, "k", "b", "prompt b", 3);
    add(history, 10, SUBMIT_ANSWERED, "k", "", "b-1", 201);
    add(history, 20, WORKER_RECEIVED, "w1", "b-1/a", "prompt a", 0);
    add(history, 20, WORKER_RECEIVED, "w1", "b-1/b", "prompt b", 0);
    add(history, 100, RESULT_READ, "k", "a|succeeded", WHOLE_A, 1);
    add(history, 100, RESULT_READ, "k", "b|succeeded", WHOLE_B, 2);
    add(history, 100, BATCH_READ, "k", "finished", "2", 200);
    add(history, 200, LIVE_SENT, "l1", "once-1", "live prompt", 2);
    add(history, 210, WORKER_RECEIVED, "w1", "", "live prompt", 0);
    add(history, 220, LIVE_ANSWERED, "l1", "complete", EmulatedOutput.whole("live prompt", 2), 200);
    add(history, 300, BUNDLE_ANSWERED, "2", "", "", 200);
    add(history, 400, BUNDLE_READ, "", "", "350", 2);
    add(history, 2_400, EDGE_BUNDLE, "edge-1", "", "", 2);
    return history;
  }

  private static void rejects(Rule rule, Consumer<History> doctoring) {
    History history = sound();
    doctoring.accept(history);
    List<Rule> found =
        Checker.check(history).stream().map(Checker.Violation::rule).distinct().toList();
    assertThat(found).containsExactly(rule);
  }

  @Test
  void acceptsASoundHistory() {
    assertThat(Checker.check(sound())).isEmpty();
  }

  @Test
  void rejectsALostBatch() {
    rejects(
        ACCEPTED_BATCH_LOST, history -> add(history, 500, SUBMIT_ANSWERED, "lost", "", "b-2", 201));
    rejects(
        ACCEPTED_BATCH_LOST, history -> add(history, 500, BATCH_READ, "k", "running", "2", 200));
  }

  @Test
  void rejectsARefusedBatchThatRan() {
    rejects(
        REFUSED_BATCH_RAN,
        history -> {
          add(history, 500, SUBMIT_ANSWERED, "r", "NotReady", "b-3", 503);
          add(history, 900, WORKER_RECEIVED, "w1", "b-3/a", "x", 0);
        });
  }

  @Test
  void rejectsAnItemTwiceAndAChangedResult() {
    rejects(
        RESULT_TWICE_OR_CHANGED,
        history -> add(history, 500, RESULT_READ, "k", "a|succeeded", WHOLE_A, 3));
    rejects(
        RESULT_TWICE_OR_CHANGED, history -> add(history, 500, RESULT_READ, "k", "a|failed", "", 1));
  }

  @Test
  void rejectsAResultWithoutItsWholeOutput() {
    rejects(
        RESULT_NOT_WHOLE,
        history -> {
          add(history, 500, ITEM, "k", "c", "prompt c", 3);
          add(
              history,
              600,
              RESULT_READ,
              "k",
              "c|succeeded",
              EmulatedOutput.whole("prompt c", 2),
              3);
          add(history, 600, BATCH_READ, "k", "finished", "3", 200);
        });
  }

  @Test
  void rejectsAnAcceptedBatchOrAReadResultReportedMissing() {
    rejects(
        REPORTED_MISSING,
        history -> {
          add(history, 1_500, BATCH_READ, "k", "NoSuchBatch", "0", 404);
          add(history, 1_600, BATCH_READ, "k", "finished", "2", 200);
        });
    rejects(
        REPORTED_MISSING,
        history -> {
          add(history, 1_500, BATCH_READ, "k", "finished", "1", 200);
          add(history, 1_600, BATCH_READ, "k", "finished", "2", 200);
        });
  }

  @Test
  void rejectsItemsThatRunAfterTheEnd() {
    rejects(
        RAN_AFTER_END,
        history -> {
          add(history, 500, END_ANSWERED, "k", "", "", 200);
          add(history, 3_501, WORKER_RECEIVED, "w1", "b-1/a", "prompt a", 0);
        });
  }

  @Test
  void rejectsAOnceRequestThatRanTwiceOrAfterARefusal() {
    rejects(
        ONCE_REQUEST_RAN_WRONGLY,
        history -> add(history, 500, WORKER_RECEIVED, "w2", "", "live prompt", 0));
    rejects(
        ONCE_REQUEST_RAN_WRONGLY,
        history -> {
          add(history, 500, LIVE_SENT, "l2", "once-2", "second", 2);
          add(history, 600, LIVE_ANSWERED, "l2", "QueueFull", "", 429);
          add(history, 700, WORKER_RECEIVED, "w1", "", "second", 0);
        });
  }

  @Test
  void rejectsAnothersAndACutAnswer() {
    rejects(
        WRONG_OR_CUT_ANSWER,
        history -> {
          add(history, 500, LIVE_SENT, "l2", "", "second", 2);
          add(history, 600, LIVE_ANSWERED, "l2", "complete", EmulatedOutput.whole("other", 2), 200);
        });
    rejects(
        WRONG_OR_CUT_ANSWER,
        history -> {
          add(history, 500, LIVE_SENT, "l2", "", "second", 2);
          add(
              history,
              600,
              LIVE_ANSWERED,
              "l2",
              "complete",
              EmulatedOutput.whole("second", 1),
              200);
        });
  }

  @Test
  void rejectsWorkToALeavingWorker() {
    rejects(
        WORK_TO_LEAVING_WORKER,
        history -> {
          add(history, 500, LEAVING_ANSWERED, "w1", "", "", 200);
          add(history, 3_501, WORKER_RECEIVED, "w1", "", "third", 0);
        });
  }

  @Test
  void rejectsABundleThatIsNotInForceOrUndone() {
    rejects(BUNDLE_NOT_IN_FORCE, history -> add(history, 2_301, EDGE_BUNDLE, "edge-2", "", "", 1));
    rejects(BUNDLE_NOT_IN_FORCE, history -> add(history, 900, BUNDLE_READ, "", "", "800", 1));
  }

  @Test
  void rejectsAServiceThatDoesNotComeBack() {
    rejects(
        SERVICE_NOT_BACK,
        history -> {
          for (int number = 2; number < 20; number++) {
            add(history, number * 1_000L, LIVE_SENT, "l" + number, "", "p" + number, 2);
            add(history, number * 1_000L + 10, LIVE_ANSWERED, "l" + number, "NotReady", "", 503);
          }
        });
  }

  @Test
  void rejectsAnOvershotCeiling() {
    rejects(
        CEILING_OVERSHOT,
        history -> {
          for (int item = 0; item < 12; item++) {
            add(history, 400, ITEM, "big", "i" + item, "p", 1);
          }
          add(history, 500, SUBMIT_ANSWERED, "big", "", "b-9", 201);
          add(history, 600, BATCH_READ, "big", "finished", "12", 200);
        });
  }

  // ---- each of these passed an earlier checker

  @Test
  void rejectsAFinishedBatchThatLacksResults() {
    rejects(
        ACCEPTED_BATCH_LOST,
        history -> {
          add(history, 500, ITEM, "m", "a", "prompt a", 3);
          add(history, 500, ITEM, "m", "b", "prompt b", 3);
          add(history, 510, SUBMIT_ANSWERED, "m", "", "b-2", 201);
          add(history, 600, BATCH_READ, "m", "finished", "1", 200);
        });
  }

  @Test
  void rejectsAnEndThatNobodyAskedFor() {
    rejects(
        ACCEPTED_BATCH_LOST,
        history -> {
          add(history, 510, SUBMIT_ANSWERED, "m", "", "b-2", 201);
          add(history, 600, BATCH_READ, "m", "ended", "0", 200);
        });
  }

  @Test
  void rejectsAFailedItemWhereNoWorkerFailed() {
    rejects(
        RESULT_NOT_WHOLE,
        history -> {
          add(history, 500, ITEM, "m", "a", "prompt a", 3);
          add(history, 510, SUBMIT_ANSWERED, "m", "", "b-2", 201);
          add(history, 600, RESULT_READ, "m", "a|failed", "", 1);
          add(history, 600, BATCH_READ, "m", "finished", "1", 200);
        });
  }

  @Test
  void rejectsABatchThatRanAfterAnyMixOfRefusals() {
    rejects(
        REFUSED_BATCH_RAN,
        history -> {
          add(history, 500, SUBMIT_ANSWERED, "m", "NotReady", "b-9", 503);
          add(history, 600, WORKER_RECEIVED, "w1", "b-9/a", "x", 0);
          add(history, 700, SUBMIT_ANSWERED, "m", "BatchRefused", "b-9", 409);
        });
  }

  @Test
  void rejectsAnOlderStateThanWasRead() {
    rejects(
        REPORTED_MISSING,
        history -> {
          add(history, 1_500, BATCH_READ, "k", "running", "2", 200);
          add(history, 1_600, BATCH_READ, "k", "finished", "2", 200);
        });
  }

  @Test
  void rejectsABundleWithoutEffect() {
    rejects(
        BUNDLE_NOT_IN_FORCE,
        history -> {
          add(history, 0, WORKER_POOL, "w1", "main", "", 0);
          add(history, 0, BUNDLE_WAY, "1", "check", "main", 1);
          add(history, 290, BUNDLE_WAY, "2", "check", "spare", 2);
          add(history, 2_310, LIVE_CLASS, "l9", "check", "late prompt", 0);
          add(history, 2_320, WORKER_RECEIVED, "w1", "", "late prompt", 0);
        });
  }

  @Test
  void rejectsOneEdgeThatServesNobody() {
    rejects(
        SERVICE_NOT_BACK,
        history -> {
          for (int number = 0; number < 20; number++) {
            add(history, 1_000 + number * 1_000, LIVE_SENT, "x" + number, "", "p" + number, 2);
            add(history, 1_000 + number * 1_000, LIVE_AT, "x" + number, "edge-1", "", 0);
            add(history, 1_001 + number * 1_000, LIVE_ANSWERED, "x" + number, "NotReady", "", 503);
            add(history, 1_002 + number * 1_000, LIVE_SENT, "y" + number, "", "q" + number, 2);
            add(
                history,
                1_003 + number * 1_000,
                LIVE_ANSWERED,
                "y" + number,
                "complete",
                EmulatedOutput.whole("q" + number, 2),
                200);
          }
        });
  }

  @Test
  void rejectsABatchThatCanNotBeRead() {
    rejects(
        SERVICE_NOT_BACK,
        history -> {
          for (int number = 0; number < 6; number++) {
            add(history, 1_000 + number * 4_000, BATCH_READ, "k", "NoMajority", "0", 503);
          }
          add(history, 30_000, BATCH_READ, "k", "finished", "2", 200);
        });
  }

  @Test
  void rejectsABatchThatIsPassedOver() {
    rejects(
        SERVICE_NOT_BACK,
        history -> {
          add(history, 1_000, ITEM, "m", "a", "prompt a", 3);
          add(history, 3_500, ITEM, "n", "a", "prompt a", 3);
          add(history, 1_000, SUBMIT_ANSWERED, "m", "", "b-2", 201);
          add(history, 3_500, SUBMIT_ANSWERED, "n", "", "b-3", 201);
          add(history, 5_000, BATCH_READ, "n", "finished", "1", 200);
          for (int second = 2; second < 16; second++) {
            add(history, second * 1_000, BATCH_READ, "m", "accepted", "0", 200);
          }
          add(history, 16_000, BATCH_READ, "m", "finished", "1", 200);
        });
  }

  @Test
  void rejectsCommandsThatStayUnanswered() {
    rejects(
        SERVICE_NOT_BACK,
        history -> {
          for (int number = 0; number < 8; number++) {
            add(history, 1_000 + number * 2_000, BUNDLE_ANSWERED, "3", "OutcomeUnknown", "", 504);
          }
        });
  }

  @Test
  void rejectsNoRoomWhereThereIsRoom() {
    rejects(
        SERVICE_NOT_BACK,
        history -> {
          add(history, 20_000, SUBMIT_SENT, "m", "", "", 2);
          add(history, 20_010, SUBMIT_ANSWERED, "m", "NoRoom", "b-2", 429);
        });
  }

  @Test
  void namesTheLineOfABrokenHistory() throws History.BrokenLine {
    String lines = sound().toLines();
    assertThat(History.fromLines(lines).toLines()).isEqualTo(lines);
    try {
      History.fromLines(lines + "{broken");
      throw new AssertionError("a broken line was read");
    } catch (History.BrokenLine broken) {
      assertThat(broken.line).isEqualTo(16);
    }
  }
}
