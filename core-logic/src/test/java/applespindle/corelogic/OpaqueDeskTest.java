package applespindle.corelogic;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.Bundle.Route;
import applespindle.corelogic.Bundle.RouteType;
import applespindle.corelogic.Bundle.Share;
import applespindle.corelogic.Message.WorkerLoads;
import applespindle.corelogic.Message.WorkerLoads.OwnLoad;
import applespindle.corelogic.OpaqueRequest.Head;
import applespindle.corelogic.OpaqueRequest.Piece;
import applespindle.corelogic.OpaqueRequest.PromptPart;
import applespindle.corelogic.PlayedWorld.Sent;
import applespindle.corelogic.Records.Member;
import applespindle.corelogic.Records.Worker;
import applespindle.corelogic.Surroundings.WorkerExchange;
import applespindle.corelogic.Surroundings.WorkerLoad;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

final class OpaqueDeskTest {
  private static final Head GOOD = new Head(200, List.of());
  private static final String POOL = "p";

  /** Simulated time, workers that the test plays, and nothing else. */
  private static final class World extends PlayedWorld implements LiveDesk.Edge {
    final Map<String, Worker> workers = new LinkedHashMap<>();
    final WorkerBook book = new WorkerBook(this, () -> {});
    final OpaqueDesk desk = new OpaqueDesk(this, "near", this, book);
    Bundle bundle;
    Fault mayBegin;
    Fault mayGoOn;

    World() {
      super(1_000);
    }

    World worker(String id, String pool, String zone, int slots) {
      workers.put(
          id,
          new Worker(id, "10.0.0.1:" + (1000 + workers.size()), pool, Worker.READY, zone, slots));
      book.follow(workers);
      return this;
    }

    void mark(String id, String state) {
      Worker old = workers.get(id);
      workers.put(id, new Worker(id, old.address(), old.pool(), state, old.zone(), old.slots()));
      book.follow(workers);
    }

    World routes(Route... routes) {
      Map<String, Bundle.Pool> pools =
          Map.of(POOL, new Bundle.Pool(64, 4, 1.5), "q", new Bundle.Pool(64, 4, 1.5));
      bundle = new Bundle(1, pools, List.of(), null, Arrays.asList(routes), null, null);
      return this;
    }

    Sent last() {
      return sent.get(sent.size() - 1);
    }

    Client pass(OpaqueRequest request) {
      Client client = new Client();
      client.handle = desk.take(request, client);
      return client;
    }

    @Override
    public Fault mayBegin() {
      return mayBegin == null ? mayGoOn : mayBegin;
    }

    @Override
    public Fault mayGoOn() {
      return mayGoOn;
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
    public void claimOnce(String id, String token, Consumer<Fault> then) {}

    @Override
    public void unclaimOnce(String id, String token) {}

    @Override
    public void count(String counter) {}
  }

  /** Writes down what it hears. */
  private static final class Client implements OpaqueListener {
    final List<String> heard = new ArrayList<>();
    Response refusal;
    Fault cut;
    LiveDesk.Handle handle;

    @Override
    public void head(Head head) {
      heard.add("head " + head.status());
    }

    @Override
    public void piece(Piece piece) {
      heard.add(new String(piece.bytes(), UTF_8));
    }

    @Override
    public void end() {
      heard.add("end");
    }

    @Override
    public void refused(Response response) {
      refusal = response;
      heard.add("refused " + response.status());
    }

    @Override
    public void cut(Fault fault) {
      cut = fault;
      heard.add("cut");
    }
  }

  private static Route route(RouteType type, int attempts, boolean resumable, Share... split) {
    return new Route(
        "r-" + type,
        "a.example",
        "/a/",
        type,
        4_000,
        200,
        type == RouteType.STREAM ? 100 : 0,
        attempts,
        3,
        true,
        resumable,
        split.length == 0 ? List.of(new Share(POOL, 1)) : List.of(split),
        0,
        0,
        0);
  }

  private static OpaqueRequest request(String id, String... parts) {
    return request(id, "A.Example:80", "/a/x?y=/b/", 2_000, parts);
  }

