package applespindle.corelogic.live;

import static applespindle.corelogic.live.ProxyDispatcherFixture.GOOD;
import static applespindle.corelogic.live.ProxyDispatcherFixture.POOL;
import static applespindle.corelogic.live.ProxyDispatcherFixture.event;
import static applespindle.corelogic.live.ProxyDispatcherFixture.fixture;
import static applespindle.corelogic.live.ProxyDispatcherFixture.request;
import static applespindle.corelogic.live.ProxyDispatcherFixture.route;
import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RoutingConfiguration.PoolWeight;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.environment.FakeEnvironment.Sent;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.live.ProxyDispatcherFixture.Client;
import applespindle.corelogic.metadata.WorkerRegistration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Routing, rejections, retries, streams, timeouts and cancellation of proxied requests. */
final class ProxyDispatcherTest {
  // ---- routes

  @Test
  void matchesTheLongestPathPrefixAndIgnoresPortAndCaseOfTheHost() {
    Route shorter = onceRoute("short", "/a/", "q");
    Route longer = onceRoute("long", "/a/b/", POOL);
    ProxyDispatcherFixture fixture =
        new ProxyDispatcherFixture()
            .worker("w1", POOL, "near", 8)
            .worker("w2", "q", "near", 8)
            .routes(shorter, longer);
    fixture.submit(request("1", "A.EXAMPLE:8080", "/a/b/c", 1_000));
    fixture.submit(request("2", "a.example", "/a/bc", 1_000));
    assertThat(fixture.sent.stream().map(sent -> sent.call.workerId()).toList())
        .containsExactly("w1", "w2")
        .inOrder();
  }

  private static Route onceRoute(String name, String pathPrefix, String pool) {
    return new Route(
        name,
        "a.example",
        pathPrefix,
        RouteType.ONCE,
        4_000,
        200,
        0,
        1,
        0,
        false,
        false,
        List.of(new PoolWeight(pool, 1)),
        0,
        0,
        0);
  }

