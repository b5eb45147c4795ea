package applespindle.corelogic;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.Bundle.Route;
import applespindle.corelogic.Bundle.RouteType;
import applespindle.corelogic.Bundle.Share;
import applespindle.corelogic.Message.HandoutItem;
import applespindle.corelogic.Message.RangeHandout;
import applespindle.corelogic.Message.RangePull;
import applespindle.corelogic.Message.RangeReport;
import applespindle.corelogic.Message.RangeReported;
import applespindle.corelogic.Message.ReportedItem;
import applespindle.corelogic.Message.WorkOffer;
import applespindle.corelogic.Message.WorkerLoads;
import applespindle.corelogic.Message.WorkerLoads.OwnLoad;
import applespindle.corelogic.OpaqueRequest.Head;
import applespindle.corelogic.OpaqueRequest.Header;
import applespindle.corelogic.OpaqueRequest.Piece;
import applespindle.corelogic.PlayedWorld.Sent;
import applespindle.corelogic.Records.Worker;
import applespindle.corelogic.Surroundings.WorkerExchange;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Opaque items at one feeder: the test plays the leader and the workers. */
final class BatchFeederTest {
  private static final Head STREAM =
      new Head(200, List.of(new Header("Content-Type", "text/event-stream")));
  private static final String HOST = "letters.example";

  private static final class World extends PlayedWorld implements BatchFeeder.Edge {
    final List<Message> toLeader = new ArrayList<>();
    final Map<String, Worker> workers = new LinkedHashMap<>();
    BatchFeeder feeder;
    final WorkerBook book = new WorkerBook(this, () -> feeder.pump());
    private boolean answers = true;
    Bundle bundle;
    Fault mayBegin;

    World() {
      super(10_000);
      feeder = new BatchFeeder(this, "near", this, book);
      routes(route("p", 1));
      tick();
    }

    private void tick() {
      after(
          Constants.LOAD_POLL_MS,
          () -> {
            feeder.tick();
            tick();
          });
    }

    static Route route(String pool, int attempts) {
      return new Route(
          "letters",
          HOST,
          "/l/",
          RouteType.BATCH,
          1_000,
          500,
          150,
          attempts,
          3,
          true,
          true,
          List.of(new Share("none", 0), new Share(pool, 1)),
          10_000,
          60_000,
          0);
    }

    World routes(Route... routes) {
      var pool = new Bundle.Pool(64, 4, 1.5);
      var limits =
          new Bundle.Limits(
              Map.of("c", new Bundle.ClassLimit(0, 0)),
              new Bundle.BatchLimits("q", 0, 0, 0, false, 1_000, null));
      bundle =
          new Bundle(
              1,
              Map.of("p", pool, "q", pool, "none", pool),
              List.of(),
              limits,
              Arrays.asList(routes),
              null,
              null);
      return this;
    }

    World worker(String id, String pool, int slots) {
      workers.put(
          id,
          new Worker(id, "10.0.0.1:" + (1000 + workers.size()), pool, Worker.READY, "z", slots));
      book.follow(workers);
      return this;
    }

    void mark(String id, String state) {
      Worker old = workers.get(id);
      workers.put(id, new Worker(id, old.address(), old.pool(), state, old.zone(), old.slots()));
      book.follow(workers);
    }

    World offer(String batch) {
      feeder.offered(new WorkOffer(batch, 10_000, 5, HOST, "/l/b"), "leader", "10.0.0.9:1");
      return this;
    }

    void handOut(String worker, int range, int... items) {
      List<HandoutItem> handed =
          Arrays.stream(items).mapToObj(index -> item(index, "", "")).toList();
      handOut(worker, range, handed);
    }

    void handOut(String worker, int range, List<HandoutItem> items) {
      feeder.handedOut(
          new RangeHandout("o-1", worker, range, 1, false, 10_000, now(), items),
          "leader",
          "10.0.0.9:1");
    }

    static HandoutItem item(int index, String resumeAfter, String text) {
      var item =
          new OpaqueBatch.Item(
              "i" + index,
              "/l/item" + index + "?x=1",
              List.of(new Header("A", "b")),
              ("body" + index).getBytes(UTF_8),
              70);
      return new HandoutItem(
          index, Json.bytes(new OpaqueHandout(HOST, "/l/b", 60_000, item, resumeAfter, text)));
    }