  private static OpaqueRequest request(
      String id, String host, String target, long deadlineMs, String... parts) {
    List<PromptPart> prompt = Arrays.stream(parts).map(part -> new PromptPart(part, 400)).toList();
    return new OpaqueRequest(
        id,
        "POST",
        target,
        host,
        List.of(),
        new byte[0],
        deadlineMs,
        "m",
        400 * parts.length,
        80,
        prompt,
        "");
  }

  private static Piece event(int id) {
    return new Piece(Integer.toString(id), ("e" + id).getBytes(UTF_8));
  }

  private static World world(Route route) {
    return new World()
        .worker("w1", POOL, "near", 8)
        .worker("w2", POOL, "near", 8)
        .worker("w3", POOL, "near", 8)
        .routes(route);
  }

  // ---- routes

  @Test
  void takesTheLongestPrefixOfTheHostWithoutItsPortAndCase() {
    Route shorter =
        new Route(
            "short",
            "a.example",
            "/a/",
            RouteType.ONCE,
            4_000,
            200,
            0,
            1,
            0,
            false,
            false,
            List.of(new Share("q", 1)),
            0,
            0,
            0);
    Route longer =
        new Route(
            "long",
            "a.example",
            "/a/b/",
            RouteType.ONCE,
            4_000,
            200,
            0,
            1,
            0,
            false,
            false,
            List.of(new Share(POOL, 1)),
            0,
            0,
            0);
    World world =
        new World()
            .worker("w1", POOL, "near", 8)
            .worker("w2", "q", "near", 8)
            .routes(shorter, longer);
    world.pass(request("1", "A.EXAMPLE:8080", "/a/b/c", 1_000));
    world.pass(request("2", "a.example", "/a/bc", 1_000));
    assertThat(world.sent.stream().map(sent -> sent.call.workerId()).toList())
        .containsExactly("w1", "w2")
        .inOrder();
  }

  @Test
  void answers404WhereNoRouteMatches() {
    World world = world(route(RouteType.ONCE, 1, false));
    assertThat(world.pass(request("1", "b.example", "/a/x", 1_000)).heard)
        .containsExactly("refused 404");
    assertThat(world.pass(request("2", "a.example", "/b/x", 1_000)).heard)
        .containsExactly("refused 404");
    assertThat(world.sent).isEmpty();
  }

  @Test
  void refusesAtOnceWithATimeToComeBackWhileItMayNotBegin() {
    World world = world(route(RouteType.ONCE, 1, false));
    world.mayBegin = new Fault.NodeStopping();
    Client client = world.pass(request("1"));
    assertThat(client.refusal.status()).isEqualTo(503);
    assertThat(client.refusal.comeBackMs()).isGreaterThan(0);
    world.mayBegin = null;
    world.bundle = null;
    assertThat(world.pass(request("2")).heard).containsExactly("refused 503");
    assertThat(world.sent).isEmpty();
  }

  @Test
  void splitsByWeightAndPassesOverAPoolWithoutWorkers() {
    World world =
        new World()
            .worker("w1", POOL, "near", 1_000)
            .worker("w2", "q", "near", 1_000)
            .routes(route(RouteType.ONCE, 1, false, new Share(POOL, 90), new Share("q", 10)));
    for (int index = 0; index < 400; index++) {
      world.pass(request("r" + index));
    }
    long part = world.sent.stream().filter(sent -> sent.call.workerId().equals("w2")).count();
    assertThat(part).isAtLeast(15L);
    assertThat(part).isAtMost(80L);
    world.mark("w1", Worker.LEAVING);
    world.sent.clear();
    for (int index = 0; index < 20; index++) {
      world.pass(request("s" + index));
    }
    assertThat(world.sent.stream().map(sent -> sent.call.workerId()).distinct().toList())
        .containsExactly("w2");
  }

  // ---- choice of worker

  @Test
  void tellsTheWorkerItsIdRankAndWhatIsLeft() {
    World world = world(route(RouteType.ONCE, 1, false));
    world.pass(request("1"));
    WorkerExchange call = world.last().call;
    assertThat(call.workerId()).isEqualTo(world.workers.get(call.workerId()).id());
    assertThat(call.address()).isEqualTo(world.workers.get(call.workerId()).address());
    assertThat(call.rank()).isEqualTo(3);
    assertThat(call.expiryMs()).isEqualTo(2_000);
  }

