package applespindle.corelogic.batch;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.configuration.RoutingConfiguration.Tenant;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.FakeEnvironment.Sent;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Message.AssignedItem;
import applespindle.corelogic.protocol.Message.ItemOutcome;
import applespindle.corelogic.protocol.Message.PeerLoadReport;
import applespindle.corelogic.protocol.Message.PeerLoadReport.OwnLoad;
import applespindle.corelogic.protocol.Message.RangeReport;
import applespindle.corelogic.protocol.Message.RangeRequest;
import applespindle.corelogic.worker.WorkerState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Proxied items at one dispatcher: the test acts as the leader and as the workers. */
final class BatchDispatcherTest {
  private static final ResponseHead STREAM =
      new ResponseHead(200, List.of(new Header("Content-Type", "text/event-stream")));

  private final BatchDispatcherFixture fixture = new BatchDispatcherFixture();

  private Sent assignOneItem() {
    fixture.worker("w", "p", 8).assign("w", 0, 0);
    return fixture.sent.get(0);
  }

  @Test
  void requestsRangesOnlyForWorkersOfTheRoutesPools() {
    fixture
        .worker("w", "p", 8)
        .worker("other", "q", 8)
        .worker("unweighted", "none", 8)
        .offer("o-1")
        .run(300);
    List<String> requestedFor =
        fixture.sentToLeader.stream()
            .map(message -> ((RangeRequest) message).worker())
            .distinct()
            .toList();
    assertThat(requestedFor).containsExactly("w");
  }

  @Test
  void sendsTheItemUnchangedBehindLiveTraffic() {
    WorkerExchange call = assignOneItem().call;
    assertThat(call.workerId()).isEqualTo("w");
    assertThat(call.rank()).isEqualTo(3);
    assertThat(call.request().id()).isEqualTo("i0");
    assertThat(call.request().method()).isEqualTo("POST");
    assertThat(call.request().target()).isEqualTo("/l/item0?x=1");
    assertThat(call.request().host()).isEqualTo(BatchDispatcherFixture.HOST);
    assertThat(call.request().headers()).containsExactly(new Header("A", "b"));
    assertThat(new String(call.request().body(), UTF_8)).isEqualTo("body0");
    assertThat(call.expiryMs()).isEqualTo(60_000);
  }

  @Test
  void startsFewItemsAtOnceAndTheNextAfterAResponseHead() {
    dispatcherWithAllSlots("w", 8).assign("w", 0, 0, 1, 2, 3);
    int first = fixture.sent.size();
    assertThat(first).isLessThan(4);
    fixture.sent.get(0).worker.head(STREAM);
    assertThat(fixture.sent).hasSize(first + 1);
  }

  @Test
  void neverAtTheRankOfTheMostUrgentLiveRequests() {
    Route route = BatchDispatcherFixture.route("p", 1);
    fixture.routes(
        new Route(
            "letters",
            BatchDispatcherFixture.HOST,
            "/l/",
            RouteType.BATCH,
            1_000,
            500,
            150,
            1,
            0,
            true,
            true,
            route.split(),
            10_000,
            60_000,
            0));
    assertThat(assignOneItem().call.rank()).isEqualTo(1);
  }

  private static AssignedItem itemOf(String tenant) {
    return BatchDispatcherFixture.item(1, "", "", tenant);
  }

  @Test
  void theWorkerIsToldTheTenantThatOwnsTheBatch() {
    fixture.worker("w1", "p", 8).tenants(new Tenant("notices", List.of("key-1"), 0));
    fixture.assign("w1", 0, List.of(itemOf("notices")));
    assertThat(fixture.sent.get(0).call.tenant()).isEqualTo("notices");
  }

  @Test
  void anItemRunsForItsTenantAlsoOnceThatIsGone() {
    fixture.worker("w1", "p", 8).tenants(new Tenant("another", List.of("key-1"), 0));
    fixture.assign("w1", 0, List.of(itemOf("notices")));
    assertThat(fixture.sent.get(0).call.tenant()).isEqualTo("notices");
  }

