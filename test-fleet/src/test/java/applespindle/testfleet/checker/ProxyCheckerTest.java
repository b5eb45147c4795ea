package applespindle.testfleet.checker;

import static applespindle.testfleet.checker.Checker.Rule.ACCEPTED_BATCH_LOST;
import static applespindle.testfleet.checker.Checker.Rule.BUNDLE_NOT_IN_FORCE;
import static applespindle.testfleet.checker.Checker.Rule.CEILING_OVERSHOT;
import static applespindle.testfleet.checker.Checker.Rule.RAN_AFTER_END;
import static applespindle.testfleet.checker.Checker.Rule.RAN_TWICE;
import static applespindle.testfleet.checker.Checker.Rule.REFUSED_BATCH_RAN;
import static applespindle.testfleet.checker.Checker.Rule.REFUSED_REQUEST_RAN;
import static applespindle.testfleet.checker.Checker.Rule.REPORTED_MISSING;
import static applespindle.testfleet.checker.Checker.Rule.RESPONSE_LOST;
import static applespindle.testfleet.checker.Checker.Rule.RESULT_NOT_WHOLE;
import static applespindle.testfleet.checker.Checker.Rule.RESULT_TWICE_OR_CHANGED;
import static applespindle.testfleet.checker.Checker.Rule.SERVICE_NOT_BACK;
import static applespindle.testfleet.checker.Checker.Rule.STREAM_BROKEN;
import static applespindle.testfleet.checker.Checker.Rule.UNASKED_RUN;
import static applespindle.testfleet.checker.Checker.Rule.WORK_TO_LEAVING_WORKER;
import static applespindle.testfleet.checker.Checker.Rule.WRONG_OR_CUT_ANSWER;
import static applespindle.testfleet.checker.Checker.Rule.WRONG_POOL;
import static applespindle.testfleet.checker.ProxyHistories.FREE;
import static applespindle.testfleet.checker.ProxyHistories.ITEM;
import static applespindle.testfleet.checker.ProxyHistories.ONCE;
import static applespindle.testfleet.checker.ProxyHistories.RESUMED;
import static applespindle.testfleet.checker.ProxyHistories.STREAM;
import static applespindle.testfleet.checker.ProxyHistories.add;
import static applespindle.testfleet.checker.ProxyHistories.answered;
import static applespindle.testfleet.checker.ProxyHistories.arrives;
import static applespindle.testfleet.checker.ProxyHistories.batch;
import static applespindle.testfleet.checker.ProxyHistories.change;
import static applespindle.testfleet.checker.ProxyHistories.listed;
import static applespindle.testfleet.checker.ProxyHistories.part;
import static applespindle.testfleet.checker.ProxyHistories.runs;
import static applespindle.testfleet.checker.ProxyHistories.sound;
import static applespindle.testfleet.history.History.Kind.CHANGE_ANSWERED;
import static applespindle.testfleet.history.History.Kind.CHANGE_READ;
import static applespindle.testfleet.history.History.Kind.CHANGE_SENT;
import static applespindle.testfleet.history.History.Kind.LIST_TROUBLE;
import static applespindle.testfleet.history.History.Kind.OPAQUE_ANSWERED;
import static applespindle.testfleet.history.History.Kind.OPAQUE_BODY;
import static applespindle.testfleet.history.History.Kind.OPAQUE_CLOSED;
import static applespindle.testfleet.history.History.Kind.OPAQUE_END_ANSWERED;
import static applespindle.testfleet.history.History.Kind.OPAQUE_END_ASKED;
import static applespindle.testfleet.history.History.Kind.OPAQUE_READ;
import static applespindle.testfleet.history.History.Kind.OPAQUE_RESULT;
import static applespindle.testfleet.history.History.Kind.REQUEST_ANSWERED;
import static applespindle.testfleet.history.History.Kind.REQUEST_SENT;
import static applespindle.testfleet.history.History.Kind.RUN_BEGAN;
import static applespindle.testfleet.history.History.Kind.RUN_ENDED;
import static applespindle.testfleet.history.History.Kind.TROUBLE;
import static applespindle.testfleet.history.History.Kind.WORKER_LISTED;
import static com.google.common.truth.Truth.assertThat;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.history.History;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * The checker accepts a correct history of proxied requests and batches, and rejects a modified one
 * for each rule.
 */