  @Test
  void rejectsWith404IfNoRouteMatches() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    assertThat(fixture.submit(request("1", "b.example", "/a/x", 1_000)).events)
        .containsExactly("rejected 404");
    assertThat(fixture.submit(request("2", "a.example", "/b/x", 1_000)).events)
        .containsExactly("rejected 404");
    assertThat(fixture.sent).isEmpty();
  }

  @Test
  void rejectsImmediatelyWithRetryAfterWhileNewWorkIsRejected() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    fixture.newWorkRejection = new ApiError.NodeStopping();
    Client client = fixture.submit(request("1"));
    assertThat(client.rejection.status()).isEqualTo(503);
    assertThat(client.rejection.retryAfterMs()).isGreaterThan(0);
    fixture.newWorkRejection = null;
    fixture.configuration = null;
    assertThat(fixture.submit(request("2")).events).containsExactly("rejected 503");
    assertThat(fixture.sent).isEmpty();
  }

  @Test
  void splitsByWeightAndSkipsAPoolWithoutWorkers() {
    ProxyDispatcherFixture fixture =
        new ProxyDispatcherFixture()
            .worker("w1", POOL, "near", 1_000)
            .worker("w2", "q", "near", 1_000)
            .routes(
                route(RouteType.ONCE, 1, false, new PoolWeight(POOL, 90), new PoolWeight("q", 10)));
    for (int index = 0; index < 400; index++) {
      fixture.submit(request("r" + index));
    }
    long part = fixture.sent.stream().filter(sent -> sent.call.workerId().equals("w2")).count();
    assertThat(part).isAtLeast(15L);
    assertThat(part).isAtMost(80L);
    fixture.setState("w1", WorkerRegistration.LEAVING);
    fixture.sent.clear();
    for (int index = 0; index < 20; index++) {
      fixture.submit(request("s" + index));
    }
    assertThat(fixture.sent.stream().map(sent -> sent.call.workerId()).distinct().toList())
        .containsExactly("w2");
  }

  // ---- rejections

  @Test
  void rejectsOnlyIfTheExpectedWaitExceedsTheDeadline() {
    ProxyDispatcherFixture fixture =
        new ProxyDispatcherFixture()
            .worker("w1", POOL, "near", 1)
            .routes(route(RouteType.ONCE, 1, false));
    Client last = null;
    int taken = 0;
    for (int index = 0; index < 20 && (last == null || last.rejection == null); index++) {
      last = fixture.submit(request("r" + index, "a.example", "/a/x", 1_000));
      taken = fixture.sent.size();
    }
    assertThat(taken).isAtLeast(2);
    assertThat(last.rejection.status()).isEqualTo(503);
    assertThat(last.rejection.retryAfterMs()).isAtLeast(LiveRequestConstants.MIN_RETRY_AFTER_MS);
    assertThat(last.rejection.retryAfterMs()).isAtMost(LiveRequestConstants.MAX_RETRY_AFTER_MS);
  }

  @Test
  void isolationClosesACallBeforeItsNextAttempt() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    Client client = fixture.submit(request("1"));
    fixture.admittedWorkRejection = new ApiError.NodeIsolated(9_000);
    fixture.last().worker.fail(new ApiError.WorkerRejected(503), false);
    assertThat(client.events).containsExactly("rejected 503");
    assertThat(fixture.sent).hasSize(1);
  }

  // ---- attempts

  @Test
  void retriesWorkerRejectionsForAnyRouteTypeUpToTheAttemptLimit() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 2, false));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.fail(new ApiError.WorkerRejected(503), false);
    assertThat(fixture.sent).hasSize(2);
    assertThat(fixture.sent.get(1).call.workerId())
        .isNotEqualTo(fixture.sent.get(0).call.workerId());
    fixture.last().worker.fail(new ApiError.WorkerRejected(421), false);
    assertThat(fixture.sent).hasSize(2);
    assertThat(client.rejection.status()).isEqualTo(503);
    assertThat(client.rejection.retryAfterMs()).isGreaterThan(0);
  }

  @Test
  void anAttemptLimitOfZeroCountsAsOne() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 0, false));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.fail(new ApiError.WorkerRejected(503), false);
    assertThat(fixture.sent).hasSize(1);
    assertThat(client.events).containsExactly("rejected 503");
  }

  @Test
  void failedConnectionsDoNotCountAsAttempts() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.fail(new ApiError.WorkerUnreachable("w"), false);
    fixture.last().worker.fail(new ApiError.WorkerUnreachable("w"), false);
    assertThat(fixture.sent).hasSize(3);
    fixture.last().worker.fail(new ApiError.WorkerUnreachable("w"), false);
    assertThat(client.events).containsExactly("rejected 503");
  }

  @Test
  void neverRetriesAOnceRequestThatMayHaveRun() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 3, false));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    assertThat(fixture.sent).hasSize(1);
    assertThat(client.events).containsExactly("rejected 502");
  }

  @Test
  void neverRetriesAStreamThatIsNotResumable() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 3, false));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    assertThat(fixture.sent).hasSize(1);
    assertThat(client.events).containsExactly("rejected 502");
  }

  @Test
  void sendsNoNeverRanStatusOnceAnAttemptMayHaveRun() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 2, false));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    fixture.last().worker.fail(new ApiError.WorkerRejected(503), false);
    assertThat(client.events).containsExactly("rejected 504");
  }

  @Test
  void retriesARepeatableRequestBeforeItsHeadWasForwarded() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    fixture.last().worker.head(GOOD);
    fixture.last().worker.chunk(new ResponseChunk("", "complete".getBytes(UTF_8)));
    fixture.last().worker.end();
    assertThat(client.events).containsExactly("head 200", "complete", "end").inOrder();
  }

  @Test
  void truncatesAPlainBodyOfWhichAChunkWasForwarded() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.chunk(new ResponseChunk("", "part".getBytes(UTF_8)));
    fixture.last().worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    assertThat(client.events).containsExactly("head 200", "part", "truncated").inOrder();
    assertThat(fixture.sent).hasSize(1);
  }

  @Test
  void retriesAnErrorResponseOnlyOnRepeatableRoutes() {
    ProxyDispatcherFixture repeatable = fixture(route(RouteType.REPEATABLE, 2, false));
    Client first = repeatable.submit(request("1"));
    repeatable.last().worker.head(new ResponseHead(500, List.of()));
    repeatable.last().worker.chunk(new ResponseChunk("", "sorry".getBytes(UTF_8)));
    repeatable.last().worker.end();
    repeatable.last().worker.head(GOOD);
    repeatable.last().worker.end();
    assertThat(first.events).containsExactly("head 200", "end").inOrder();

    ProxyDispatcherFixture once = fixture(route(RouteType.ONCE, 2, false));
    Client second = once.submit(request("1"));
    once.last().worker.head(new ResponseHead(500, List.of()));
    once.last().worker.chunk(new ResponseChunk("", "sorry".getBytes(UTF_8)));
    once.last().worker.end();
    assertThat(second.events).containsExactly("head 500", "sorry", "end").inOrder();
    assertThat(once.sent).hasSize(1);
  }

  @Test
  void forwardsNoNeverRanStatusThatTheWorkerDidNotMark() {
    for (int status : new int[] {408, 421, 429, 503}) {
      ProxyDispatcherFixture once = fixture(route(RouteType.ONCE, 2, false));
      Client first = once.submit(request("1"));
      once.last().worker.head(new ResponseHead(status, List.of()));
      once.last().worker.chunk(new ResponseChunk("", "it may have run".getBytes(UTF_8)));
      once.last().worker.end();
      assertThat(first.events).containsExactly("rejected 502");
      assertThat(once.sent).hasSize(1);

      ProxyDispatcherFixture repeatable = fixture(route(RouteType.REPEATABLE, 2, false));
      Client second = repeatable.submit(request("1"));
      repeatable.last().worker.head(new ResponseHead(status, List.of()));
      repeatable.last().worker.end();
      repeatable.last().worker.head(new ResponseHead(status, List.of()));
      repeatable.last().worker.end();
      assertThat(repeatable.sent).hasSize(2);
      assertThat(second.events).containsExactly("rejected 502");
    }
  }

  @Test
  void doesNotRetryARequestThatCannotBeEncoded() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.fail(new ApiError.InvalidInput(List.of()), false);
    assertThat(fixture.sent).hasSize(1);
    assertThat(client.events).containsExactly("rejected 400");
    assertThat(
            fixture.registry.all().stream().noneMatch(worker -> worker.consecutiveFailures() > 0))
        .isTrue();
  }

  /** Workers to which no connection was made do not count. */
  @Test
  void attemptsAtMostAsManyWorkersAsTheRouteAllows() {
    for (RouteType type : List.of(RouteType.ONCE, RouteType.REPEATABLE, RouteType.STREAM)) {
      ProxyDispatcherFixture fixture = new ProxyDispatcherFixture().routes(route(type, 2, true));
      for (int index = 0; index < 8; index++) {
        fixture.worker("w" + index, POOL, "near", 8);
      }
      Client client = fixture.submit(request("1"));
      fixture.last().worker.fail(new ApiError.WorkerUnreachable("w"), false);
      fixture.last().worker.fail(new ApiError.WorkerRejected(503), false);
      fixture.last().worker.fail(new ApiError.WorkerUnreachable("w"), false);
      fixture.last().worker.fail(new ApiError.WorkerRejected(429), false);
      assertThat(client.events).containsExactly("rejected 503");
      assertThat(fixture.sent).hasSize(4);
      assertThat(fixture.sent.stream().map(sent -> sent.call.workerId()).distinct().count())
          .isEqualTo(4);
    }
  }

  @Test
  void forwardsTheErrorResponseOfTheLastAttemptUnchanged() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 1, false));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.head(new ResponseHead(504, List.of()));
    fixture.last().worker.end();
    assertThat(client.events).containsExactly("head 504", "end").inOrder();
  }

  // ---- streams

  @Test
  void holdsTheHeadOfAStreamBackUntilItsFirstEvent() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, true));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.head(GOOD);
    assertThat(client.events).isEmpty();
    fixture.last().worker.chunk(event(1));
    fixture.last().worker.end();
    assertThat(client.events).containsExactly("head 200", "e1", "end").inOrder();
  }

  @Test
  void resumesATruncatedStreamAfterTheLastEventUnderTheFirstHead() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 3, true));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.chunk(event(1));
    fixture.last().worker.chunk(event(2));
    fixture.last().worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    assertThat(fixture.last().call.resumeAfter()).isEqualTo("2");
    fixture
        .last()
        .worker
        .head(new ResponseHead(200, List.of(new ProxiedRequest.Header("X", "second"))));
    fixture.last().worker.chunk(event(2));
    fixture.last().worker.chunk(event(3));
    fixture.last().worker.end();
    assertThat(client.events).containsExactly("head 200", "e1", "e2", "e3", "end").inOrder();
  }

  @Test
  void retriesAtTheNextWorkerIfAResumedAttemptFails() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 3, true));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.chunk(event(1));
    fixture.last().worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    fixture.last().worker.head(new ResponseHead(404, List.of()));
    fixture.last().worker.chunk(new ResponseChunk("", "no such".getBytes(UTF_8)));
    fixture.last().worker.end();
    assertThat(fixture.sent).hasSize(3);
    fixture.last().worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    assertThat(client.events).containsExactly("head 200", "e1", "truncated").inOrder();
  }

  @Test
  void doesNotResumeAfterAnEventWithoutAnId() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 3, true));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.chunk(new ResponseChunk("", "e?".getBytes(UTF_8)));
    fixture.last().worker.fail(new ApiError.WorkerStreamTruncated("w"), true);
    assertThat(client.events).containsExactly("head 200", "e?", "truncated").inOrder();
    assertThat(fixture.sent).hasSize(1);
  }

  // ---- silence, timeouts, cancellation

  @Test
  void movesARepeatableRequestAwayFromASilentWorker() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 2, false));
    Client client = fixture.submit(request("1"));
    Sent silent = fixture.last();
    fixture.run(1_500);
    assertThat(silent.cancelled).isTrue();
    assertThat(fixture.sent).hasSize(2);
    silent.worker.head(GOOD);
    silent.worker.end();
    assertThat(client.events).isEmpty();
    fixture.submit(request("2"));
    assertThat(fixture.last().call.workerId()).isNotEqualTo(silent.call.workerId());
  }

  @Test
  void keepsAOnceRequestAtItsSilentWorkerAndSendsNewOnesElsewhere() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 2, false));
    Client client = fixture.submit(request("1"));
    Sent silent = fixture.last();
    fixture.run(1_500);
    assertThat(silent.cancelled).isFalse();
    for (int index = 0; index < 10; index++) {
      fixture.submit(request("r" + index));
      assertThat(fixture.last().call.workerId()).isNotEqualTo(silent.call.workerId());
    }
    silent.worker.head(GOOD);
    silent.worker.end();
    assertThat(client.events).containsExactly("head 200", "end").inOrder();
    assertThat(fixture.registry.get(silent.call.workerId()).isUnresponsive()).isFalse();
  }

  @Test
  void aWorkerThatAnswersOtherCallsIsNotUnresponsive() {
    ProxyDispatcherFixture fixture =
        new ProxyDispatcherFixture()
            .worker("w1", POOL, "near", 8)
            .routes(route(RouteType.ONCE, 1, false));
    fixture.submit(request("1"));
    Client other = fixture.submit(request("2"));
    Sent responding = fixture.last();
    responding.worker.head(GOOD);
    for (int index = 0; index < 15; index++) {
      fixture.run(100);
      responding.worker.chunk(new ResponseChunk("", new byte[] {'.'}));
    }
    assertThat(fixture.registry.get("w1").isUnresponsive()).isFalse();
    assertThat(other.truncation).isNull();
  }

  @Test
  void neverMarksMostOfAPoolUnresponsive() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 1, false));
    for (int index = 0; index < 3; index++) {
      fixture.submit(request("r" + index));
    }
    fixture.run(1_900);
    assertThat(fixture.registry.all().stream().filter(worker -> worker.isUnresponsive()).count())
        .isAtMost(1L);
  }

  @Test
  void aFreezeOfTheProcessDoesNotCountAsSilence() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 2, false));
    fixture.submit(request("1"));
    fixture.run(150);
    fixture.freeze(1_400);
    fixture.run(200);
    assertThat(fixture.sent).hasSize(1);
  }

  @Test
  void resumesAStreamElsewhereIfItsWorkerFallsSilentBetweenEvents() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 2, true));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.chunk(event(1));
    fixture.run(700);
    assertThat(fixture.sent).hasSize(2);
    assertThat(fixture.sent.get(0).cancelled).isTrue();
    assertThat(fixture.last().call.resumeAfter()).isEqualTo("1");
    assertThat(client.events).containsExactly("head 200", "e1").inOrder();
  }

  @Test
  void endsAtTheClientsDeadlineWithoutANeverRanStatus() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    Client client = fixture.submit(request("1", "a.example", "/a/x", 900));
    fixture.run(1_100);
    assertThat(client.events).containsExactly("rejected 504");
    assertThat(fixture.last().cancelled).isTrue();
    assertThat(fixture.dispatcher.openRequests()).isEqualTo(0);
  }

  @Test
  void endsPromptlyAtTheRoutesTimeout() {
    for (int late = 0; late < 100; late += 7) {
      ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
      fixture.run(late);
      fixture.submit(request("0", "a.example", "/a/x", 60_000));
      fixture.run(late);
      Client client = fixture.submit(request("1", "a.example", "/a/x", 60_000));
      fixture.run(3_999);
      assertThat(client.events).isEmpty();
      fixture.run(1 + LiveRequestConstants.MIN_EXPIRY_CHECK_INTERVAL_MS);
      assertThat(client.events).containsExactly("rejected 504");
    }
  }

  @Test
  void theRoutesTimeoutIncludesTheTimeBeforeSubmission() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    Client client = new Client();
    fixture.dispatcher.submit(
        request("1", "a.example", "/a/x", 60_000), client, fixture.nowMs() - 500);
    fixture.run(3_500 + LiveRequestConstants.MIN_EXPIRY_CHECK_INTERVAL_MS);
    assertThat(client.events).containsExactly("rejected 504");
  }

  @Test
  void truncatesTheResponseAtTheRoutesTimeout() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    Client client = fixture.submit(request("1", "a.example", "/a/x", 60_000));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.chunk(event(1));
    fixture.run(4_200);
    assertThat(client.events).containsExactly("head 200", "e1", "truncated").inOrder();
  }

  @Test
  void cancelsTheAttemptIfTheClientCancels() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.STREAM, 1, true));
    Client client = fixture.submit(request("1"));
    fixture.last().worker.head(GOOD);
    client.handle.cancel();
    assertThat(fixture.last().cancelled).isTrue();
    fixture.last().worker.chunk(event(1));
    assertThat(client.events).isEmpty();
    assertThat(fixture.registry.get(fixture.last().call.workerId()).liveCalls()).isEqualTo(0);
  }
}