  @Test
  void anItemWithoutATenantIsShownAsSuchWhereThereAreTenants() {
    fixture.worker("w1", "p", 8).tenants(new Tenant("another", List.of("key-1"), 0));
    fixture.assign("w1", 0, List.of(itemOf(null)));
    assertThat(fixture.sent.get(0).call.tenant()).isEmpty();
  }

  @Test
  void withoutTenantsTheHeadersOfItemsPassAsTheyAre() {
    fixture.worker("w1", "p", 8).assign("w1", 0, List.of(itemOf(null)));
    assertThat(fixture.sent.get(0).call.tenant()).isNull();
  }

  @Test
  void aCompleteStreamIsTheResult() {
    Sent run = assignOneItem();
    run.worker.head(STREAM);
    run.event(1, "a");
    run.event(2, "b");
    assertThat(fixture.outcomes(0)).isEmpty();
    run.worker.end();
    ItemOutcome outcome = fixture.outcomes(0).get(0);
    assertThat(outcome.errorType()).isEmpty();
    assertThat(new String(outcome.output(), UTF_8)).isEqualTo("a\nb");
  }

  /** How often a report carried an outcome of the item. */
  private long carried(int index) {
    return fixture.sentToLeader.stream()
        .filter(RangeReport.class::isInstance)
        .map(RangeReport.class::cast)
        .flatMap(report -> report.results().stream())
        .filter(item -> item.index() == index)
        .count();
  }

  private static void serve(Sent run) {
    run.worker.head(STREAM);
    run.event(1, "a");
    run.worker.end();
  }

  @Test
  void anUnansweredResultIsReportedAgainOnlyAfterLong() {
    fixture.respondsToReports = false;
    fixture.worker("w", "p", 8).assign("w", 0, 0, 1);
    serve(fixture.sent.get(0));
    serve(fixture.sent.get(1));
    fixture.run(BatchConstants.RESULT_RESEND_MS - BatchConstants.RANGE_REPORT_INTERVAL_MS);
    assertThat(carried(0)).isEqualTo(1);
    assertThat(carried(1)).isEqualTo(1);
    fixture.run(
        2 * BatchConstants.RANGE_REPORT_INTERVAL_MS + WorkerConstants.LOAD_POLL_INTERVAL_MS);
    assertThat(carried(0)).isEqualTo(2);
  }

  @Test
  void theOffsetCountsNoResultThatAnotherReportCarried() {
    fixture.respondsToReports = false;
    fixture.worker("w", "p", 8).assign("w", 0, 0, 1);
    serve(fixture.sent.get(0));
    serve(fixture.sent.get(1));
    RangeReport second = (RangeReport) fixture.sentToLeader.get(fixture.sentToLeader.size() - 1);
    assertThat(second.results().stream().map(ItemOutcome::index).toList()).containsExactly(1);
    assertThat(second.offset()).isEqualTo(0);
  }

  /**
   * The first report is lost; the response to the second acknowledges nothing that only the first
   * carried.
   */
  @Test
  void onlyAResponseToAReportThatCarriedAResultAcknowledgesIt() {
    fixture.respondsToReports = false;
    fixture.worker("w", "p", 8).assign("w", 0, 0, 1);
    serve(fixture.sent.get(0));
    fixture.respondsToReports = true;
    serve(fixture.sent.get(1));
    fixture.run(2 * BatchConstants.RESULT_RESEND_MS);
    assertThat(carried(0)).isEqualTo(2);
    assertThat(carried(1)).isEqualTo(1);
    assertThat(fixture.batchDispatcher.heldRanges()).isEqualTo(0);
  }

  @Test
  void aNewLeaderGetsUnansweredOutcomesWithTheNextReport() {
    fixture.respondsToReports = false;
    Sent run = assignOneItem();
    serve(run);
    fixture.batchDispatcher.leaderMoved("o-1", "next", "10.0.0.8:1");
    fixture.run(BatchConstants.RANGE_REPORT_INTERVAL_MS + WorkerConstants.LOAD_POLL_INTERVAL_MS);
    assertThat(carried(0)).isEqualTo(2);
  }

