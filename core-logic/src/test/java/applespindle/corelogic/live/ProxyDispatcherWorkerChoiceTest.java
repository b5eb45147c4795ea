package applespindle.corelogic.live;

import static applespindle.corelogic.live.ProxyDispatcherFixture.GOOD;
import static applespindle.corelogic.live.ProxyDispatcherFixture.POOL;
import static applespindle.corelogic.live.ProxyDispatcherFixture.event;
import static applespindle.corelogic.live.ProxyDispatcherFixture.fixture;
import static applespindle.corelogic.live.ProxyDispatcherFixture.request;
import static applespindle.corelogic.live.ProxyDispatcherFixture.route;
import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.FakeEnvironment.Sent;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Message.PeerLoadReport;
import applespindle.corelogic.protocol.Message.PeerLoadReport.OwnLoad;
import applespindle.corelogic.worker.PeerLoadReporter;
import applespindle.corelogic.worker.WorkerState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which worker a proxied request is sent to, and what edges report to each other for it. */
final class ProxyDispatcherWorkerChoiceTest {
  @Test
  void sendsWorkerIdRankAndRemainingTime() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    fixture.submit(request("1"));
    WorkerExchange call = fixture.last().call;
    assertThat(call.workerId()).isEqualTo(fixture.workers.get(call.workerId()).id());
    assertThat(call.address()).isEqualTo(fixture.workers.get(call.workerId()).address());
    assertThat(call.rank()).isEqualTo(3);
    assertThat(call.expiryMs()).isEqualTo(2_000);
  }

  @Test
  void neverSendsToADrainingWorker() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    fixture.setState("w1", WorkerRegistration.LEAVING);
    fixture.setState("w2", WorkerRegistration.LEAVING);
    fixture.submit(request("1"));
    assertThat(fixture.last().call.workerId()).isEqualTo("w3");
    fixture.setState("w3", WorkerRegistration.LEAVING);
    assertThat(fixture.submit(request("2")).events).containsExactly("rejected 503");
  }

  @Test
  void spreadsRequestsOverIdleWorkers() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    for (int index = 0; index < 12; index++) {
      fixture.submit(request("r" + index));
    }
    fixture.registry.all().forEach(worker -> assertThat(worker.liveCalls()).isEqualTo(4));
  }

  @Test
  void avoidsAWorkerWithPendingPrefillOfAnotherEdge() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    for (String busy : List.of("w1", "w3")) {
      fixture.registry.recordPeerLoad(
          "other", new PeerLoadReport(List.of(new OwnLoad(busy, 1, 1_500))));
    }
    fixture.submit(request("1", "a", "b"));
    assertThat(fixture.last().call.workerId()).isEqualTo("w2");
  }

  @Test
  void pendingPrefillReportedByAPeerDecreasesAtThePrefillRate() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    fixture.registry.recordPeerLoad(
        "other",
        new PeerLoadReport(List.of(new OwnLoad("w1", 2, 1_000), new OwnLoad("gone", 1, 1))));
    WorkerState worker = fixture.registry.get("w1");
    assertThat(worker.pendingPrefillTokensAt(fixture.nowMs())).isEqualTo(1_000.0);
    fixture.run(10);
    assertThat(worker.pendingPrefillTokensAt(fixture.nowMs()))
        .isWithin(0.001)
        .of(1_000 - 10 * WorkerConstants.INITIAL_PREFILL_TOKENS_PER_MS);
    fixture.run(20);
    assertThat(worker.pendingPrefillTokensAt(fixture.nowMs())).isEqualTo(0.0);
    assertThat(worker.runningCallsNow(fixture.nowMs())).isGreaterThan(1.5);
    fixture.registry.recordPeerLoad(
        "other", new PeerLoadReport(List.of(new OwnLoad("w1", 1, 200))));
    assertThat(worker.pendingPrefillTokensAt(fixture.nowMs())).isEqualTo(200.0);
  }

  @Test
  void measuresThePrefillRateOfAWorker() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    double initialRate = fixture.registry.get("w1").prefillTokensPerMs();
    for (int index = 0; index < 60; index++) {
      fixture.submit(request("r" + index, "a" + index, "b" + index));
      fixture.run(50);
      fixture.last().worker.head(GOOD);
      fixture.last().worker.chunk(event(1));
      fixture.last().worker.end();
    }
    fixture
        .registry
        .all()
        .forEach(worker -> assertThat(worker.prefillTokensPerMs()).isWithin(2.0).of(16.0));
    assertThat(initialRate).isGreaterThan(18.0);
  }

  @Test
  void cachedPartsDoNotOutweighATooLongStreamPause() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    fixture.submit(request("1", "a", "b", "c"));
    String cacheWorker = fixture.last().call.workerId();
    fixture.last().worker.head(GOOD);
    fixture.last().worker.chunk(event(1));
    fixture.last().worker.end();
    fixture.submit(request("2", "a", "b", "d"));
    assertThat(fixture.last().call.workerId()).isEqualTo(cacheWorker);
    fixture.registry.recordPeerLoad(
        "other", new PeerLoadReport(List.of(new OwnLoad(cacheWorker, 1, 5_000))));
    fixture.submit(request("3", "a", "b", "e"));
    assertThat(fixture.last().call.workerId()).isNotEqualTo(cacheWorker);
  }

  @Test
  void reportsAllCallsStartedWithinTheDelayToZonePeersOnce() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    List<NodeRegistration> peers =
        List.of(
            new NodeRegistration("e2", 1, "e2", "near", "edge", "10.0.0.2:1", "", true),
            new NodeRegistration("e3", 1, "e3", "near", "edge", "10.0.0.3:1", "", true));
    List<String> receivers = new ArrayList<>();
    List<OwnLoad> loads = new ArrayList<>();
    fixture.registry.onCallStart(
        new PeerLoadReporter(
                fixture,
                fixture.registry,
                () -> peers,
                (address, id, message) -> {
                  receivers.add(id);
                  loads.addAll(((PeerLoadReport) message).loads());
                })
            ::reportCallStart);
    fixture.submit(request("1", "a", "b"));
    fixture.submit(request("2", "c", "d"));
    fixture.run(2 * WorkerConstants.PEER_LOAD_REPORT_DELAY_MS - 1);
    assertThat(receivers).isEmpty();
    fixture.run(1);
    assertThat(receivers).containsExactly("e2", "e3").inOrder();
    assertThat(loads.stream().mapToInt(OwnLoad::unreadPromptTokens).sum()).isEqualTo(2 * 2 * 800);
    fixture.run(1_000);
    assertThat(receivers).hasSize(2);
  }

  @Test
  void allEdgesChooseTheSameWorkerForTheSameSharedParts() {
    Set<String> chosen = new HashSet<>();
    for (int edge = 0; edge < 5; edge++) {
      ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
      fixture.submit(request("r" + edge, "shared", "also", "own" + edge));
      chosen.add(fixture.last().call.workerId());
    }
    assertThat(chosen).hasSize(1);
  }

  @Test
  void choosesAnotherWorkerOnceThePreferredOneIsClearlyMoreLoaded() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    for (int index = 0; index < 24; index++) {
      fixture.submit(request("r" + index, "shared", "own" + index));
    }
    fixture.registry.all().forEach(worker -> assertThat(worker.liveCalls()).isAtLeast(5));
  }

  @Test
  void spreadsTheConcurrentPrefillOfManyPrompts() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    for (int index = 0; index < 3; index++) {
      fixture.submit(
          request("r" + index, "shared", "a" + index, "b" + index, "c" + index, "d" + index));
    }
    assertThat(fixture.sent.stream().map(sent -> sent.call.workerId()).distinct().count())
        .isEqualTo(3);
    fixture.sent.forEach(sent -> sent.worker.head(GOOD));
    fixture
        .registry
        .all()
        .forEach(worker -> assertThat(worker.pendingPrefillTokens).isEqualTo(0.0));
  }

  @Test
  void prefersItsOwnZoneUntilItIsMoreLoaded() {
    ProxyDispatcherFixture fixture =
        new ProxyDispatcherFixture()
            .worker("w1", POOL, "far", 8)
            .worker("w2", POOL, "near", 8)
            .worker("w3", POOL, "far", 8)
            .routes(route(RouteType.ONCE, 1, false));
    fixture.submit(request("1"));
    assertThat(fixture.last().call.workerId()).isEqualTo("w2");
    for (int index = 0; index < 9; index++) {
      fixture.submit(request("r" + index));
    }
    assertThat(fixture.registry.get("w1").liveCalls()).isAtLeast(2);
  }

  /** Edges of other zones report nothing, so that a missing report does not mean an idle worker. */
  @Test
  void assumesWorkersOfOtherZonesToBeAsBusyAsItsOwn() {
    ProxyDispatcherFixture fixture = nearAndFar();
    List<OwnLoad> loads = List.of(new OwnLoad("w1", 5, 0), new OwnLoad("w2", 5, 0));
    fixture.registry.recordPeerLoad("other", new PeerLoadReport(loads));
    fixture.submit(request("1"));
    assertThat(fixture.workers.get(fixture.last().call.workerId()).zone()).isEqualTo("near");
  }

  @Test
  void choosesAWorkerOfAnotherZoneThatReportedToBeIdle() {
    ProxyDispatcherFixture fixture = nearAndFar();
    fixture.registry.recordLoad(fixture.registry.get("w3"), new WorkerLoad(0, 0, 8, false));
    List<OwnLoad> loads = List.of(new OwnLoad("w1", 5, 0), new OwnLoad("w2", 5, 0));
    fixture.registry.recordPeerLoad("other", new PeerLoadReport(loads));
    fixture.submit(request("1"));
    assertThat(fixture.last().call.workerId()).isEqualTo("w3");
  }

  private static ProxyDispatcherFixture nearAndFar() {
    return new ProxyDispatcherFixture()
        .worker("w1", POOL, "near", 8)
        .worker("w2", POOL, "near", 8)
        .worker("w3", POOL, "far", 8)
        .worker("w4", POOL, "far", 8)
        .routes(route(RouteType.ONCE, 1, false));
  }

  @Test
  void avoidsAWorkerThatReportedLoadUntilTheReportIsOld() {
    ProxyDispatcherFixture fixture =
        new ProxyDispatcherFixture()
            .worker("w1", POOL, "near", 8)
            .worker("w2", POOL, "near", 8)
            .routes(route(RouteType.ONCE, 1, false));
    fixture.submit(request("1"));
    Sent first = fixture.last();
    first.worker.load(new WorkerLoad(8, 2, 8, false));
    for (int index = 0; index < 6; index++) {
      fixture.submit(request("r" + index));
      assertThat(fixture.last().call.workerId()).isNotEqualTo(first.call.workerId());
    }
    fixture
        .sent
        .subList(1, fixture.sent.size())
        .forEach(
            sent -> {
              sent.worker.head(GOOD);
              sent.worker.end();
            });
    fixture.run(10_000);
    first.worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    assertThat(fixture.registry.get(first.call.workerId()).otherCallsNow(fixture.nowMs()))
        .isLessThan(0.1);
  }

  @Test
  void aNewlyListedWorkerStartsSlowly() {
    ProxyDispatcherFixture fixture =
        new ProxyDispatcherFixture()
            .worker("w1", POOL, "near", 8)
            .routes(route(RouteType.ONCE, 1, false));
    fixture.run(10_000);
    fixture.worker("w2", POOL, "near", 8);
    for (int index = 0; index < 9; index++) {
      fixture.submit(request("r" + index));
    }
    assertThat(fixture.registry.get("w2").liveCalls()).isAtMost(3);
    fixture.run(WorkerConstants.SLOW_START_MS);
    assertThat(fixture.registry.slowStartWeight(fixture.registry.get("w2"))).isEqualTo(1.0);
  }

  @Test
  void avoidsAnEjectedWorkerAndThenSendsItOneCallAtATime() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    fixture.submit(request("1"));
    String faulty = fixture.last().call.workerId();
    fixture.last().worker.fail(new ApiError.WorkerStreamTruncated(faulty), true);
    for (int index = 0; index < 10; index++) {
      fixture.submit(request("r" + index));
      assertThat(fixture.last().call.workerId()).isNotEqualTo(faulty);
    }
    fixture.sent.forEach(
        sent -> {
          sent.worker.head(GOOD);
          sent.worker.end();
        });
    fixture.run(WorkerConstants.BASE_EJECTION_MS + WorkerConstants.SLOW_START_MS);
    for (int index = 0; index < 6; index++) {
      fixture.submit(request("s" + index));
    }
    assertThat(fixture.registry.get(faulty).liveCalls()).isAtMost(1);
  }
}
