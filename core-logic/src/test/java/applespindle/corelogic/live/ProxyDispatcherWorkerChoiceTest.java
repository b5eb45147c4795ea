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

/** Which worker a request goes to. */
final class ProxyDispatcherWorkerChoiceTest {
  @Test
  void tellsTheWorkerItsIdRankAndWhatIsLeft() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    fixture.pass(request("1"));
    WorkerExchange call = fixture.last().call;
    assertThat(call.workerId()).isEqualTo(fixture.workers.get(call.workerId()).id());
    assertThat(call.address()).isEqualTo(fixture.workers.get(call.workerId()).address());
    assertThat(call.rank()).isEqualTo(3);
    assertThat(call.expiryMs()).isEqualTo(2_000);
  }

  @Test
  void neverSendsToALeavingWorker() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    fixture.mark("w1", WorkerRegistration.LEAVING);
    fixture.mark("w2", WorkerRegistration.LEAVING);
    fixture.pass(request("1"));
    assertThat(fixture.last().call.workerId()).isEqualTo("w3");
    fixture.mark("w3", WorkerRegistration.LEAVING);
    assertThat(fixture.pass(request("2")).heard).containsExactly("refused 503");
  }

  @Test
  void spreadsRequestsOverIdleWorkers() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    for (int index = 0; index < 12; index++) {
      fixture.pass(request("r" + index));
    }
    fixture.registry.all().forEach(worker -> assertThat(worker.liveCalls()).isEqualTo(4));
  }

  @Test
  void passesOverAWorkerThatReadsWhatAFellowSentThere() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    for (String busy : List.of("w1", "w3")) {
      fixture.registry.recordPeerLoad(
          "other", new PeerLoadReport(List.of(new OwnLoad(busy, 1, 1_500))));
    }
    fixture.pass(request("1", "a", "b"));
    assertThat(fixture.last().call.workerId()).isEqualTo("w2");
  }

  @Test
  void whatAFellowToldFadesAsTheWorkerReads() {
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
  void learnsHowFastAWorkerReads() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    double guessed = fixture.registry.get("w1").prefillTokensPerMs();
    for (int index = 0; index < 60; index++) {
      fixture.pass(request("r" + index, "a" + index, "b" + index));
      fixture.run(50);
      fixture.last().worker.head(GOOD);
      fixture.last().worker.chunk(event(1));
      fixture.last().worker.end();
    }
    fixture
        .registry
        .all()
        .forEach(worker -> assertThat(worker.prefillTokensPerMs()).isWithin(2.0).of(16.0));
    assertThat(guessed).isGreaterThan(18.0);
  }

  @Test
  void keptPartsDoNotOutweighAPauseThatStreamsCanNotBear() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    fixture.pass(request("1", "a", "b", "c"));
    String keeper = fixture.last().call.workerId();
    fixture.last().worker.head(GOOD);
    fixture.last().worker.chunk(event(1));
    fixture.last().worker.end();
    fixture.pass(request("2", "a", "b", "d"));
    assertThat(fixture.last().call.workerId()).isEqualTo(keeper);
    fixture.registry.recordPeerLoad(
        "other", new PeerLoadReport(List.of(new OwnLoad(keeper, 1, 5_000))));
    fixture.pass(request("3", "a", "b", "e"));
    assertThat(fixture.last().call.workerId()).isNotEqualTo(keeper);
  }

  @Test
  void tellsItsFellowsOfTheZoneOnceForAllThatBeganMeanwhile() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    List<NodeRegistration> fellows =
        List.of(
            new NodeRegistration("e2", 1, "e2", "near", "edge", "10.0.0.2:1", "", true),
            new NodeRegistration("e3", 1, "e3", "near", "edge", "10.0.0.3:1", "", true));
    List<String> told = new ArrayList<>();
    List<OwnLoad> loads = new ArrayList<>();
    fixture.registry.onCallStart(
        new PeerLoadReporter(
                fixture,
                fixture.registry,
                () -> fellows,
                (address, id, message) -> {
                  told.add(id);
                  loads.addAll(((PeerLoadReport) message).loads());
                })
            ::reportCallStart);
    fixture.pass(request("1", "a", "b"));
    fixture.pass(request("2", "c", "d"));
    fixture.run(2 * WorkerConstants.PEER_LOAD_REPORT_DELAY_MS - 1);
    assertThat(told).isEmpty();
    fixture.run(1);
    assertThat(told).containsExactly("e2", "e3").inOrder();
    assertThat(loads.stream().mapToInt(OwnLoad::unreadPromptTokens).sum()).isEqualTo(2 * 2 * 800);
    fixture.run(1_000);
    assertThat(told).hasSize(2);
  }

  @Test
  void meetsTheSameWorkerForTheSameSharedPartsFromEveryEdge() {
    Set<String> chosen = new HashSet<>();
    for (int edge = 0; edge < 5; edge++) {
      ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
      fixture.pass(request("r" + edge, "shared", "also", "own" + edge));
      chosen.add(fixture.last().call.workerId());
    }
    assertThat(chosen).hasSize(1);
  }

  @Test
  void takesAnotherWorkerOnceThatOneIsClearlyMoreLoaded() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    for (int index = 0; index < 24; index++) {
      fixture.pass(request("r" + index, "shared", "own" + index));
    }
    fixture.registry.all().forEach(worker -> assertThat(worker.liveCalls()).isAtLeast(5));
  }

  @Test
  void doesNotLetOneWorkerReadManyPromptsAtOnce() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    for (int index = 0; index < 3; index++) {
      fixture.pass(
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
  void prefersItsOwnZoneUntilThatIsMoreLoaded() {
    ProxyDispatcherFixture fixture =
        new ProxyDispatcherFixture()
            .worker("w1", POOL, "far", 8)
            .worker("w2", POOL, "near", 8)
            .worker("w3", POOL, "far", 8)
            .routes(route(RouteType.ONCE, 1, false));
    fixture.pass(request("1"));
    assertThat(fixture.last().call.workerId()).isEqualTo("w2");
    for (int index = 0; index < 9; index++) {
      fixture.pass(request("r" + index));
    }
    assertThat(fixture.registry.get("w1").liveCalls()).isAtLeast(2);
  }

  /** Nobody tells what runs in other zones: silence is no sign of an idle worker. */
  @Test
  void takesWorkersOfOtherZonesForAsBusyAsItsOwn() {
    ProxyDispatcherFixture fixture = nearAndFar();
    List<OwnLoad> loads = List.of(new OwnLoad("w1", 5, 0), new OwnLoad("w2", 5, 0));
    fixture.registry.recordPeerLoad("other", new PeerLoadReport(loads));
    fixture.pass(request("1"));
    assertThat(fixture.workers.get(fixture.last().call.workerId()).zone()).isEqualTo("near");
  }

  @Test
  void takesAWorkerOfAnotherZoneThatToldThatItIsIdle() {
    ProxyDispatcherFixture fixture = nearAndFar();
    fixture.registry.recordLoad(fixture.registry.get("w3"), new WorkerLoad(0, 0, 8, false));
    List<OwnLoad> loads = List.of(new OwnLoad("w1", 5, 0), new OwnLoad("w2", 5, 0));
    fixture.registry.recordPeerLoad("other", new PeerLoadReport(loads));
    fixture.pass(request("1"));
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
  void avoidsAWorkerThatToldOfALoadUntilThatIsOld() {
    ProxyDispatcherFixture fixture =
        new ProxyDispatcherFixture()
            .worker("w1", POOL, "near", 8)
            .worker("w2", POOL, "near", 8)
            .routes(route(RouteType.ONCE, 1, false));
    fixture.pass(request("1"));
    Sent first = fixture.last();
    first.worker.load(new WorkerLoad(8, 2, 8, false));
    for (int index = 0; index < 6; index++) {
      fixture.pass(request("r" + index));
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
  void givesAWorkerJustListedFewRequestsAtFirst() {
    ProxyDispatcherFixture fixture =
        new ProxyDispatcherFixture()
            .worker("w1", POOL, "near", 8)
            .routes(route(RouteType.ONCE, 1, false));
    fixture.run(10_000);
    fixture.worker("w2", POOL, "near", 8);
    for (int index = 0; index < 9; index++) {
      fixture.pass(request("r" + index));
    }
    assertThat(fixture.registry.get("w2").liveCalls()).isAtMost(3);
    fixture.run(WorkerConstants.SLOW_START_MS);
    assertThat(fixture.registry.slowStartWeight(fixture.registry.get("w2"))).isEqualTo(1.0);
  }

  @Test
  void avoidsAWorkerAfterAFaultAndTriesItWithOneAtATimeLater() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    fixture.pass(request("1"));
    String faulty = fixture.last().call.workerId();
    fixture.last().worker.fail(new ApiError.WorkerStreamTruncated(faulty), true);
    for (int index = 0; index < 10; index++) {
      fixture.pass(request("r" + index));
      assertThat(fixture.last().call.workerId()).isNotEqualTo(faulty);
    }
    fixture.sent.forEach(
        sent -> {
          sent.worker.head(GOOD);
          sent.worker.end();
        });
    fixture.run(WorkerConstants.BASE_EJECTION_MS + WorkerConstants.SLOW_START_MS);
    for (int index = 0; index < 6; index++) {
      fixture.pass(request("s" + index));
    }
    assertThat(fixture.registry.get(faulty).liveCalls()).isAtMost(1);
  }
}