  @Test
  void neverSendsToALeavingWorker() {
    World world = world(route(RouteType.REPEATABLE, 3, false));
    world.mark("w1", Worker.LEAVING);
    world.mark("w2", Worker.LEAVING);
    world.pass(request("1"));
    assertThat(world.last().call.workerId()).isEqualTo("w3");
    world.mark("w3", Worker.LEAVING);
    assertThat(world.pass(request("2")).heard).containsExactly("refused 503");
  }

  @Test
  void spreadsRequestsOverIdleWorkers() {
    World world = world(route(RouteType.ONCE, 1, false));
    for (int index = 0; index < 12; index++) {
      world.pass(request("r" + index));
    }
    world.book.all().forEach(worker -> assertThat(worker.live).isEqualTo(4));
  }

  @Test
  void passesOverAWorkerThatReadsWhatAFellowSentThere() {
    World world = world(route(RouteType.STREAM, 1, false));
    for (String busy : List.of("w1", "w3")) {
      world.book.fellowTold("other", new WorkerLoads(List.of(new OwnLoad(busy, 1, 1_500))));
    }
    world.pass(request("1", "a", "b"));
    assertThat(world.last().call.workerId()).isEqualTo("w2");
  }

  @Test
  void whatAFellowToldFadesAsTheWorkerReads() {
    World world = world(route(RouteType.STREAM, 1, false));
    world.book.fellowTold(
        "other", new WorkerLoads(List.of(new OwnLoad("w1", 2, 1_000), new OwnLoad("gone", 1, 1))));
    WorkerBook.Known worker = world.book.get("w1");
    assertThat(worker.unreadNow(world.now())).isEqualTo(1_000.0);
    world.run(10);
    assertThat(worker.unreadNow(world.now()))
        .isWithin(0.001)
        .of(1_000 - 10 * Constants.PACE_GUESS_TOKENS_PER_MS);
    world.run(20);
    assertThat(worker.unreadNow(world.now())).isEqualTo(0.0);
    assertThat(worker.runningNow(world.now())).isGreaterThan(1.5);
    world.book.fellowTold("other", new WorkerLoads(List.of(new OwnLoad("w1", 1, 200))));
    assertThat(worker.unreadNow(world.now())).isEqualTo(200.0);
  }

  @Test
  void learnsHowFastAWorkerReads() {
    World world = world(route(RouteType.STREAM, 1, false));
    double guessed = world.book.get("w1").readTokensPerMs();
    for (int index = 0; index < 60; index++) {
      world.pass(request("r" + index, "a" + index, "b" + index));
      world.run(50);
      world.last().worker.head(GOOD);
      world.last().worker.piece(event(1));
      world.last().worker.end();
    }
    world.book.all().forEach(worker -> assertThat(worker.readTokensPerMs()).isWithin(2.0).of(16.0));
    assertThat(guessed).isGreaterThan(18.0);
  }

  @Test
  void keptPartsDoNotOutweighAPauseThatStreamsCanNotBear() {
    World world = world(route(RouteType.STREAM, 1, false));
    world.pass(request("1", "a", "b", "c"));
    String keeper = world.last().call.workerId();
    world.last().worker.head(GOOD);
    world.last().worker.piece(event(1));
    world.last().worker.end();
    world.pass(request("2", "a", "b", "d"));
    assertThat(world.last().call.workerId()).isEqualTo(keeper);
    world.book.fellowTold("other", new WorkerLoads(List.of(new OwnLoad(keeper, 1, 5_000))));
    world.pass(request("3", "a", "b", "e"));
    assertThat(world.last().call.workerId()).isNotEqualTo(keeper);
  }

  @Test
  void tellsItsFellowsOfTheZoneOnceForAllThatBeganMeanwhile() {
    World world = world(route(RouteType.STREAM, 1, false));
    List<Member> fellows =
        List.of(
            new Member("e2", 1, "e2", "near", "edge", "10.0.0.2:1", "", true),
            new Member("e3", 1, "e3", "near", "edge", "10.0.0.3:1", "", true));
    List<String> told = new ArrayList<>();
    List<OwnLoad> loads = new ArrayList<>();
    world.book.whenBegan(
        new FellowLoads(
                world,
                world.book,
                () -> fellows,
                (address, id, message) -> {
                  told.add(id);
                  loads.addAll(((WorkerLoads) message).loads());
                })
            ::began);
    world.pass(request("1", "a", "b"));
    world.pass(request("2", "c", "d"));
    world.run(2 * Constants.FELLOW_LOADS_MS - 1);
    assertThat(told).isEmpty();
    world.run(1);
    assertThat(told).containsExactly("e2", "e3").inOrder();
    assertThat(loads.stream().mapToInt(OwnLoad::unread).sum()).isEqualTo(2 * 2 * 800);
    world.run(1_000);
    assertThat(told).hasSize(2);
  }