  @Test
  void aPartialStreamIsReturnedUpToTheLastCompleteEvent() {
    Sent run = assignOneItem();
    run.worker.head(STREAM);
    run.event(1, "a");
    run.event(2, "b");
    run.worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    run.event(3, "late");
    fixture.run(500);
    ItemOutcome partial = fixture.outcomes(0).get(0);
    assertThat(partial.errorType()).isEqualTo("WorkerCut");
    assertThat(partial.finishReason()).isEqualTo("2");
    assertThat(new String(partial.output(), UTF_8)).isEqualTo("a\nb");
    assertThat(fixture.returnedRange()).isTrue();
    assertThat(fixture.sent).hasSize(1);
  }

  @Test
  void anInconclusiveResponseKeepsTheTextOfEarlierRuns() {
    fixture
        .worker("w", "p", 8)
        .assign("w", 0, List.of(BatchDispatcherFixture.item(0, "2", "a\nb")));
    fixture.sent.get(0).worker.head(new ResponseHead(504, List.of()));
    fixture.sent.get(0).worker.end();
    fixture.run(500);
    Sent next = fixture.sent.get(1);
    assertThat(next.call.resumeAfter()).isEqualTo("2");
    next.worker.head(STREAM);
    next.event(2, "b");
    next.event(3, "c");
    next.worker.end();
    assertThat(new String(fixture.outcomes(0).get(0).output(), UTF_8)).isEqualTo("a\nb\nc");
  }

  @Test
  void aPartialStreamIsReturnedWithItsRangeWhenTheWorkerLeaves() {
    Sent run = assignOneItem();
    run.worker.head(STREAM);
    run.event(1, "a");
    fixture.setWorkerState("w", WorkerRegistration.LEAVING);
    fixture.run(300);
    assertThat(run.cancelled).isFalse();
    run.worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    fixture.run(500);
    ItemOutcome partial = fixture.outcomes(0).get(0);
    assertThat(partial.errorType()).isEqualTo("WorkerCut");
    assertThat(partial.finishReason()).isEqualTo("1");
    assertThat(new String(partial.output(), UTF_8)).isEqualTo("a");
    assertThat(fixture.sent).hasSize(1);
    assertThat(fixture.returnedRange()).isTrue();
  }

  @Test
  void anAssignedPartialStreamIsResumed() {
    fixture
        .worker("w", "p", 8)
        .assign("w", 0, List.of(BatchDispatcherFixture.item(0, "2", "a\nb")));
    Sent run = fixture.sent.get(0);
    assertThat(run.call.resumeAfter()).isEqualTo("2");
    run.worker.head(STREAM);
    run.event(3, "c");
    run.worker.end();
    assertThat(new String(fixture.outcomes(0).get(0).output(), UTF_8)).isEqualTo("a\nb\nc");
  }

  @Test
  void onlyAComplete500IsAFailedAttempt() {
    Sent run = assignOneItem();
    run.worker.head(new ResponseHead(500, List.of()));
    run.worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    fixture.run(2_000);
    assertThat(fixture.outcomes(0)).isEmpty();
    fixture.assign("w", 1, 0);
    Sent next = fixture.sent.get(1);
    next.worker.head(new ResponseHead(500, List.of()));
    next.worker.end();
    assertThat(fixture.outcomes(0).get(0).errorType()).isEqualTo("ItemFailed");
  }

  @Test
  void a422EndsTheItem() {
    Sent run = assignOneItem();
    run.worker.head(new ResponseHead(422, List.of()));
    run.worker.end();
    assertThat(fixture.outcomes(0).get(0).errorType()).isEqualTo("ItemImpossible");
  }

  @Test
  void noOtherStatusCountsAsAnAttempt() {
    Sent run = assignOneItem();
    run.worker.head(new ResponseHead(504, List.of()));
    run.worker.end();
    fixture.run(500);
    fixture.sent.get(1).worker.fail(new ApiError.WorkerRejected(503), false);
    fixture.run(500);
    Sent page = fixture.sent.get(2);
    page.worker.head(new ResponseHead(200, List.of(new Header("Content-Type", "text/plain"))));
    page.worker.chunk(new ResponseChunk("", "data: x".getBytes(UTF_8)));
    page.worker.end();
    fixture.run(500);
    fixture.sent.get(3).worker.fail(new ApiError.MalformedWorkerResponse("w"), true);
    fixture.run(1_000);
    assertThat(fixture.outcomes(0)).isEmpty();
    assertThat(fixture.returnedRange()).isTrue();
  }

