package applespindle.corelogic.live;

import static applespindle.corelogic.live.LiveRequestDispatcherFixture.EXPIRY_MS;
import static applespindle.corelogic.live.LiveRequestDispatcherFixture.MAX_QUEUED;
import static applespindle.corelogic.live.LiveRequestDispatcherFixture.NORMAL;
import static applespindle.corelogic.live.LiveRequestDispatcherFixture.URGENT;
import static applespindle.corelogic.live.LiveRequestDispatcherFixture.withWorkers;
import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.live.LiveRequestDispatcherFixture.Client;
import applespindle.corelogic.live.LiveRequestDispatcherFixture.SentCall;
import org.junit.jupiter.api.Test;

/** Admission, queues, retries, claims and cancellation of live requests. */
final class LiveRequestDispatcherTest {
  private static final ApiError UNREACHABLE = new ApiError.WorkerUnreachable("w1");
  private static final ApiError STREAM_TRUNCATED = new ApiError.WorkerStreamTruncated("w1");
  private static final ApiError WORKER_FULL = new ApiError.WorkerRejected(429);

  // ---- admission

  @Test
  void rejectsWhatTheEdgeMayNotAdmitWithoutSendingIt() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    fixture.newWorkRejection = new ApiError.NodeStopping();
    assertThat(fixture.submit(NORMAL, "a").events).containsExactly("rejected NodeStopping");
    fixture.newWorkRejection = null;
    assertThat(fixture.submit("unknown", "a").events).containsExactly("rejected NoMatchingRule");
    fixture.configuration = null;
    assertThat(fixture.submit(NORMAL, "a").events)
        .containsExactly("rejected " + new ApiError.NoConfiguration().type());
    assertThat(fixture.calls).isEmpty();
  }

  @Test
  void rejectsImmediatelyIfThePoolHasNoWorker() {
    assertThat(withWorkers(0, 1).submit(NORMAL, "a").events).containsExactly("rejected NoWorker");
  }

  @Test
  void rejectsWhenTheQueueOfTheClassIsFull() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    fixture.submit(NORMAL, "running");
    for (int index = 0; index < MAX_QUEUED; index++) {
      assertThat(fixture.submit(NORMAL, "queued").events).isEmpty();
    }
    assertThat(fixture.submit(NORMAL, "one too many").events).containsExactly("rejected QueueFull");
    assertThat(fixture.submit(URGENT, "another class").events).isEmpty();
    assertThat(fixture.dispatcher.queuedRequests()).isEqualTo(MAX_QUEUED + 1);
    assertThat(fixture.dispatcher.runningRequests()).isEqualTo(1);
  }

  // ---- responses

  @Test
  void forwardsTheTextOfAStreamAsItComes() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    Client client = fixture.submit(NORMAL, "a");
    fixture.lastCall().listener.text("x");
    fixture.lastCall().listener.text("y");
    fixture.lastCall().listener.end("stop");
    assertThat(client.events).containsExactly("text x", "text y", "end ").inOrder();
    assertThat(fixture.dispatcher.runningRequests()).isEqualTo(0);
  }

  @Test
  void collectsTheTextOfAResponseThatIsNotStreamed() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    Client client = fixture.submit(NORMAL, "a", false, "");
    fixture.lastCall().listener.text("x");
    fixture.lastCall().listener.text("y");
    fixture.lastCall().listener.end("stop");
    assertThat(client.events).containsExactly("running", "end xy").inOrder();
  }

  /** Guards against an edge ending for memory: timers kept the prompts of answered requests. */
  @Test
  void anAnsweredRequestIsKeptByNoTimer() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    int scheduled = fixture.scheduledTasks();
    fixture.submit(NORMAL, "a");
    fixture.lastCall().listener.end("stop");
    assertThat(fixture.scheduledTasks()).isEqualTo(scheduled);
  }

  // ---- queues

  @Test
  void aFreeSlotGoesToTheClassOfTheLowestRank() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    fixture.submit(NORMAL, "running");
    Client normal = fixture.submit(NORMAL, "first");
    Client urgent = fixture.submit(URGENT, "second");
    fixture.lastCall().listener.end("stop");
    fixture.lastCall().listener.end("stop");
    assertThat(urgent.events).containsExactly("end ");
    assertThat(normal.events).isEmpty();
  }

  @Test
  void aRequestThatExpiresInItsQueueIsNeverSent() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    fixture.submit(NORMAL, "running");
    Client queued = fixture.submit(NORMAL, "queued");
    fixture.run(EXPIRY_MS);
    assertThat(queued.events).containsExactly("rejected " + new ApiError.DeadlineExceeded().type());
    fixture.lastCall().listener.end("stop");
    assertThat(fixture.calls).hasSize(1);
  }

  @Test
  void aRequestThatExpiredWhileTheProcessWasFrozenIsNeverSent() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    fixture.submit(NORMAL, "running");
    Client queued = fixture.submit(NORMAL, "queued");
    fixture.freeze(EXPIRY_MS);
    fixture.lastCall().listener.end("stop");
    assertThat(queued.events).containsExactly("rejected " + new ApiError.DeadlineExceeded().type());
    assertThat(fixture.calls).hasSize(1);
  }

  @Test
  void queuedRequestsAreRejectedWhenTheEdgeMayStartNothing() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    Client running = fixture.submit(NORMAL, "running");
    Client queued = fixture.submit(NORMAL, "queued");
    fixture.admittedWorkRejection = new ApiError.NodeIsolated(5_000);
    fixture.dispatcher.tick();
    assertThat(queued.events).containsExactly("rejected NodeIsolated");
    fixture.lastCall().listener.end("stop");
    assertThat(running.events).containsExactly("end ");
  }

  // ---- retries

  @Test
  void aRequestWithoutTextIsRetriedAtAnotherWorker() {
    LiveRequestDispatcherFixture fixture = withWorkers(2, 1);
    Client client = fixture.submit(NORMAL, "a");
    SentCall first = fixture.lastCall();
    first.listener.fail(STREAM_TRUNCATED, true);
    assertThat(fixture.calls).hasSize(2);
    assertThat(fixture.lastCall().workerId).isNotEqualTo(first.workerId);
    fixture.lastCall().listener.end("stop");
    assertThat(client.events).containsExactly("end ");
  }

  @Test
  void aRequestIsRejectedAfterItsLastRetry() {
    LiveRequestDispatcherFixture fixture = withWorkers(3, 1);
    Client client = fixture.submit(NORMAL, "a");
    fixture.lastCall().listener.fail(UNREACHABLE, false);
    fixture.lastCall().listener.fail(UNREACHABLE, false);
    assertThat(client.events).containsExactly("rejected WorkerUnreachable");
    assertThat(fixture.calls).hasSize(2);
  }

  @Test
  void aStreamIsNotStartedAgainOnceTextWasForwarded() {
    LiveRequestDispatcherFixture fixture = withWorkers(2, 1);
    Client client = fixture.submit(NORMAL, "a");
    fixture.lastCall().listener.text("x");
    fixture.lastCall().listener.fail(STREAM_TRUNCATED, true);
    assertThat(client.events)
        .containsExactly("text x", "truncated " + STREAM_TRUNCATED.type())
        .inOrder();
    assertThat(fixture.calls).hasSize(1);
  }

  @Test
  void aCapacityRejectionTakesNoRetryAway() {
    LiveRequestDispatcherFixture fixture = withWorkers(3, 1);
    Client client = fixture.submit(NORMAL, "a");
    fixture.lastCall().listener.fail(WORKER_FULL, false);
    fixture.lastCall().listener.fail(UNREACHABLE, false);
    fixture.lastCall().listener.end("stop");
    assertThat(client.events).containsExactly("end ");
    assertThat(fixture.calls.stream().map(call -> call.workerId).distinct().count()).isEqualTo(3);
  }

  @Test
  void anAttemptAtALostWorkerIsCancelledAndRetried() {
    LiveRequestDispatcherFixture fixture = withWorkers(2, 1);
    Client client = fixture.submit(NORMAL, "a");
    SentCall first = fixture.lastCall();
    fixture.run(WorkerConstants.LOAD_STALE_AFTER_MS + 1);
    fixture.dispatcher.tick();
    assertThat(first.cancelled).isTrue();
    assertThat(fixture.calls).hasSize(2);
    first.listener.text("late");
    assertThat(client.events).isEmpty();
  }

  // ---- idempotency ids

  @Test
  void aRequestWithAnIdempotencyIdIsSentOnceItsClaimIsGranted() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    Client client = fixture.submitOnce("id-1");
    assertThat(fixture.calls).isEmpty();
    fixture.lastClaim().grant();
    fixture.lastCall().listener.end("stop");
    assertThat(client.events).containsExactly("end ");
    assertThat(fixture.releasedIds).isEmpty();
  }

  @Test
  void aRequestWhoseClaimIsRefusedIsNeverSent() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    Client client = fixture.submitOnce("id-1");
    fixture.lastClaim().refuse(new ApiError.AlreadyClaimed("id-1"));
    assertThat(client.events).containsExactly("rejected AlreadyClaimed");
    assertThat(fixture.calls).isEmpty();
  }

  @Test
  void aClaimThatIsGrantedAfterTheClientGaveUpIsReleased() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    Client client = fixture.submitOnce("id-1");
    client.handle.cancel();
    fixture.lastClaim().grant();
    assertThat(fixture.releasedIds).containsExactly("id-1");
    assertThat(fixture.calls).isEmpty();
    assertThat(client.events).isEmpty();
  }

  @Test
  void aRequestThatMayHaveRunIsNotRetriedAndKeepsItsClaim() {
    LiveRequestDispatcherFixture fixture = withWorkers(2, 1);
    Client client = fixture.submitOnce("id-1");
    fixture.lastClaim().grant();
    fixture.lastCall().listener.fail(STREAM_TRUNCATED, true);
    assertThat(client.events).containsExactly("rejected OutcomeUnknown");
    assertThat(fixture.calls).hasSize(1);
    assertThat(fixture.releasedIds).isEmpty();
  }

  @Test
  void aRequestThatCannotHaveRunIsRetriedAndReleasesItsClaimAtTheEnd() {
    LiveRequestDispatcherFixture fixture = withWorkers(3, 1);
    Client client = fixture.submitOnce("id-1");
    fixture.lastClaim().grant();
    fixture.lastCall().listener.fail(UNREACHABLE, false);
    fixture.lastCall().listener.fail(UNREACHABLE, false);
    assertThat(client.events).containsExactly("rejected WorkerUnreachable");
    assertThat(fixture.calls).hasSize(2);
    assertThat(fixture.releasedIds).containsExactly("id-1");
  }

  @Test
  void eachClaimHasATokenOfItsOwn() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 2);
    fixture.submitOnce("id-1");
    String firstToken = fixture.lastClaim().token();
    fixture.submitOnce("id-1");
    assertThat(fixture.lastClaim().token()).isNotEqualTo(firstToken);
  }

  // ---- cancellation and choice of workers

  @Test
  void aCancelledRequestFreesItsSlotAndHearsNothingMore() {
    LiveRequestDispatcherFixture fixture = withWorkers(1, 1);
    Client client = fixture.submit(NORMAL, "a");
    SentCall call = fixture.lastCall();
    client.handle.cancel();
    client.handle.cancel();
    assertThat(call.cancelled).isTrue();
    call.listener.text("late");
    call.listener.end("stop");
    assertThat(client.events).isEmpty();
    fixture.submit(NORMAL, "b");
    assertThat(fixture.calls).hasSize(2);
  }

  @Test
  void requestsWithTheSamePrefixGoToTheSameWorker() {
    LiveRequestDispatcherFixture fixture = withWorkers(4, 8);
    String prefix = "0123456789abcdef".repeat(4);
    for (int index = 0; index < 4; index++) {
      fixture.submit(NORMAL, prefix + index);
      fixture.lastCall().listener.end("stop");
    }
    assertThat(fixture.calls.stream().map(call -> call.workerId).distinct().count()).isEqualTo(1);
  }
}
