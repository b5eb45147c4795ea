package applespindle.corelogic;

import static applespindle.corelogic.OpaqueDeskFixture.GOOD;
import static applespindle.corelogic.OpaqueDeskFixture.POOL;
import static applespindle.corelogic.OpaqueDeskFixture.event;
import static applespindle.corelogic.OpaqueDeskFixture.fixture;
import static applespindle.corelogic.OpaqueDeskFixture.request;
import static applespindle.corelogic.OpaqueDeskFixture.route;
import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.Bundle.Route;
import applespindle.corelogic.Bundle.RouteType;
import applespindle.corelogic.Bundle.Share;
import applespindle.corelogic.OpaqueDeskFixture.Client;
import applespindle.corelogic.OpaqueRequest.Head;
import applespindle.corelogic.OpaqueRequest.Piece;
import applespindle.corelogic.PlayedWorld.Sent;
import applespindle.corelogic.Records.Worker;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Routes, refusals, further attempts, streams and ends of opaque requests. */
final class OpaqueDeskTest {
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
    OpaqueDeskFixture fixture =
        new OpaqueDeskFixture()
            .worker("w1", POOL, "near", 8)
            .worker("w2", "q", "near", 8)
            .routes(shorter, longer);
    fixture.pass(request("1", "A.EXAMPLE:8080", "/a/b/c", 1_000));
    fixture.pass(request("2", "a.example", "/a/bc", 1_000));
    assertThat(fixture.sent.stream().map(sent -> sent.call.workerId()).toList())
        .containsExactly("w1", "w2")
        .inOrder();
  }

  @Test
  void answers404WhereNoRouteMatches() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    assertThat(fixture.pass(request("1", "b.example", "/a/x", 1_000)).heard)
        .containsExactly("refused 404");
    assertThat(fixture.pass(request("2", "a.example", "/b/x", 1_000)).heard)
        .containsExactly("refused 404");
    assertThat(fixture.sent).isEmpty();
  }

  @Test
  void refusesAtOnceWithATimeToComeBackWhileItMayNotBegin() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    fixture.mayBegin = new Fault.NodeStopping();
    Client client = fixture.pass(request("1"));
    assertThat(client.refusal.status()).isEqualTo(503);
    assertThat(client.refusal.comeBackMs()).isGreaterThan(0);
    fixture.mayBegin = null;
    fixture.bundle = null;
    assertThat(fixture.pass(request("2")).heard).containsExactly("refused 503");
    assertThat(fixture.sent).isEmpty();
  }

  @Test
  void splitsByWeightAndPassesOverAPoolWithoutWorkers() {
    OpaqueDeskFixture fixture =
        new OpaqueDeskFixture()
            .worker("w1", POOL, "near", 1_000)
            .worker("w2", "q", "near", 1_000)
            .routes(route(RouteType.ONCE, 1, false, new Share(POOL, 90), new Share("q", 10)));
    for (int index = 0; index < 400; index++) {
      fixture.pass(request("r" + index));
    }
    long part = fixture.sent.stream().filter(sent -> sent.call.workerId().equals("w2")).count();
    assertThat(part).isAtLeast(15L);
    assertThat(part).isAtMost(80L);
    fixture.mark("w1", Worker.LEAVING);
    fixture.sent.clear();
    for (int index = 0; index < 20; index++) {
      fixture.pass(request("s" + index));
    }
    assertThat(fixture.sent.stream().map(sent -> sent.call.workerId()).distinct().toList())
        .containsExactly("w2");
  }

  // ---- refusals

  @Test
  void refusesOnlyWhenTheWaitIsLongerThanTheClientHas() {
    OpaqueDeskFixture fixture =
        new OpaqueDeskFixture()
            .worker("w1", POOL, "near", 1)
            .routes(route(RouteType.ONCE, 1, false));
    Client last = null;
    int taken = 0;
    for (int index = 0; index < 20 && (last == null || last.refusal == null); index++) {
      last = fixture.pass(request("r" + index, "a.example", "/a/x", 1_000));
      taken = fixture.sent.size();
    }
    assertThat(taken).isAtLeast(2);
    assertThat(last.refusal.status()).isEqualTo(503);
    assertThat(last.refusal.comeBackMs()).isAtLeast(Constants.COME_BACK_LEAST_MS);
    assertThat(last.refusal.comeBackMs()).isAtMost(Constants.COME_BACK_LONGEST_MS);
  }

  @Test
  void isolationEndsARequestBeforeItsNextSend() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    Client client = fixture.pass(request("1"));
    fixture.mayGoOn = new Fault.NodeIsolated(9_000);
    fixture.last().worker.fault(new Fault.WorkerRefused(503), false);
    assertThat(client.heard).containsExactly("refused 503");
    assertThat(fixture.sent).hasSize(1);
  }

  // ---- attempts

  @Test
  void goesOnAfterAWorkersWordForEveryTypeUpToTheAttempts() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.ONCE, 2, false));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.fault(new Fault.WorkerRefused(503), false);
    assertThat(fixture.sent).hasSize(2);
    assertThat(fixture.sent.get(1).call.workerId())
        .isNotEqualTo(fixture.sent.get(0).call.workerId());
    fixture.last().worker.fault(new Fault.WorkerRefused(421), false);
    assertThat(fixture.sent).hasSize(2);
    assertThat(client.refusal.status()).isEqualTo(503);
    assertThat(client.refusal.comeBackMs()).isGreaterThan(0);
  }

  @Test
  void attemptsOfZeroCountAsOne() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.REPEATABLE, 0, false));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.fault(new Fault.WorkerRefused(503), false);
    assertThat(fixture.sent).hasSize(1);
    assertThat(client.heard).containsExactly("refused 503");
  }

  @Test
  void doesNotCountAConnectionThatWasNeverMade() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.fault(new Fault.WorkerUnreachable("w"), false);
    fixture.last().worker.fault(new Fault.WorkerUnreachable("w"), false);
    assertThat(fixture.sent).hasSize(3);
    fixture.last().worker.fault(new Fault.WorkerUnreachable("w"), false);
    assertThat(client.heard).containsExactly("refused 503");
  }

  @Test
  void neverSendsAOnceRequestAgainWhenItMayHaveRun() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.ONCE, 3, false));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(fixture.sent).hasSize(1);
    assertThat(client.heard).containsExactly("refused 502");
  }

  @Test
  void neverSendsAStreamAgainThatMayNotBeResumed() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.STREAM, 3, false));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(fixture.sent).hasSize(1);
    assertThat(client.heard).containsExactly("refused 502");
  }

  @Test
  void promisesNothingOnceSomethingMayHaveRun() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.REPEATABLE, 2, false));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.fault(new Fault.WorkerCut("w"), true);
    fixture.last().worker.fault(new Fault.WorkerRefused(503), false);
    assertThat(client.heard).containsExactly("refused 504");
  }

  @Test
  void runsARepeatableRequestElsewhereBeforeAnythingWasPassedOn() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.fault(new Fault.WorkerCut("w"), true);
    fixture.last().worker.head(GOOD);
    fixture.last().worker.piece(new Piece("", "whole".getBytes(UTF_8)));
    fixture.last().worker.end();
    assertThat(client.heard).containsExactly("head 200", "whole", "end").inOrder();
  }

  @Test
  void cutsAPlainBodyOnceSomeOfItWasPassedOn() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.piece(new Piece("", "half".getBytes(UTF_8)));
    fixture.last().worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(client.heard).containsExactly("head 200", "half", "cut").inOrder();
    assertThat(fixture.sent).hasSize(1);
  }

  @Test
  void takesAWorkersOwnFailureElsewhereOnlyWhereItMayRunAgain() {
    OpaqueDeskFixture repeatable = fixture(route(RouteType.REPEATABLE, 2, false));
    Client first = repeatable.pass(request("1"));
    repeatable.last().worker.head(new Head(500, List.of()));
    repeatable.last().worker.piece(new Piece("", "sorry".getBytes(UTF_8)));
    repeatable.last().worker.end();
    repeatable.last().worker.head(GOOD);
    repeatable.last().worker.end();
    assertThat(first.heard).containsExactly("head 200", "end").inOrder();

    OpaqueDeskFixture once = fixture(route(RouteType.ONCE, 2, false));
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
      OpaqueDeskFixture once = fixture(route(RouteType.ONCE, 2, false));
      Client first = once.pass(request("1"));
      once.last().worker.head(new Head(status, List.of()));
      once.last().worker.piece(new Piece("", "it may have run".getBytes(UTF_8)));
      once.last().worker.end();
      assertThat(first.heard).containsExactly("refused 502");
      assertThat(once.sent).hasSize(1);

      OpaqueDeskFixture repeatable = fixture(route(RouteType.REPEATABLE, 2, false));
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
    OpaqueDeskFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.fault(new Fault.InvalidInput(List.of()), false);
    assertThat(fixture.sent).hasSize(1);
    assertThat(client.heard).containsExactly("refused 400");
    assertThat(fixture.book.all().stream().noneMatch(worker -> worker.faultsInRow > 0)).isTrue();
  }

  /** Those that a try reached in vain, as no connection was made, do not count. */
  @Test
  void oneTryReachesAtMostAsManyWorkersAsTheRouteAllows() {
    for (RouteType type : List.of(RouteType.ONCE, RouteType.REPEATABLE, RouteType.STREAM)) {
      OpaqueDeskFixture fixture = new OpaqueDeskFixture().routes(route(type, 2, true));
      for (int index = 0; index < 8; index++) {
        fixture.worker("w" + index, POOL, "near", 8);
      }
      Client client = fixture.pass(request("1"));
      fixture.last().worker.fault(new Fault.WorkerUnreachable("w"), false);
      fixture.last().worker.fault(new Fault.WorkerRefused(503), false);
      fixture.last().worker.fault(new Fault.WorkerUnreachable("w"), false);
      fixture.last().worker.fault(new Fault.WorkerRefused(429), false);
      assertThat(client.heard).containsExactly("refused 503");
      assertThat(fixture.sent).hasSize(4);
      assertThat(fixture.sent.stream().map(sent -> sent.call.workerId()).distinct().count())
          .isEqualTo(4);
    }
  }

  @Test
  void passesAWorkersLastFailureOnUnchanged() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.REPEATABLE, 1, false));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.head(new Head(504, List.of()));
    fixture.last().worker.end();
    assertThat(client.heard).containsExactly("head 504", "end").inOrder();
  }

  // ---- streams

  @Test
  void holdsAStreamsHeadUntilItsFirstEvent() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.STREAM, 1, true));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.head(GOOD);
    assertThat(client.heard).isEmpty();
    fixture.last().worker.piece(event(1));
    fixture.last().worker.end();
    assertThat(client.heard).containsExactly("head 200", "e1", "end").inOrder();
  }

  @Test
  void resumesACutStreamBehindTheLastEventUnderTheFirstHead() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.STREAM, 3, true));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.piece(event(1));
    fixture.last().worker.piece(event(2));
    fixture.last().worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(fixture.last().call.resumeAfter()).isEqualTo("2");
    fixture.last().worker.head(new Head(200, List.of(new OpaqueRequest.Header("X", "second"))));
    fixture.last().worker.piece(event(2));
    fixture.last().worker.piece(event(3));
    fixture.last().worker.end();
    assertThat(client.heard).containsExactly("head 200", "e1", "e2", "e3", "end").inOrder();
  }

  @Test
  void takesTheNextWorkerIfAResumedRunFails() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.STREAM, 3, true));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.piece(event(1));
    fixture.last().worker.fault(new Fault.WorkerCut("w"), true);
    fixture.last().worker.head(new Head(404, List.of()));
    fixture.last().worker.piece(new Piece("", "no such".getBytes(UTF_8)));
    fixture.last().worker.end();
    assertThat(fixture.sent).hasSize(3);
    fixture.last().worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(client.heard).containsExactly("head 200", "e1", "cut").inOrder();
  }

  @Test
  void doesNotResumeBehindAnEventWithoutAnId() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.STREAM, 3, true));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.piece(new Piece("", "e?".getBytes(UTF_8)));
    fixture.last().worker.fault(new Fault.WorkerCut("w"), true);
    assertThat(client.heard).containsExactly("head 200", "e?", "cut").inOrder();
    assertThat(fixture.sent).hasSize(1);
  }

  // ---- silence, expiry, end

  @Test
  void givesARepeatableRequestAtASilentWorkerToAnother() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.REPEATABLE, 2, false));
    Client client = fixture.pass(request("1"));
    Sent silent = fixture.last();
    fixture.run(1_500);
    assertThat(silent.cancelled).isTrue();
    assertThat(fixture.sent).hasSize(2);
    silent.worker.head(GOOD);
    silent.worker.end();
    assertThat(client.heard).isEmpty();
    fixture.pass(request("2"));
    assertThat(fixture.last().call.workerId()).isNotEqualTo(silent.call.workerId());
  }

  @Test
  void leavesAOnceRequestWithItsSilentWorkerAndKeepsNewOnesAway() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.ONCE, 2, false));
    Client client = fixture.pass(request("1"));
    Sent silent = fixture.last();
    fixture.run(1_500);
    assertThat(silent.cancelled).isFalse();
    for (int index = 0; index < 10; index++) {
      fixture.pass(request("r" + index));
      assertThat(fixture.last().call.workerId()).isNotEqualTo(silent.call.workerId());
    }
    silent.worker.head(GOOD);
    silent.worker.end();
    assertThat(client.heard).containsExactly("head 200", "end").inOrder();
    assertThat(fixture.book.get(silent.call.workerId()).suspect).isFalse();
  }

  @Test
  void doesNotSuspectAWorkerThatAnswersOthers() {
    OpaqueDeskFixture fixture =
        new OpaqueDeskFixture()
            .worker("w1", POOL, "near", 8)
            .routes(route(RouteType.ONCE, 1, false));
    fixture.pass(request("1"));
    Client other = fixture.pass(request("2"));
    Sent speaking = fixture.last();
    speaking.worker.head(GOOD);
    for (int index = 0; index < 15; index++) {
      fixture.run(100);
      speaking.worker.piece(new Piece("", new byte[] {'.'}));
    }
    assertThat(fixture.book.get("w1").suspect).isFalse();
    assertThat(other.cut).isNull();
  }

  @Test
  void doesNotSuspectMostOfAPool() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.REPEATABLE, 1, false));
    for (int index = 0; index < 3; index++) {
      fixture.pass(request("r" + index));
    }
    fixture.run(1_900);
    assertThat(fixture.book.all().stream().filter(worker -> worker.suspect).count()).isAtMost(1L);
  }

  @Test
  void doesNotTakeItsOwnFreezeForSilence() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.REPEATABLE, 2, false));
    fixture.pass(request("1"));
    fixture.run(150);
    fixture.freeze(1_400);
    fixture.run(200);
    assertThat(fixture.sent).hasSize(1);
  }

  @Test
  void resumesAStreamWhoseWorkerFallsSilentBetweenEvents() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.STREAM, 2, true));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.piece(event(1));
    fixture.run(700);
    assertThat(fixture.sent).hasSize(2);
    assertThat(fixture.sent.get(0).cancelled).isTrue();
    assertThat(fixture.last().call.resumeAfter()).isEqualTo("1");
    assertThat(client.heard).containsExactly("head 200", "e1").inOrder();
  }

  @Test
  void endsAtTheClientsExpiryWithoutAPromise() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    Client client = fixture.pass(request("1", "a.example", "/a/x", 900));
    fixture.run(1_100);
    assertThat(client.heard).containsExactly("refused 504");
    assertThat(fixture.last().cancelled).isTrue();
    assertThat(fixture.desk.openRequests()).isEqualTo(0);
  }

  @Test
  void endsAtTheRoutesTimeoutAndNotSomeTimeLater() {
    for (int late = 0; late < 100; late += 7) {
      OpaqueDeskFixture fixture = fixture(route(RouteType.ONCE, 1, false));
      fixture.run(late);
      fixture.pass(request("0", "a.example", "/a/x", 60_000));
      fixture.run(late);
      Client client = fixture.pass(request("1", "a.example", "/a/x", 60_000));
      fixture.run(3_999);
      assertThat(client.heard).isEmpty();
      fixture.run(1 + Constants.EXPIRY_LOOK_LEAST_MS);
      assertThat(client.heard).containsExactly("refused 504");
    }
  }

  @Test
  void theRoutesTimeoutCountsWhatTheRequestWaitedBefore() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    Client client = new Client();
    fixture.desk.take(request("1", "a.example", "/a/x", 60_000), client, fixture.now() - 500);
    fixture.run(3_500 + Constants.EXPIRY_LOOK_LEAST_MS);
    assertThat(client.heard).containsExactly("refused 504");
  }

  @Test
  void endsAtTheRoutesTimeoutWithACut() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.STREAM, 1, false));
    Client client = fixture.pass(request("1", "a.example", "/a/x", 60_000));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.piece(event(1));
    fixture.run(4_200);
    assertThat(client.heard).containsExactly("head 200", "e1", "cut").inOrder();
  }

  @Test
  void cancelsTheRunOfAClientThatHasGone() {
    OpaqueDeskFixture fixture = fixture(route(RouteType.STREAM, 1, true));
    Client client = fixture.pass(request("1"));
    fixture.last().worker.head(GOOD);
    client.handle.cancel();
    assertThat(fixture.last().cancelled).isTrue();
    fixture.last().worker.piece(event(1));
    assertThat(client.heard).isEmpty();
    assertThat(fixture.book.get(fixture.last().call.workerId()).live).isEqualTo(0);
  }
}