  @Test
  void aSilentRunIsCancelledAndResumed() {
    Sent run = assignOneItem();
    run.worker.head(STREAM);
    run.event(1, "a");
    fixture.run(BatchConstants.MIN_SILENCE_TIMEOUT_MS + 5_000);
    assertThat(run.cancelled).isTrue();
    assertThat(fixture.outcomes(0).get(0).finishReason()).isEqualTo("1");
    assertThat(fixture.returnedRange()).isTrue();
  }

  @Test
  void aRunWithoutOutputGoesOnWhileItsWorkerIsActive() {
    fixture.worker("w", "p", 8).assign("w", 0, 0, 1);
    for (int step = 0; step < 20; step++) {
      fixture.sent.get(1).worker.head(STREAM);
      fixture.run(200);
    }
    assertThat(fixture.sent.get(0).cancelled).isFalse();
  }

  @Test
  void runsNoMoreItemsThanTheSlotsLessAReserve() {
    dispatcherWithAllSlots("w", 8).assign("w", 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
    for (int index = 0; index < fixture.sent.size(); index++) {
      fixture.sent.get(index).worker.head(STREAM);
    }
    assertThat(fixture.sent).hasSize(7);
  }

  /** The reserve is for further live requests, beside those that run. */
  @Test
  void leavesTheReserveFreeBesideLiveRequests() {
    dispatcherWithAllSlots("w", 8);
    fixture.registry.recordPeerLoad("other", new PeerLoadReport(List.of(new OwnLoad("w", 2, 0))));
    fixture.assign("w", 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
    begun();
    assertThat(fixture.sent).hasSize(5);
  }

  /** An item that is certain to be late makes no other one late. */
  @Test
  void itemsThatCanMeetTheirDeadlineGoBeforeLateOnes() {
    dispatcherWithAllSlots("w", 2);
    fixture.assign("w", 0, 0);
    Sent first = fixture.sent.get(0);
    first.worker.head(STREAM);
    fixture.assign("w", 1, -500, List.of(BatchDispatcherFixture.item(1, "", "")));
    fixture.assign("w", 2, 2_400, List.of(BatchDispatcherFixture.item(2, "", "")));
    serve(first);
    assertThat(fixture.sent).hasSize(2);
    assertThat(fixture.sent.get(1).call.request().id()).isEqualTo("i2");
  }

  /** A worker that is dispatched to for long enough to get all of its slots less the reserve. */
  private BatchDispatcherFixture dispatcherWithAllSlots(String worker, int slots) {
    fixture
        .worker(worker, "p", slots)
        .run(BatchConstants.DISPATCH_SLOW_START_MS + WorkerConstants.LOAD_POLL_INTERVAL_MS);
    return fixture;
  }

  @Test
  void takesTheSlotsOfANewWorkerGradually() {
    fixture
        .worker("w", "p", 24)
        .assign(
            "w", 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21,
            22, 23);
    int begunAtOnce = begun();
    assertThat(begunAtOnce).isEqualTo(5);
    fixture.run(BatchConstants.DISPATCH_SLOW_START_MS / 2);
    int begunHalfway = begun();
    assertThat(begunHalfway).isGreaterThan(begunAtOnce);
    assertThat(begunHalfway).isAtMost(11);
    for (int step = 0; step < 10; step++) {
      fixture.run(BatchConstants.DISPATCH_SLOW_START_MS / 10);
      begun();
    }
    assertThat(fixture.sent).hasSize(21);
  }

  /** Each item that was sent has got its response head. */
  private int begun() {
    for (int index = 0; index < fixture.sent.size(); index++) {
      fixture.sent.get(index).worker.head(STREAM);
    }
    return fixture.sent.size();
  }

  @Test
  void anItemWaitsUntilTheWorkerHasReadThePromptsOfOtherEdges() {
    dispatcherWithAllSlots("w", 8);
    int pauseTokens =
        (int)
            (150
                * BatchConstants.MAX_STREAM_PAUSE_SHARE
                * WorkerConstants.INITIAL_PREFILL_TOKENS_PER_MS);
    fixture.registry.recordPeerLoad(
        "other", new PeerLoadReport(List.of(new OwnLoad("w", 1, pauseTokens + 2_000))));
    fixture.assign("w", 0, 0);
    assertThat(fixture.sent).isEmpty();
    fixture.run(40 - 2 * BatchConstants.ITEM_CHECK_INTERVAL_MS + 20);
    assertThat(fixture.sent).isEmpty();
    fixture.run(2 * BatchConstants.ITEM_CHECK_INTERVAL_MS);
    assertThat(fixture.sent).hasSize(1);
  }

  @Test
  void ownItemsCountAsUnreadUntilTheirResponseStarts() {
    dispatcherWithAllSlots("w", 8).assign("w", 0, 0);
    WorkerState worker = fixture.registry.get("w");
    assertThat(worker.pendingPrefillTokens).isEqualTo(35.0);
    fixture.sent.get(0).worker.head(STREAM);
    assertThat(worker.pendingPrefillTokens).isEqualTo(0.0);
    fixture.sent.get(0).worker.fail(new ApiError.WorkerTimeout("w"), true);
    assertThat(worker.pendingPrefillTokens).isEqualTo(0.0);
  }

  @Test
  void nothingIsSentToALeavingWorkerOrWithStaleMetadata() {
    fixture.worker("w", "p", 8).setWorkerState("w", WorkerRegistration.LEAVING);
    fixture.assign("w", 0, 0);
    fixture.run(500);
    assertThat(fixture.sent).isEmpty();
    fixture.worker("x", "p", 8);
    fixture.rejectionOfNewWork = new ApiError.NodeIsolated(9);
    fixture.assign("x", 1, 1);
    fixture.run(500);
    assertThat(fixture.sent).isEmpty();
  }

  @Test
  void theRouteInForceWhenTheItemIsSentApplies() {
    fixture.worker("w", "p", 8).routes(BatchDispatcherFixture.route("q", 1));
    fixture.assign("w", 0, 0);
    assertThat(fixture.sent).isEmpty();
    fixture.run(500);
    assertThat(fixture.returnedRange()).isTrue();
  }

  @Test
  void nothingIsSentAfterTheLease() {
    fixture.respondsToReports = false;
    fixture.worker("w", "p", 2).assign("w", 0, 0, 1);
    Sent run = fixture.sent.get(0);
    assertThat(fixture.sent).hasSize(1);
    run.worker.head(STREAM);
    fixture.run(BatchConstants.RANGE_LEASE_MS + 1);
    run.worker.end();
    fixture.run(500);
    assertThat(fixture.sent).hasSize(1);
  }

  @Test
  void theEndOfABatchCancelsItsRuns() {
    Sent run = assignOneItem();
    fixture.batchDispatcher.batchEnded("o-1");
    assertThat(run.cancelled).isTrue();
    fixture.run(1_000);
    assertThat(fixture.sent).hasSize(1);
    assertThat(fixture.outcomes(0)).isEmpty();
  }

  @Test
  void theRangesOfARemovedWorkerAreReturned() {
    fixture.worker("w", "p", 2).assign("w", 0, 0, 1);
    fixture.workers.clear();
    fixture.registry.updateWorkers(fixture.workers);
    fixture.sent.get(0).worker.fail(new ApiError.WorkerUnreachable("w"), false);
    fixture.run(500);
    assertThat(fixture.returnedRange()).isTrue();
  }

  @Test
  void outcomesAreKeptDuringALongSilenceOfTheLeader() {
    fixture.respondsToReports = false;
    Sent run = assignOneItem();
    run.worker.head(STREAM);
    run.event(1, "a");
    run.worker.end();
    fixture.run(10_000);
    fixture.sentToLeader.clear();
    fixture.batchDispatcher.leaderMoved("o-1", "next", "10.0.0.8:1");
    fixture.run(500);
    assertThat(fixture.outcomes(0)).hasSize(1);
  }
}