  @Test
  void meetsTheSameWorkerForTheSameSharedPartsFromEveryEdge() {
    Set<String> chosen = new HashSet<>();
    for (int edge = 0; edge < 5; edge++) {
      World world = world(route(RouteType.ONCE, 1, false));
      world.pass(request("r" + edge, "shared", "also", "own" + edge));
      chosen.add(world.last().call.workerId());
    }
    assertThat(chosen).hasSize(1);
  }

  @Test
  void takesAnotherWorkerOnceThatOneIsClearlyMoreLoaded() {
    World world = world(route(RouteType.ONCE, 1, false));
    for (int index = 0; index < 24; index++) {
      world.pass(request("r" + index, "shared", "own" + index));
    }
    world.book.all().forEach(worker -> assertThat(worker.live).isAtLeast(5));
  }

  @Test
  void doesNotLetOneWorkerReadManyPromptsAtOnce() {
    World world = world(route(RouteType.STREAM, 1, false));
    for (int index = 0; index < 3; index++) {
      world.pass(
          request("r" + index, "shared", "a" + index, "b" + index, "c" + index, "d" + index));
    }
    assertThat(world.sent.stream().map(sent -> sent.call.workerId()).distinct().count())
        .isEqualTo(3);
    world.sent.forEach(sent -> sent.worker.head(GOOD));
    world.book.all().forEach(worker -> assertThat(worker.reading).isEqualTo(0.0));
  }

  @Test
  void prefersItsOwnZoneUntilThatIsMoreLoaded() {
    World world =
        new World()
            .worker("w1", POOL, "far", 8)
            .worker("w2", POOL, "near", 8)
            .worker("w3", POOL, "far", 8)
            .routes(route(RouteType.ONCE, 1, false));
    world.pass(request("1"));
    assertThat(world.last().call.workerId()).isEqualTo("w2");
    for (int index = 0; index < 9; index++) {
      world.pass(request("r" + index));
    }
    assertThat(world.book.get("w1").live).isAtLeast(2);
  }

  @Test
  void avoidsAWorkerThatToldOfALoadUntilThatIsOld() {
    World world =
        new World()
            .worker("w1", POOL, "near", 8)
            .worker("w2", POOL, "near", 8)
            .routes(route(RouteType.ONCE, 1, false));
    world.pass(request("1"));
    Sent first = world.last();
    first.worker.load(new WorkerLoad(8, 2, 8, false));
    for (int index = 0; index < 6; index++) {
      world.pass(request("r" + index));
      assertThat(world.last().call.workerId()).isNotEqualTo(first.call.workerId());
    }
    world
        .sent
        .subList(1, world.sent.size())
        .forEach(
            sent -> {
              sent.worker.head(GOOD);
              sent.worker.end();
            });
    world.run(10_000);
    first.worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(world.book.get(first.call.workerId()).othersNow(world.now())).isLessThan(0.1);
  }

  @Test
  void givesAWorkerJustListedFewRequestsAtFirst() {
    World world = new World().worker("w1", POOL, "near", 8).routes(route(RouteType.ONCE, 1, false));
    world.run(10_000);
    world.worker("w2", POOL, "near", 8);
    for (int index = 0; index < 9; index++) {
      world.pass(request("r" + index));
    }
    assertThat(world.book.get("w2").live).isAtMost(3);
    world.run(Constants.RAMP_MS);
    assertThat(world.book.ramp(world.book.get("w2"))).isEqualTo(1.0);
  }

