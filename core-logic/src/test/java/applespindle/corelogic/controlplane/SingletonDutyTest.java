package applespindle.corelogic.controlplane;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.constants.DutyConstants;
import applespindle.corelogic.controlplane.SingletonDuty.Phase;
import applespindle.corelogic.duty.ClosedWindow;
import applespindle.corelogic.duty.UsageDutyState;
import applespindle.corelogic.environment.PlatformCall;
import applespindle.corelogic.environment.PlatformCall.UsageReport;
import applespindle.corelogic.environment.PlatformCallResult;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** One step at a time; see {@link SingletonDutyFaultsTest} for random orders of steps. */
final class SingletonDutyTest {
  /** The last window that is closed, by node; each node counts something else. */
  private final Map<String, Long> lastClosed = new HashMap<>();

  private final DutyFleet<UsageDutyState> fleet =
      new DutyFleet<>(node -> new UsageDutyTask((after, now) -> window(node, after)));

  private Optional<ClosedWindow> window(String node, long after) {
    long next = after + 1;
    return next > lastClosed.getOrDefault(node, 0L)
        ? Optional.empty()
        : Optional.of(new ClosedWindow(next, counters(node, next)));
  }

  private static TreeMap<String, Long> counters(String node, long windowId) {
    return new TreeMap<>(Map.of("tenant", windowId, node, 1L));
  }

  private void close(long windowId, String... nodes) {
    for (String node : nodes) {
      lastClosed.put(node, windowId);
    }
  }

  private static PlatformCall report(String holder, long fence, long windowId, String countedBy) {
    return new UsageReport(holder, fence, windowId, counters(countedBy, windowId));
  }

  @Test
  void nothingIsSentBeforeClaimAndIntentAreCommitted() {
    close(1, "a");
    fleet.elect("a", 0);
    fleet.environment.run(100);
    assertThat(fleet.leader.duty.phase()).isEqualTo(Phase.CLAIMING);
    assertThat(fleet.made).isEmpty();
    fleet.commitNext();
    assertThat(fleet.committed.claim().fence()).isEqualTo(1);
    assertThat(fleet.committed.openWindows()).isEmpty();
    fleet.environment.run(100);
    assertThat(fleet.leader.duty.phase()).isEqualTo(Phase.COMMITTING);
    assertThat(fleet.made).isEmpty();
    fleet.commitNext();
    assertThat(fleet.committed.openWindows()).hasSize(1);
    fleet.environment.run(100);
    fleet.settle();
    assertThat(fleet.made).containsExactly(report("a", 1, 1, "a"));
  }

  @Test
  void anAppendThatFailsIsRepeatedUntilItIsCommitted() {
    close(1, "a");
    fleet.elect("a", 0);
    fleet.failNextAppend();
    assertThat(fleet.made).isEmpty();
    fleet.runCalmly(2 * DutyConstants.LOG_RETRY_DELAY_MS);
    assertThat(fleet.committed.claim().fence()).isEqualTo(1);
    assertThat(fleet.made).containsExactly(report("a", 1, 1, "a"));
  }

  @Test
  void theMarkOfAFinishedIntentTravelsWithTheNext() {
    close(1, "a");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    fleet.answer(PlatformCallResult.ACCEPTED);
    fleet.runCalmly(1_000);
    assertThat(fleet.committed.openWindows()).hasSize(1);
    close(2, "a");
    fleet.runCalmly(200);
    assertThat(fleet.committed.openWindows())
        .containsExactly(new ClosedWindow(2, counters("a", 2)));
    assertThat(fleet.committed.lastWindowId()).isEqualTo(2);
    fleet.answer(PlatformCallResult.ACCEPTED);
    fleet.runCalmly(DutyConstants.MARK_DELAY_MS + 500);
    assertThat(fleet.committed.openWindows()).isEmpty();
    assertThat(fleet.made).hasSize(2);
  }

  @Test
  void aSuccessorFindsNoIntentThatWasNotCommittedAndCountsItself() {
    close(1, "a", "b");
    fleet.elect("a", 0);
    fleet.commitNext();
    assertThat(fleet.pendingAppends()).isEqualTo(1);
    fleet.moveTo("b");
    fleet.runCalmly(200);
    assertThat(fleet.made).containsExactly(report("b", 2, 1, "b"));
  }

  @Test
  void aSuccessorRepeatsAnIntentThatItFoundInTheLog() {
    close(1, "a", "b");
    fleet.elect("a", 0);
    fleet.commitNext();
    fleet.leader.believesToLead = false;
    fleet.elect("b", 1);
    fleet.runCalmly(200);
    assertThat(fleet.made).containsExactly(report("b", 2, 1, "a"));
  }