class ProxyCheckerTest {
  private static void rejects(Rule rule, Consumer<History> modification) {
    History history = sound();
    modification.accept(history);
    assertThat(Checker.check(history).stream().map(Checker.Violation::rule).distinct().toList())
        .containsExactly(rule);
  }

  private static void accepts(Consumer<History> modification) {
    History history = sound();
    modification.accept(history);
    assertThat(Checker.check(history)).isEmpty();
  }

  @Test
  void acceptsACorrectHistory() {
    assertThat(Checker.check(sound())).isEmpty();
  }

  // ---- answers

  @Test
  void rejectsASuccessWithoutItsStamp() {
    rejects(
        WRONG_OR_CUT_ANSWER,
        history -> {
          add(history, 5_600, REQUEST_SENT, "q9", "repeatable edge-1", FREE, 4);
          add(
              history,
              5_700,
              REQUEST_ANSWERED,
              "q9",
              "complete",
              "\n" + part(FREE, 1, 4, "r3"),
              200);
        });
  }

  @Test
  void rejectsAnothersAnswer() {
    rejects(
        WRONG_OR_CUT_ANSWER,
        history -> {
          add(history, 5_600, REQUEST_SENT, "q9", "repeatable edge-1", FREE, 4);
          answered(history, 5_700, "q9", "complete", FREE, "r3", part(FREE, 1, 4, "r3"), 200);
        });
    rejects(
        WRONG_OR_CUT_ANSWER,
        history -> {
          add(history, 5_600, REQUEST_SENT, "q9", "stream edge-1", STREAM, 4);
          runs(history, 5_610, "i-1", "q9", STREAM, "r9", 0, 200);
          answered(
              history,
              5_700,
              "q9",
              "complete",
              STREAM,
              "r9",
              "4:" + part(STREAM, 1, 4, "r4") + "\n",
              200);
        });
  }

  @Test
  void rejectsACutResponseThatLooksComplete() {
    rejects(
        WRONG_OR_CUT_ANSWER,
        history -> {
          add(history, 5_600, REQUEST_SENT, "q9", "once edge-1", ONCE, 4);
          runs(history, 5_610, "i-1", "q9", ONCE, "r9", 0, 0);
          answered(
              history,
              5_700,
              "q9",
              "complete",
              ONCE,
              "r9",
              part(ONCE, 1, 4, "r9").substring(0, 3),
              200);
        });
  }

  @Test
  void rejectsAFailureShownAsASuccess() {
    rejects(
        WRONG_OR_CUT_ANSWER,
        history -> {
          add(history, 5_600, REQUEST_SENT, "q9", "once edge-1", ONCE, 4);
          runs(history, 5_610, "i-1", "q9", ONCE, "r9", 0, 500);
          answered(history, 5_700, "q9", "complete", ONCE, "r9", "failed 500 r9", 200);
        });
  }

  @Test
  void acceptsAWorkersOwnFailureUnchanged() {
    accepts(
        history -> {
          add(history, 5_600, REQUEST_SENT, "q9", "once edge-1", ONCE, 4);
          runs(history, 5_610, "i-1", "q9", ONCE, "r9", 0, 500);
          answered(history, 5_700, "q9", "complete", ONCE, "r9", "failed 500 r9", 500);
        });
  }

  // ---- runs

  @Test
  void rejectsARunThatNobodyAskedForOrThatWasChanged() {
    rejects(UNASKED_RUN, history -> runs(history, 5_600, "i-1", "q9", ONCE, "r9", 0, 200));
    rejects(UNASKED_RUN, history -> runs(history, 5_600, "i-1", "q2", FREE + "!", "r9", 0, 200));
  }

  @Test
  void rejectsASecondRunOfWhatMayRunOnce() {
    rejects(RAN_TWICE, history -> runs(history, 5_600, "i-1", "q1", ONCE, "r9", 0, 200));
    rejects(RAN_TWICE, history -> runs(history, 5_600, "i-1", "q3", STREAM, "r9", 0, 200));
  }

  @Test
  void rejectsARefusedRequestThatRuns() {
    rejects(
        REFUSED_REQUEST_RAN,
        history -> {
          add(history, 5_600, REQUEST_SENT, "q9", "once edge-1", ONCE, 4);
          add(history, 5_610, REQUEST_ANSWERED, "q9", "refused", "", 503);
          runs(history, 5_800, "i-1", "q9", ONCE, "r9", 0, 200);
        });
  }