  @Test
  void avoidsAWorkerAfterAFaultAndTriesItWithOneAtATimeLater() {
    World world = world(route(RouteType.REPEATABLE, 3, false));
    world.pass(request("1"));
    String faulty = world.last().call.workerId();
    world.last().worker.fault(new Fault.WorkerCut(faulty), true);
    for (int index = 0; index < 10; index++) {
      world.pass(request("r" + index));
      assertThat(world.last().call.workerId()).isNotEqualTo(faulty);
    }
    world.sent.forEach(
        sent -> {
          sent.worker.head(GOOD);
          sent.worker.end();
        });
    world.run(Constants.WORKER_REST_MS + Constants.RAMP_MS);
    for (int index = 0; index < 6; index++) {
      world.pass(request("s" + index));
    }
    assertThat(world.book.get(faulty).live).isAtMost(1);
  }

  // ---- refusals

  @Test
  void refusesOnlyWhenTheWaitIsLongerThanTheClientHas() {
    World world = new World().worker("w1", POOL, "near", 1).routes(route(RouteType.ONCE, 1, false));
    Client last = null;
    int taken = 0;
    for (int index = 0; index < 20 && (last == null || last.refusal == null); index++) {
      last = world.pass(request("r" + index, "a.example", "/a/x", 1_000));
      taken = world.sent.size();
    }
    assertThat(taken).isAtLeast(2);
    assertThat(last.refusal.status()).isEqualTo(503);
    assertThat(last.refusal.comeBackMs()).isAtLeast(Constants.COME_BACK_LEAST_MS);
    assertThat(last.refusal.comeBackMs()).isAtMost(Constants.COME_BACK_LONGEST_MS);
  }

  @Test
  void isolationEndsARequestBeforeItsNextSend() {
    World world = world(route(RouteType.REPEATABLE, 3, false));
    Client client = world.pass(request("1"));
    world.mayGoOn = new Fault.NodeIsolated(9_000);
    world.last().worker.fault(new Fault.WorkerRefused(503), false);
    assertThat(client.heard).containsExactly("refused 503");
    assertThat(world.sent).hasSize(1);
  }

  // ---- attempts

  @Test
  void goesOnAfterAWorkersWordForEveryTypeUpToTheAttempts() {
    World world = world(route(RouteType.ONCE, 2, false));
    Client client = world.pass(request("1"));
    world.last().worker.fault(new Fault.WorkerRefused(503), false);
    assertThat(world.sent).hasSize(2);
    assertThat(world.sent.get(1).call.workerId()).isNotEqualTo(world.sent.get(0).call.workerId());
    world.last().worker.fault(new Fault.WorkerRefused(421), false);
    assertThat(world.sent).hasSize(2);
    assertThat(client.refusal.status()).isEqualTo(503);
    assertThat(client.refusal.comeBackMs()).isGreaterThan(0);
  }

  @Test
  void attemptsOfZeroCountAsOne() {
    World world = world(route(RouteType.REPEATABLE, 0, false));
    Client client = world.pass(request("1"));
    world.last().worker.fault(new Fault.WorkerRefused(503), false);
    assertThat(world.sent).hasSize(1);
    assertThat(client.heard).containsExactly("refused 503");
  }

  @Test
  void doesNotCountAConnectionThatWasNeverMade() {
    World world = world(route(RouteType.ONCE, 1, false));
    Client client = world.pass(request("1"));
    world.last().worker.fault(new Fault.WorkerUnreachable("w"), false);
    world.last().worker.fault(new Fault.WorkerUnreachable("w"), false);
    assertThat(world.sent).hasSize(3);
    world.last().worker.fault(new Fault.WorkerUnreachable("w"), false);
    assertThat(client.heard).containsExactly("refused 503");
  }

  @Test
  void neverSendsAOnceRequestAgainWhenItMayHaveRun() {
    World world = world(route(RouteType.ONCE, 3, false));
    Client client = world.pass(request("1"));
    world.last().worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(world.sent).hasSize(1);
    assertThat(client.heard).containsExactly("refused 502");
  }

  @Test
  void neverSendsAStreamAgainThatMayNotBeResumed() {
    World world = world(route(RouteType.STREAM, 3, false));
    Client client = world.pass(request("1"));
    world.last().worker.head(GOOD);
    world.last().worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(world.sent).hasSize(1);
    assertThat(client.heard).containsExactly("refused 502");
  }

  @Test
  void promisesNothingOnceSomethingMayHaveRun() {
    World world = world(route(RouteType.REPEATABLE, 2, false));
    Client client = world.pass(request("1"));
    world.last().worker.fault(new Fault.WorkerCut("w"), true);
    world.last().worker.fault(new Fault.WorkerRefused(503), false);
    assertThat(client.heard).containsExactly("refused 504");
  }