  @Test
  void aSuccessorRepeatsACallWhoseOutcomeIsUnknown() {
    close(1, "a", "b");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    fleet.moveTo("b");
    fleet.runCalmly(200);
    assertThat(fleet.made)
        .containsExactly(report("a", 1, 1, "a"), report("b", 2, 1, "a"))
        .inOrder();
  }

  @Test
  void aSuccessorRepeatsACallThatWasAnsweredButNotMarked() {
    close(1, "a", "b");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    fleet.answer(PlatformCallResult.ACCEPTED);
    fleet.moveTo("b");
    fleet.runCalmly(200);
    assertThat(fleet.made)
        .containsExactly(report("a", 1, 1, "a"), report("b", 2, 1, "a"))
        .inOrder();
  }

  @Test
  void aSuccessorDoesNotRepeatWhatIsMarked() {
    close(1, "a", "b");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    fleet.answer(PlatformCallResult.ACCEPTED);
    fleet.runCalmly(DutyConstants.MARK_DELAY_MS + 500);
    fleet.moveTo("b");
    fleet.runCalmly(500);
    assertThat(fleet.made).containsExactly(report("a", 1, 1, "a"));
  }

  @Test
  void aNewProcessOfTheHolderClaimsWithAHigherFenceAtOnce() {
    close(1, "a");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    fleet.leader.believesToLead = false;
    fleet.restart("a");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    assertThat(fleet.made)
        .containsExactly(report("a", 1, 1, "a"), report("a", 2, 1, "a"))
        .inOrder();
  }

  /** The nodes hold the duty one after the other, and their calls are taken. */
  private void holdInTurn(String... nodes) {
    for (String node : nodes) {
      fleet.moveTo(node);
      fleet.runCalmly(100);
      fleet.answer(PlatformCallResult.ACCEPTED);
    }
  }

  private void assertClaimsAfter(long millis, long fence) {
    fleet.runCalmly(millis - 100);
    assertThat(fleet.leader.duty.phase()).isEqualTo(Phase.AWAITING_LEASE);
    assertThat(fleet.committed.claim().fence()).isEqualTo(fence - 1);
    fleet.runCalmly(300);
    assertThat(fleet.committed.claim().fence()).isEqualTo(fence);
    assertThat(fleet.made.get(fleet.made.size() - 1)).isEqualTo(report("a", fence, 1, "a"));
  }

  @Test
  void aFormerHolderWaitsALeaseBeforeItClaims() {
    close(1, "a", "b", "c");
    holdInTurn("a");
    fleet.environment.run(DutyConstants.CALL_TIMEOUT_MS);
    holdInTurn("b", "c");
    fleet.moveTo("a");
    assertClaimsAfter(DutyFleet.LEASE_MS, 4);
  }

  @Test
  void aFormerHolderWaitsForItsOwnCallToo() {
    close(1, "a", "b");
    fleet.moveTo("a");
    fleet.runCalmly(100);
    long calledAtMs = fleet.environment.nowMs();
    fleet.moveTo("b");
    fleet.runCalmly(100);
    fleet.moveTo("a");
    long passedMs = fleet.environment.nowMs() - calledAtMs;
    assertClaimsAfter(DutyFleet.LEASE_MS + DutyConstants.CALL_TIMEOUT_MS - passedMs - 100, 3);
  }

  @Test
  void aFormerHolderThatHasJustStartedWaitsForCallsOfItsPredecessor() {
    close(1, "a", "b");
    holdInTurn("a", "b");
    fleet.environment.run(DutyConstants.CALL_TIMEOUT_MS);
    fleet.restart("a");
    fleet.moveTo("a");
    assertClaimsAfter(DutyFleet.LEASE_MS + DutyConstants.CALL_TIMEOUT_MS, 3);
  }

  @Test
  void aHolderWithoutContactToAQuorumMakesNoCall() {
    close(1, "a");
    fleet.elect("a", 0);
    fleet.commitNext();
    fleet.leader.inContact = false;
    fleet.runCalmly(1_000);
    assertThat(fleet.made).isEmpty();
    fleet.leader.inContact = true;
    fleet.runCalmly(1_000);
    assertThat(fleet.made).hasSize(1);
  }

  @Test
  void aConfirmationOlderThanALeaseAllowsNoCall() {
    close(1, "a");
    fleet.elect("a", 0);
    fleet.commitNext();
    fleet.environment.freeze(DutyFleet.LEASE_MS);
    fleet.commitNext();
    assertThat(fleet.made).isEmpty();
    fleet.runCalmly(1_000);
    assertThat(fleet.made).hasSize(1);
  }