    /** The newest outcomes that were reported for an item, in order. */
    List<ReportedItem> outcomes(int index) {
      List<ReportedItem> found = new ArrayList<>();
      toLeader.stream()
          .filter(RangeReport.class::isInstance)
          .map(RangeReport.class::cast)
          .flatMap(report -> report.results().stream())
          .filter(item -> item.index() == index)
          .filter(
              item ->
                  found.stream()
                      .noneMatch(
                          each ->
                              each.run().equals(item.run())
                                  && each.faultType().equals(item.faultType())))
          .forEach(found::add);
      return found;
    }

    boolean gaveBack() {
      return toLeader.stream()
          .anyMatch(message -> message instanceof RangeReport report && report.giveBack());
    }

    @Override
    public void send(String toAddress, String toId, Message message) {
      toLeader.add(message);
      if (message instanceof RangeReport report && answers) {
        after(
            1,
            () ->
                feeder.answered(
                    new RangeReported(
                        report.batch(),
                        report.range(),
                        report.rangeEpoch(),
                        report.worker(),
                        report.reportNumber(),
                        !report.giveBack())));
      }
    }

    @Override
    public boolean feeds(String worker) {
      return true;
    }

    @Override
    public Fault mayBegin() {
      return mayBegin;
    }

    @Override
    public Bundle bundle() {
      return bundle;
    }

    @Override
    public RouteTable routes() {
      return bundle == null ? RouteTable.EMPTY : RouteTable.compile(bundle);
    }

    @Override
    public boolean stopping() {
      return false;
    }
  }

  private final World world = new World();

  private Sent handOne() {
    world.worker("w", "p", 8).handOut("w", 0, 0);
    return world.sent.get(0);
  }

  @Test
  void pullsOnlyForWorkersOfPoolsTheRouteSendsTo() {
    world
        .worker("w", "p", 8)
        .worker("other", "q", 8)
        .worker("unweighted", "none", 8)
        .offer("o-1")
        .run(300);
    List<String> pulledFor =
        world.toLeader.stream().map(message -> ((RangePull) message).worker()).distinct().toList();
    assertThat(pulledFor).containsExactly("w");
  }

  @Test
  void sendsTheItemUnchangedBehindLiveTraffic() {
    WorkerExchange call = handOne().call;
    assertThat(call.workerId()).isEqualTo("w");
    assertThat(call.rank()).isEqualTo(3);
    assertThat(call.request().id()).isEqualTo("i0");
    assertThat(call.request().method()).isEqualTo("POST");
    assertThat(call.request().target()).isEqualTo("/l/item0?x=1");
    assertThat(call.request().host()).isEqualTo(HOST);
    assertThat(call.request().headers()).containsExactly(new Header("A", "b"));
    assertThat(new String(call.request().body(), UTF_8)).isEqualTo("body0");
    assertThat(call.expiryMs()).isEqualTo(60_000);
  }

  @Test
  void beginsFewItemsAtOnceAndTheNextWhenOneHasBegun() {
    fed("w", 8).handOut("w", 0, 0, 1, 2, 3);
    int first = world.sent.size();
    assertThat(first).isLessThan(4);
    world.sent.get(0).worker.head(STREAM);
    assertThat(world.sent).hasSize(first + 1);
  }