  @Test
  void runsARepeatableRequestElsewhereBeforeAnythingWasPassedOn() {
    World world = world(route(RouteType.REPEATABLE, 3, false));
    Client client = world.pass(request("1"));
    world.last().worker.head(GOOD);
    world.last().worker.fault(new Fault.WorkerCut("w"), true);
    world.last().worker.head(GOOD);
    world.last().worker.piece(new Piece("", "whole".getBytes(UTF_8)));
    world.last().worker.end();
    assertThat(client.heard).containsExactly("head 200", "whole", "end").inOrder();
  }

  @Test
  void cutsAPlainBodyOnceSomeOfItWasPassedOn() {
    World world = world(route(RouteType.REPEATABLE, 3, false));
    Client client = world.pass(request("1"));
    world.last().worker.head(GOOD);
    world.last().worker.piece(new Piece("", "half".getBytes(UTF_8)));
    world.last().worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(client.heard).containsExactly("head 200", "half", "cut").inOrder();
    assertThat(world.sent).hasSize(1);
  }

  @Test
  void takesAWorkersOwnFailureElsewhereOnlyWhereItMayRunAgain() {
    World repeatable = world(route(RouteType.REPEATABLE, 2, false));
    Client first = repeatable.pass(request("1"));
    repeatable.last().worker.head(new Head(500, List.of()));
    repeatable.last().worker.piece(new Piece("", "sorry".getBytes(UTF_8)));
    repeatable.last().worker.end();
    repeatable.last().worker.head(GOOD);
    repeatable.last().worker.end();
    assertThat(first.heard).containsExactly("head 200", "end").inOrder();

    World once = world(route(RouteType.ONCE, 2, false));
    Client second = once.pass(request("1"));
    once.last().worker.head(new Head(500, List.of()));
    once.last().worker.piece(new Piece("", "sorry".getBytes(UTF_8)));
    once.last().worker.end();
    assertThat(second.heard).containsExactly("head 500", "sorry", "end").inOrder();
    assertThat(once.sent).hasSize(1);
  }

  @Test
  void passesNoPromiseOnThatAWorkerDidNotMark() {
    for (int status : new int[] {408, 421, 429, 503}) {
      World once = world(route(RouteType.ONCE, 2, false));
      Client first = once.pass(request("1"));
      once.last().worker.head(new Head(status, List.of()));
      once.last().worker.piece(new Piece("", "it may have run".getBytes(UTF_8)));
      once.last().worker.end();
      assertThat(first.heard).containsExactly("refused 502");
      assertThat(once.sent).hasSize(1);

      World repeatable = world(route(RouteType.REPEATABLE, 2, false));
      Client second = repeatable.pass(request("1"));
      repeatable.last().worker.head(new Head(status, List.of()));
      repeatable.last().worker.end();
      repeatable.last().worker.head(new Head(status, List.of()));
      repeatable.last().worker.end();
      assertThat(repeatable.sent).hasSize(2);
      assertThat(second.heard).containsExactly("refused 502");
    }
  }

  @Test
  void sendsNoRequestThatCanNotBeWrittenToAnyOtherWorker() {
    World world = world(route(RouteType.REPEATABLE, 3, false));
    Client client = world.pass(request("1"));
    world.last().worker.fault(new Fault.InvalidInput(List.of()), false);
    assertThat(world.sent).hasSize(1);
    assertThat(client.heard).containsExactly("refused 400");
    assertThat(world.book.all().stream().noneMatch(worker -> worker.faultsInRow > 0)).isTrue();
  }

  /** Those that a try reached in vain, as no connection was made, do not count. */
  @Test
  void oneTryReachesAtMostAsManyWorkersAsTheRouteAllows() {
    for (RouteType type : List.of(RouteType.ONCE, RouteType.REPEATABLE, RouteType.STREAM)) {
      World world = new World().routes(route(type, 2, true));
      for (int index = 0; index < 8; index++) {
        world.worker("w" + index, POOL, "near", 8);
      }
      Client client = world.pass(request("1"));
      world.last().worker.fault(new Fault.WorkerUnreachable("w"), false);
      world.last().worker.fault(new Fault.WorkerRefused(503), false);
      world.last().worker.fault(new Fault.WorkerUnreachable("w"), false);
      world.last().worker.fault(new Fault.WorkerRefused(429), false);
      assertThat(client.heard).containsExactly("refused 503");
      assertThat(world.sent).hasSize(4);
      assertThat(world.sent.stream().map(sent -> sent.call.workerId()).distinct().count())
          .isEqualTo(4);
    }
  }