  @Test
  void everyCallNeedsAConfirmationOfItsOwn() {
    close(1, "a");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    fleet.answer(PlatformCallResult.UNKNOWN);
    fleet.environment.run(2 * DutyConstants.MIN_BACKOFF_MS);
    assertThat(fleet.leader.duty.phase()).isEqualTo(Phase.CONFIRMING);
    assertThat(fleet.made).hasSize(1);
    fleet.confirmNext();
    assertThat(fleet.made).hasSize(2);
  }

  @Test
  void aCallWithoutAnAnswerIsRepeatedExactly() {
    close(1, "a");
    fleet.elect("a", 0);
    fleet.runCalmly(DutyConstants.CALL_TIMEOUT_MS + DutyConstants.MIN_BACKOFF_MS + 500);
    assertThat(fleet.made)
        .containsExactly(report("a", 1, 1, "a"), report("a", 1, 1, "a"))
        .inOrder();
  }

  @Test
  void aWindowThatIsNeverTakenStaysAndDoesNotHoldUpTheNext() {
    close(3, "a");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    for (long passed = 0; passed < 60_000; passed += 100) {
      if (!fleet.openCalls.isEmpty()) {
        boolean first = ((UsageReport) fleet.openCalls.peek().call()).windowId() == 1;
        fleet.answer(first ? PlatformCallResult.REJECTED : PlatformCallResult.ACCEPTED);
      }
      fleet.runCalmly(100);
    }
    assertThat(fleet.committed.openWindows())
        .containsExactly(new ClosedWindow(1, counters("a", 1)));
    assertThat(fleet.made).containsAtLeast(report("a", 1, 2, "a"), report("a", 1, 3, "a"));
  }

  @Test
  void failuresAreRepeatedWithGrowingDelays() {
    close(1, "a");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    int calls = 0;
    for (long passed = 0; passed < 60_000; passed += 50) {
      if (!fleet.openCalls.isEmpty()) {
        calls++;
        fleet.answer(PlatformCallResult.THROTTLED);
      }
      fleet.runCalmly(50);
    }
    assertThat(calls).isAtLeast((int) (60_000 / DutyConstants.MAX_BACKOFF_MS));
    assertThat(calls).isAtMost(40);
    assertThat(fleet.logged.stream().filter(line -> line.startsWith("Calls fail")).count())
        .isAtLeast(3);
  }

  @Test
  void aHolderThatGetsNoAnswersHandsOver() {
    close(1, "a");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    for (long passed = 0; passed < 20_000; passed += 100) {
      if (!fleet.openCalls.isEmpty()) {
        fleet.answer(PlatformCallResult.UNKNOWN);
      }
      fleet.runCalmly(100);
    }
    assertThat(fleet.transfers).isAtLeast(1);
    assertThat(fleet.transfers).isAtMost(4);
  }

  @Test
  void aFencedHolderThatNoLongerLeadsMakesNoCall() {
    close(1, "a", "b");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    DutyFleet<UsageDutyState>.Leadership deposed = fleet.leader;
    fleet.elect("b", 0);
    fleet.answer(PlatformCallResult.FENCED);
    assertThat(deposed.duty.phase()).isEqualTo(Phase.REREADING);
    fleet.runCalmly(20_000);
    assertThat(fleet.made.stream().filter(call -> call.holder().equals("a")).count()).isEqualTo(1);
  }

  @Test
  void aFencedHolderThatStillLeadsClaimsAgain() {
    close(1, "a");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    fleet.answer(PlatformCallResult.FENCED);
    fleet.runCalmly(2_000);
    assertThat(fleet.committed.claim().fence()).isEqualTo(2);
    assertThat(fleet.made)
        .containsExactly(report("a", 1, 1, "a"), report("a", 2, 1, "a"))
        .inOrder();
  }

  @Test
  void noMoreThanABoundedNumberOfWindowsIsWrittenDown() {
    close(1_000, "a");
    fleet.elect("a", 0);
    fleet.runCalmly(200);
    assertThat(fleet.committed.openWindows()).hasSize(DutyConstants.MAX_OPEN_WINDOWS);
    while (fleet.committed.lastWindowId() < 1_000 || fleet.leader.duty.phase() != Phase.IDLE) {
      if (!fleet.openCalls.isEmpty()) {
        fleet.answer(PlatformCallResult.ACCEPTED);
      }
      fleet.runCalmly(50);
    }
    assertThat(fleet.made.stream().map(PlatformCall::subject).distinct().count()).isEqualTo(1_000);
  }
}