  @Test
  void neverAtTheRankOfTheMostUrgentLiveRequests() {
    Route route = World.route("p", 1);
    world.routes(
        new Route(
            "letters",
            HOST,
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
    assertThat(handOne().call.rank()).isEqualTo(1);
  }

  @Test
  void aWholeStreamIsTheResult() {
    Sent run = handOne();
    run.worker.head(STREAM);
    run.event(1, "a");
    run.event(2, "b");
    assertThat(world.outcomes(0)).isEmpty();
    run.worker.end();
    ReportedItem outcome = world.outcomes(0).get(0);
    assertThat(outcome.faultType()).isEmpty();
    assertThat(new String(outcome.output(), UTF_8)).isEqualTo("a\nb");
  }

  /** How often a report carried an outcome of the item. */
  private long carried(int index) {
    return world.toLeader.stream()
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
    world.answers = false;
    world.worker("w", "p", 8).handOut("w", 0, 0, 1);
    serve(world.sent.get(0));
    serve(world.sent.get(1));
    world.run(Constants.RESULT_AGAIN_MS - Constants.RANGE_REPORT_MS);
    assertThat(carried(0)).isEqualTo(1);
    assertThat(carried(1)).isEqualTo(1);
    world.run(2 * Constants.RANGE_REPORT_MS + Constants.LOAD_POLL_MS);
    assertThat(carried(0)).isEqualTo(2);
  }

  @Test
  void theOffsetCountsNoResultThatAnotherReportCarried() {
    world.answers = false;
    world.worker("w", "p", 8).handOut("w", 0, 0, 1);
    serve(world.sent.get(0));
    serve(world.sent.get(1));
    RangeReport second = (RangeReport) world.toLeader.get(world.toLeader.size() - 1);
    assertThat(second.results().stream().map(ReportedItem::index).toList()).containsExactly(1);
    assertThat(second.offset()).isEqualTo(0);
  }

  /**
   * The first report is lost; the answer to the second says nothing of what only the first carried.
   */
  @Test
  void onlyAnAnswerToAReportThatCarriedAResultIsAnAnswerForIt() {
    world.answers = false;
    world.worker("w", "p", 8).handOut("w", 0, 0, 1);
    serve(world.sent.get(0));
    world.answers = true;
    serve(world.sent.get(1));
    world.run(2 * Constants.RESULT_AGAIN_MS);
    assertThat(carried(0)).isEqualTo(2);
    assertThat(carried(1)).isEqualTo(1);
    assertThat(world.feeder.heldRanges()).isEqualTo(0);
  }

  @Test
  void aNewLeaderGetsWhatIsUnansweredWithTheNextReport() {
    world.answers = false;
    Sent run = handOne();
    serve(run);
    world.feeder.leaderMoved("o-1", "next", "10.0.0.8:1");
    world.run(Constants.RANGE_REPORT_MS + Constants.LOAD_POLL_MS);
    assertThat(carried(0)).isEqualTo(2);
  }

  @Test
  void whatACutLeavesGoesBackUpToTheLastWholeEvent() {
    Sent run = handOne();
    run.worker.head(STREAM);
    run.event(1, "a");
    run.event(2, "b");
    run.worker.fault(new Fault.WorkerCut("w"), true);
    run.event(3, "late");
    world.run(500);
    ReportedItem part = world.outcomes(0).get(0);
    assertThat(part.faultType()).isEqualTo("WorkerCut");
    assertThat(part.finishReason()).isEqualTo("2");
    assertThat(new String(part.output(), UTF_8)).isEqualTo("a\nb");
    assertThat(world.gaveBack()).isTrue();
    assertThat(world.sent).hasSize(1);
  }

  @Test
  void anAnswerThatSaysNothingKeepsTheTextOfEarlierRuns() {
    world.worker("w", "p", 8).handOut("w", 0, List.of(World.item(0, "2", "a\nb")));
    world.sent.get(0).worker.head(new Head(504, List.of()));
    world.sent.get(0).worker.end();
    world.run(500);
    Sent next = world.sent.get(1);
    assertThat(next.call.resumeAfter()).isEqualTo("2");
    next.worker.head(STREAM);
    next.event(2, "b");
    next.event(3, "c");
    next.worker.end();
    assertThat(new String(world.outcomes(0).get(0).output(), UTF_8)).isEqualTo("a\nb\nc");
  }

  @Test
  void aPartGoesBackWithItsRangeWhenTheWorkerLeaves() {
    Sent run = handOne();
    run.worker.head(STREAM);
    run.event(1, "a");
    world.mark("w", Worker.LEAVING);
    world.run(300);
    assertThat(run.cancelled).isFalse();
    run.worker.fault(new Fault.WorkerCut("w"), true);
    world.run(500);
    ReportedItem part = world.outcomes(0).get(0);
    assertThat(part.faultType()).isEqualTo("WorkerCut");
    assertThat(part.finishReason()).isEqualTo("1");
    assertThat(new String(part.output(), UTF_8)).isEqualTo("a");
    assertThat(world.sent).hasSize(1);
    assertThat(world.gaveBack()).isTrue();
  }

  @Test
  void aPartThatWasHandedOutIsGoneOnWith() {
    world.worker("w", "p", 8).handOut("w", 0, List.of(World.item(0, "2", "a\nb")));
    Sent run = world.sent.get(0);
    assertThat(run.call.resumeAfter()).isEqualTo("2");
    run.worker.head(STREAM);
    run.event(3, "c");
    run.worker.end();
    assertThat(new String(world.outcomes(0).get(0).output(), UTF_8)).isEqualTo("a\nb\nc");
  }

  @Test
  void onlyAWhole500IsAFailedAttempt() {
    Sent run = handOne();
    run.worker.head(new Head(500, List.of()));
    run.worker.fault(new Fault.WorkerCut("w"), true);
    world.run(2_000);
    assertThat(world.outcomes(0)).isEmpty();
    world.handOut("w", 1, 0);
    Sent next = world.sent.get(1);
    next.worker.head(new Head(500, List.of()));
    next.worker.end();
    assertThat(world.outcomes(0).get(0).faultType()).isEqualTo("ItemFailed");
  }

  @Test
  void a422EndsTheItem() {
    Sent run = handOne();
    run.worker.head(new Head(422, List.of()));
    run.worker.end();
    assertThat(world.outcomes(0).get(0).faultType()).isEqualTo("ItemImpossible");
  }

  @Test
  void noOtherAnswerCountsAgainstTheItem() {
    Sent run = handOne();
    run.worker.head(new Head(504, List.of()));
    run.worker.end();
    world.run(500);
    world.sent.get(1).worker.fault(new Fault.WorkerRefused(503), false);
    world.run(500);
    Sent page = world.sent.get(2);
    page.worker.head(new Head(200, List.of(new Header("Content-Type", "text/plain"))));
    page.worker.piece(new Piece("", "data: x".getBytes(UTF_8)));
    page.worker.end();
    world.run(500);
    world.sent.get(3).worker.fault(new Fault.WorkerGarbage("w"), true);
    world.run(1_000);
    assertThat(world.outcomes(0)).isEmpty();
    assertThat(world.gaveBack()).isTrue();
  }

  @Test
  void silenceIsGivenUpAndGoneOnFrom() {
    Sent run = handOne();
    run.worker.head(STREAM);
    run.event(1, "a");
    world.run(Constants.SILENT_LEAST_MS + 5_000);
    assertThat(run.cancelled).isTrue();
    assertThat(world.outcomes(0).get(0).finishReason()).isEqualTo("1");
    assertThat(world.gaveBack()).isTrue();
  }

  @Test
  void aRunThatGaveWayWaitsWhileItsWorkerIsHeard() {
    world.worker("w", "p", 8).handOut("w", 0, 0, 1);
    for (int step = 0; step < 20; step++) {
      world.sent.get(1).worker.head(STREAM);
      world.run(200);
    }
    assertThat(world.sent.get(0).cancelled).isFalse();
  }

  @Test
  void holdsNoMoreThanTheSlotsLessAReserve() {
    fed("w", 8).handOut("w", 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
    for (int index = 0; index < world.sent.size(); index++) {
      world.sent.get(index).worker.head(STREAM);
    }
    assertThat(world.sent).hasSize(6);
  }

  /** A worker that was fed from here long enough for all of its slots less the reserve. */
  private World fed(String worker, int slots) {
    world.worker(worker, "p", slots).run(Constants.FEEDER_RAMP_MS + Constants.LOAD_POLL_MS);
    return world;
  }

  @Test
  void takesTheSlotsOfAWorkerThatIsNewToItByAndBy() {
    world
        .worker("w", "p", 24)
        .handOut("w", 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19);
    int begunAtOnce = begun();
    assertThat(begunAtOnce).isEqualTo(4);
    world.run(Constants.FEEDER_RAMP_MS / 2);
    int begunHalfway = begun();
    assertThat(begunHalfway).isGreaterThan(begunAtOnce);
    assertThat(begunHalfway).isAtMost(10);
    for (int step = 0; step < 10; step++) {
      world.run(Constants.FEEDER_RAMP_MS / 10);
      begun();
    }
    assertThat(world.sent).hasSize(18);
  }

  /** Each item that was sent has begun to answer. */
  private int begun() {
    for (int index = 0; index < world.sent.size(); index++) {
      world.sent.get(index).worker.head(STREAM);
    }
    return world.sent.size();
  }

  @Test
  void anItemWaitsUntilTheWorkerHasReadWhatFellowsSentThere() {
    fed("w", 8);
    int pauseTokens = (int) (150 * Constants.ITEM_PAUSE_PART * Constants.PACE_GUESS_TOKENS_PER_MS);
    world.book.fellowTold(
        "other", new WorkerLoads(List.of(new OwnLoad("w", 1, pauseTokens + 2_000))));
    world.handOut("w", 0, 0);
    assertThat(world.sent).isEmpty();
    world.run(40 - 2 * Constants.ITEM_LOOK_MS + 20);
    assertThat(world.sent).isEmpty();
    world.run(2 * Constants.ITEM_LOOK_MS);
    assertThat(world.sent).hasSize(1);
  }

  @Test
  void itsOwnItemsCountAsToBeReadUntilSomethingComes() {
    fed("w", 8).handOut("w", 0, 0);
    WorkerBook.Known worker = world.book.get("w");
    assertThat(worker.reading).isEqualTo(35.0);
    world.sent.get(0).worker.head(STREAM);
    assertThat(worker.reading).isEqualTo(0.0);
    world.sent.get(0).worker.fault(new Fault.WorkerSilent("w"), true);
    assertThat(worker.reading).isEqualTo(0.0);
  }

  @Test
  void nothingIsSentToALeavingWorkerOrWithoutNews() {
    world.worker("w", "p", 8).mark("w", Worker.LEAVING);
    world.handOut("w", 0, 0);
    world.run(500);
    assertThat(world.sent).isEmpty();
    world.worker("x", "p", 8);
    world.mayBegin = new Fault.NodeIsolated(9);
    world.handOut("x", 1, 1);
    world.run(500);
    assertThat(world.sent).isEmpty();
  }

  @Test
  void theRouteInForceAtTheMomentOfSendingCounts() {
    world.worker("w", "p", 8).routes(World.route("q", 1));
    world.handOut("w", 0, 0);
    assertThat(world.sent).isEmpty();
    world.run(500);
    assertThat(world.gaveBack()).isTrue();
  }

  @Test
  void nothingIsSentAfterTheGrant() {
    world.answers = false;
    world.worker("w", "p", 2).handOut("w", 0, 0, 1);
    Sent run = world.sent.get(0);
    assertThat(world.sent).hasSize(1);
    run.worker.head(STREAM);
    world.run(Constants.RANGE_GRANT_MS + 1);
    run.worker.end();
    world.run(500);
    assertThat(world.sent).hasSize(1);
  }

  @Test
  void anEndCancelsWhatRuns() {
    Sent run = handOne();
    world.feeder.ended("o-1");
    assertThat(run.cancelled).isTrue();
    world.run(1_000);
    assertThat(world.sent).hasSize(1);
    assertThat(world.outcomes(0)).isEmpty();
  }

  @Test
  void aWorkerThatIsListedNoMoreGivesItsRangesBack() {
    world.worker("w", "p", 2).handOut("w", 0, 0, 1);
    world.workers.clear();
    world.book.follow(world.workers);
    world.sent.get(0).worker.fault(new Fault.WorkerUnreachable("w"), false);
    world.run(500);
    assertThat(world.gaveBack()).isTrue();
  }

  @Test
  void outcomesOutliveALongSilenceOfTheLeader() {
    world.answers = false;
    Sent run = handOne();
    run.worker.head(STREAM);
    run.event(1, "a");
    run.worker.end();
    world.run(10_000);
    world.toLeader.clear();
    world.feeder.leaderMoved("o-1", "next", "10.0.0.8:1");
    world.run(500);
    assertThat(world.outcomes(0)).hasSize(1);
  }
}