  @Test
  void passesAWorkersLastFailureOnUnchanged() {
    World world = world(route(RouteType.REPEATABLE, 1, false));
    Client client = world.pass(request("1"));
    world.last().worker.head(new Head(504, List.of()));
    world.last().worker.end();
    assertThat(client.heard).containsExactly("head 504", "end").inOrder();
  }

  // ---- streams

  @Test
  void holdsAStreamsHeadUntilItsFirstEvent() {
    World world = world(route(RouteType.STREAM, 1, true));
    Client client = world.pass(request("1"));
    world.last().worker.head(GOOD);
    assertThat(client.heard).isEmpty();
    world.last().worker.piece(event(1));
    world.last().worker.end();
    assertThat(client.heard).containsExactly("head 200", "e1", "end").inOrder();
  }

  @Test
  void resumesACutStreamBehindTheLastEventUnderTheFirstHead() {
    World world = world(route(RouteType.STREAM, 3, true));
    Client client = world.pass(request("1"));
    world.last().worker.head(GOOD);
    world.last().worker.piece(event(1));
    world.last().worker.piece(event(2));
    world.last().worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(world.last().call.resumeAfter()).isEqualTo("2");
    world.last().worker.head(new Head(200, List.of(new OpaqueRequest.Header("X", "second"))));
    world.last().worker.piece(event(2));
    world.last().worker.piece(event(3));
    world.last().worker.end();
    assertThat(client.heard).containsExactly("head 200", "e1", "e2", "e3", "end").inOrder();
  }

  @Test
  void takesTheNextWorkerIfAResumedRunFails() {
    World world = world(route(RouteType.STREAM, 3, true));
    Client client = world.pass(request("1"));
    world.last().worker.head(GOOD);
    world.last().worker.piece(event(1));
    world.last().worker.fault(new Fault.WorkerCut("w"), true);
    world.last().worker.head(new Head(404, List.of()));
    world.last().worker.piece(new Piece("", "no such".getBytes(UTF_8)));
    world.last().worker.end();
    assertThat(world.sent).hasSize(3);
    world.last().worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(client.heard).containsExactly("head 200", "e1", "cut").inOrder();
  }

  @Test
  void doesNotResumeBehindAnEventWithoutAnId() {
    World world = world(route(RouteType.STREAM, 3, true));
    Client client = world.pass(request("1"));
    world.last().worker.head(GOOD);
    world.last().worker.piece(new Piece("", "e?".getBytes(UTF_8)));
    world.last().worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(client.heard).containsExactly("head 200", "e?", "cut").inOrder();
    assertThat(world.sent).hasSize(1);
  }

  // ---- silence, expiry, end

  @Test
  void givesARepeatableRequestAtASilentWorkerToAnother() {
    World world = world(route(RouteType.REPEATABLE, 2, false));
    Client client = world.pass(request("1"));
    Sent silent = world.last();
    world.run(1_500);
    assertThat(silent.cancelled).isTrue();
    assertThat(world.sent).hasSize(2);
    silent.worker.head(GOOD);
    silent.worker.end();
    assertThat(client.heard).isEmpty();
    world.pass(request("2"));
    assertThat(world.last().call.workerId()).isNotEqualTo(silent.call.workerId());
  }

  @Test
  void leavesAOnceRequestWithItsSilentWorkerAndKeepsNewOnesAway() {
    World world = world(route(RouteType.ONCE, 2, false));
    Client client = world.pass(request("1"));
    Sent silent = world.last();
    world.run(1_500);
    assertThat(silent.cancelled).isFalse();
    for (int index = 0; index < 10; index++) {
      world.pass(request("r" + index));
      assertThat(world.last().call.workerId()).isNotEqualTo(silent.call.workerId());
    }
    silent.worker.head(GOOD);
    silent.worker.end();
    assertThat(client.heard).containsExactly("head 200", "end").inOrder();
    assertThat(world.book.get(silent.call.workerId()).suspect).isFalse();
  }