  @Test
  void rejectsAPoolThatNoChangeEverNamed() {
    rejects(WRONG_POOL, history -> runs(history, 5_600, "i-2", "q2", FREE, "r9", 0, 200));
    rejects(
        WRONG_POOL,
        history -> {
          runs(history, 6_600, "i-2", "x1", ITEM, "r9", 0, -1);
          change(history, 6_700, "c2", 6, 5, "beta");
        });
  }

  @Test
  void rejectsARunAtAWorkerThatWasShownToLeave() {
    rejects(
        WORK_TO_LEAVING_WORKER,
        history -> {
          add(history, 6_000, WORKER_LISTED, "i-1", "alpha", "leaving", 0);
          add(history, 9_100, REQUEST_SENT, "q9", "once edge-1", ONCE, 4);
          arrives(history, 9_101, "i-1", "q9", ONCE, "r9");
        });
  }

  @Test
  void acceptsARunAtALeavingWorkerWhileTheListOrTheNodeWasUnreachable() {
    accepts(
        history -> {
          add(history, 6_000, WORKER_LISTED, "i-1", "alpha", "leaving", 0);
          add(history, 6_100, LIST_TROUBLE, "", "began", "", 0);
          add(history, 6_600, LIST_TROUBLE, "", "ended", "", 0);
          arrives(history, 9_101, "i-1", "q1", ONCE, "r9");
        });
    accepts(
        history -> {
          add(history, 6_000, WORKER_LISTED, "i-1", "alpha", "leaving", 0);
          add(history, 6_100, TROUBLE, "edge-1", "began cut", "edge", 0);
          add(history, 6_600, TROUBLE, "edge-1", "ended cut", "edge", 0);
          arrives(history, 9_101, "i-1", "q1", ONCE, "r9");
        });
  }

  // ---- streams

  @Test
  void rejectsAStreamThatLacksOrRepeatsAPieceOrEndsEarly() {
    for (String body :
        List.of(
            "1:" + part(STREAM, 1, 1, "r9") + "\n4:" + part(STREAM, 3, 4, "r9"),
            "2:" + part(STREAM, 1, 2, "r9") + "\n4:" + part(STREAM, 2, 4, "r9"),
            "3:" + part(STREAM, 1, 3, "r9"))) {
      rejects(
          STREAM_BROKEN,
          history -> {
            add(history, 5_600, REQUEST_SENT, "q9", "stream edge-1", STREAM, 4);
            runs(history, 5_610, "i-1", "q9", STREAM, "r9", 0, 200);
            answered(history, 5_700, "q9", "complete", STREAM, "r9", body, 200);
          });
    }
  }

  @Test
  void rejectsAStreamJoinedWithARunThatBeganElsewhere() {
    rejects(
        STREAM_BROKEN,
        history -> {
          add(history, 5_600, REQUEST_SENT, "q9", "resumable edge-1", RESUMED, 4);
          runs(history, 5_610, "i-1", "q9", RESUMED, "r8", 0, 0);
          runs(history, 5_670, "i-1", "q9", RESUMED, "r9", 0, 200);
          answered(
              history,
              5_730,
              "q9",
              "complete",
              RESUMED,
              "r8",
              "2:" + part(RESUMED, 1, 2, "r8") + "\n4:" + part(RESUMED, 3, 4, "r9") + "\n",
              200);
        });
  }

  // ---- changes

  @Test
  void rejectsARequestHandledByAnOlderChange() {
    rejects(
        BUNDLE_NOT_IN_FORCE,
        history -> {
          change(history, 6_000, "c2", 7, 5, "beta");
          add(history, 6_100, CHANGE_ANSWERED, "c2", "", "", 200);
          add(history, 8_200, REQUEST_SENT, "q9", "once edge-1", ONCE, 4);
          runs(history, 8_210, "i-1", "q9", ONCE, "r9", 0, 200);
        });
    rejects(
        BUNDLE_NOT_IN_FORCE,
        history -> {
          add(history, 8_200, REQUEST_SENT, "q9", "once edge-1", ONCE, 4);
          add(history, 8_210, REQUEST_ANSWERED, "q9", "refused", "", 404);
        });
  }