  @Test
  void doesNotSuspectAWorkerThatAnswersOthers() {
    World world = new World().worker("w1", POOL, "near", 8).routes(route(RouteType.ONCE, 1, false));
    world.pass(request("1"));
    Client other = world.pass(request("2"));
    Sent speaking = world.last();
    speaking.worker.head(GOOD);
    for (int index = 0; index < 15; index++) {
      world.run(100);
      speaking.worker.piece(new Piece("", new byte[] {'.'}));
    }
    assertThat(world.book.get("w1").suspect).isFalse();
    assertThat(other.cut).isNull();
  }

  @Test
  void doesNotSuspectMostOfAPool() {
    World world = world(route(RouteType.REPEATABLE, 1, false));
    for (int index = 0; index < 3; index++) {
      world.pass(request("r" + index));
    }
    world.run(1_900);
    assertThat(world.book.all().stream().filter(worker -> worker.suspect).count()).isAtMost(1L);
  }

  @Test
  void doesNotTakeItsOwnFreezeForSilence() {
    World world = world(route(RouteType.REPEATABLE, 2, false));
    world.pass(request("1"));
    world.run(150);
    world.freeze(1_400);
    world.run(200);
    assertThat(world.sent).hasSize(1);
  }

  @Test
  void resumesAStreamWhoseWorkerFallsSilentBetweenEvents() {
    World world = world(route(RouteType.STREAM, 2, true));
    Client client = world.pass(request("1"));
    world.last().worker.head(GOOD);
    world.last().worker.piece(event(1));
    world.run(700);
    assertThat(world.sent).hasSize(2);
    assertThat(world.sent.get(0).cancelled).isTrue();
    assertThat(world.last().call.resumeAfter()).isEqualTo("1");
    assertThat(client.heard).containsExactly("head 200", "e1").inOrder();
  }

  @Test
  void endsAtTheClientsExpiryWithoutAPromise() {
    World world = world(route(RouteType.ONCE, 1, false));
    Client client = world.pass(request("1", "a.example", "/a/x", 900));
    world.run(1_100);
    assertThat(client.heard).containsExactly("refused 504");
    assertThat(world.last().cancelled).isTrue();
    assertThat(world.desk.openRequests()).isEqualTo(0);
  }

  @Test
  void endsAtTheRoutesTimeoutAndNotSomeTimeLater() {
    for (int late = 0; late < 100; late += 7) {
      World world = world(route(RouteType.ONCE, 1, false));
      world.run(late);
      world.pass(request("0", "a.example", "/a/x", 60_000));
      world.run(late);
      Client client = world.pass(request("1", "a.example", "/a/x", 60_000));
      world.run(3_999);
      assertThat(client.heard).isEmpty();
      world.run(1 + Constants.EXPIRY_LOOK_LEAST_MS);
      assertThat(client.heard).containsExactly("refused 504");
    }
  }

  @Test
  void theRoutesTimeoutCountsWhatTheRequestWaitedBefore() {
    World world = world(route(RouteType.ONCE, 1, false));
    Client client = new Client();
    world.desk.take(request("1", "a.example", "/a/x", 60_000), client, world.now() - 500);
    world.run(3_500 + Constants.EXPIRY_LOOK_LEAST_MS);
    assertThat(client.heard).containsExactly("refused 504");
  }

  @Test
  void endsAtTheRoutesTimeoutWithACut() {
    World world = world(route(RouteType.STREAM, 1, false));
    Client client = world.pass(request("1", "a.example", "/a/x", 60_000));
    world.last().worker.head(GOOD);
    world.last().worker.piece(event(1));
    world.run(4_200);
    assertThat(client.heard).containsExactly("head 200", "e1", "cut").inOrder();
  }

  @Test
  void cancelsTheRunOfAClientThatHasGone() {
    World world = world(route(RouteType.STREAM, 1, true));
    Client client = world.pass(request("1"));
    world.last().worker.head(GOOD);
    client.handle.cancel();
    assertThat(world.last().cancelled).isTrue();
    world.last().worker.piece(event(1));
    assertThat(client.heard).isEmpty();
    assertThat(world.book.get(world.last().call.workerId()).live).isEqualTo(0);
  }
}