  @Test
  void rejectsANodeThatGoesBack() {
    rejects(
        BUNDLE_NOT_IN_FORCE,
        history -> {
          change(history, 6_000, "c2", 7, 5, "beta");
          add(history, 6_010, REQUEST_SENT, "q8", "once edge-1", ONCE, 4);
          runs(history, 6_020, "i-2", "q8", ONCE, "r8", 0, 200);
          add(history, 6_400, REQUEST_SENT, "q9", "once edge-1", ONCE, 4);
          runs(history, 6_410, "i-1", "q9", ONCE, "r9", 0, 200);
        });
  }

  @Test
  void rejectsAnInvalidChangeAcknowledged() {
    rejects(
        BUNDLE_NOT_IN_FORCE,
        history -> {
          add(history, 8_000, CHANGE_SENT, "c2", "invalid", "5", 7);
          add(history, 8_100, CHANGE_ANSWERED, "c2", "", "", 200);
        });
  }

  @Test
  void rejectsTwoChangesOnOneVersion() {
    rejects(
        BUNDLE_NOT_IN_FORCE,
        history -> {
          change(history, 8_000, "c2", 7, 5, "alpha");
          change(history, 8_000, "c3", 8, 5, "alpha");
          add(history, 8_100, CHANGE_ANSWERED, "c2", "", "", 200);
          add(history, 8_100, CHANGE_ANSWERED, "c3", "", "", 200);
        });
  }

  @Test
  void rejectsALostRaceInForce() {
    rejects(
        BUNDLE_NOT_IN_FORCE,
        history -> {
          change(history, 6_000, "c2", 7, 5, "beta");
          add(history, 6_100, CHANGE_ANSWERED, "c2", "VersionConflict", "", 412);
          add(history, 6_200, REQUEST_SENT, "q9", "once edge-1", ONCE, 4);
          runs(history, 6_210, "i-2", "q9", ONCE, "r9", 0, 200);
        });
  }

  @Test
  void rejectsAReadOfAnOlderOrAnUnsentChange() {
    rejects(
        BUNDLE_NOT_IN_FORCE,
        history -> {
          change(history, 6_000, "c2", 7, 5, "alpha");
          add(history, 6_100, CHANGE_ANSWERED, "c2", "", "", 200);
          add(history, 6_300, CHANGE_READ, "c1", "", "6200", 5);
        });
    rejects(
        BUNDLE_NOT_IN_FORCE, history -> add(history, 6_300, CHANGE_READ, "none", "", "6200", 5));
  }

  // ---- planned ends and service

  @Test
  void rejectsAnAnswerCutOffByAPlannedStop() {
    rejects(
        RESPONSE_LOST,
        history -> {
          add(history, 9_000, REQUEST_SENT, "q9", "once edge-1", ONCE, 4);
          arrives(history, 9_001, "i-1", "q9", ONCE, "r9");
          add(history, 9_001, RUN_BEGAN, "i-1", "q9", "r9", 0);
          add(history, 9_010, TROUBLE, "edge-1", "began stopping", "edge", 0);
          add(history, 9_100, RUN_ENDED, "i-1", "q9", "r9", -1);
          add(history, 9_100, REQUEST_ANSWERED, "q9", "broken", "", 0);
        });
  }

  @Test
  void rejectsANodeThatServesNobody() {
    rejects(
        SERVICE_NOT_BACK,
        history -> {
          for (int number = 10; number < 30; number++) {
            add(history, number * 1_000L, REQUEST_SENT, "p" + number, "repeatable edge-1", FREE, 4);
            add(history, number * 1_000L + 5, REQUEST_ANSWERED, "p" + number, "refused", "", 503);
          }
        });
  }

  // ---- batches

  @Test
  void rejectsALostBatch() {
    rejects(
        ACCEPTED_BATCH_LOST,
        history -> {
          batch(history, 7_000, "b2", "x2", 1);
          add(history, 7_050, OPAQUE_ANSWERED, "b2", "", "", 201);
          add(history, 9_000, OPAQUE_CLOSED, "b2", "unread", "0", 0);
        });
    rejects(
        ACCEPTED_BATCH_LOST, history -> add(history, 9_100, OPAQUE_CLOSED, "b1", "read", "0", 0));
    rejects(
        ACCEPTED_BATCH_LOST, history -> add(history, 9_100, OPAQUE_CLOSED, "b1", "read", "1", 1));
  }

  @Test
  void rejectsABatchOrAPositionReportedMissing() {
    rejects(
        REPORTED_MISSING,
        history -> add(history, 8_000, OPAQUE_READ, "b1", "edge-1", "0 0 0 7990", 404));
    rejects(
        REPORTED_MISSING,
        history -> add(history, 8_100, OPAQUE_READ, "b1", "edge-1", "0 0 1 8050", 200));
  }

  @Test
  void rejectsAnItemAtTwoPositionsAndAChangedPosition() {
    String output = part(ITEM, 1, 3, "r7") + "\n" + part(ITEM, 4, 4, "r7");
    rejects(
        RESULT_TWICE_OR_CHANGED,
        history -> add(history, 7_100, OPAQUE_RESULT, "b1", "x1 complete", output, 1));
    rejects(
        RESULT_TWICE_OR_CHANGED,
        history -> add(history, 7_100, OPAQUE_RESULT, "b1", "x1 expired", "", 0));
  }

  @Test
  void rejectsAnOutputThatIsNotCompleteOrNotJoined() {
    rejects(RESULT_NOT_WHOLE, history -> withSecond(history, part(ITEM, 1, 3, "r9"), "complete"));
    rejects(
        STREAM_BROKEN,
        history ->
            withSecond(
                history, part(ITEM, 1, 2, "r9") + "\n" + part(ITEM, 4, 4, "r9"), "complete"));
    rejects(
        STREAM_BROKEN,
        history -> {
          runs(history, 7_030, "i-1", "x2", ITEM, "r10", 0, 200);
          withSecond(history, part(ITEM, 1, 2, "r9") + "\n" + part(ITEM, 3, 4, "r10"), "complete");
        });
    rejects(RESULT_NOT_WHOLE, history -> withSecond(history, part(ITEM, 1, 4, "r7"), "complete"));
  }

  @Test
  void rejectsAnItemGivenUpTooEarly() {
    rejects(RESULT_NOT_WHOLE, history -> withSecond(history, "", "expired"));
    accepts(
        history -> {
          add(history, 7_000, OPAQUE_END_ASKED, "b2", "", "", 0);
          withSecond(history, "", "expired");
        });
  }

  private static void withSecond(History history, String output, String state) {
    batch(history, 7_000, "b2", "x2", 1);
    add(history, 7_010, OPAQUE_ANSWERED, "b2", "", "", 201);
    runs(history, 7_020, "i-1", "x2", ITEM, "r9", 0, 200);
    listed(history, 7_100, "b2", "x2 " + state, output, 0);
    add(history, 9_000, OPAQUE_CLOSED, "b2", "read", "1", 0);
  }

  @Test
  void rejectsAWrongTotalAndAChangedBody() {
    rejects(
        RESULT_NOT_WHOLE,
        history -> add(history, 7_100, OPAQUE_READ, "b1", "edge-1", "0 1 2 7050", 200));
    rejects(
        WRONG_OR_CUT_ANSWER,
        history -> add(history, 6_200, OPAQUE_BODY, "b1", "x1", "body-other", 200));
  }

  @Test
  void rejectsARefusedBatchThatRuns() {
    rejects(
        REFUSED_BATCH_RAN,
        history -> {
          batch(history, 7_000, "b2", "x2", 1);
          add(history, 7_010, OPAQUE_ANSWERED, "b2", "NoRoom", "", 429);
          runs(history, 7_500, "i-1", "x2", ITEM, "r9", 0, 200);
        });
  }

  @Test
  void rejectsARunAfterTheEndOfItsBatch() {
    rejects(
        RAN_AFTER_END,
        history -> {
          add(history, 6_300, OPAQUE_END_ASKED, "b1", "", "", 0);
          add(history, 6_400, OPAQUE_END_ANSWERED, "b1", "", "", 200);
          arrives(history, 9_500, "i-1", "x1", ITEM, "r9");
        });
  }

  @Test
  void rejectsMoreWaitingTokensThanMay() {
    rejects(
        CEILING_OVERSHOT,
        history -> {
          batch(history, 7_000, "b2", "x2", 80);
          add(history, 7_010, OPAQUE_ANSWERED, "b2", "", "", 201);
          batch(history, 7_020, "b3", "x3", 80);
          add(history, 7_030, OPAQUE_ANSWERED, "b3", "", "", 201);
          add(history, 9_000, OPAQUE_CLOSED, "b2", "read", "0", 0);
          add(history, 9_000, OPAQUE_CLOSED, "b3", "read", "0", 0);
        });
  }
}
