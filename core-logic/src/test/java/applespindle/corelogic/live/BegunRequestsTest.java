package applespindle.corelogic.live;

import static applespindle.corelogic.live.ProxyDispatcherFixture.GOOD;
import static applespindle.corelogic.live.ProxyDispatcherFixture.event;
import static applespindle.corelogic.live.ProxyDispatcherFixture.fixture;
import static applespindle.corelogic.live.ProxyDispatcherFixture.request;
import static applespindle.corelogic.live.ProxyDispatcherFixture.route;
import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.configuration.RoutingConfiguration.Tenant;
import applespindle.corelogic.configuration.TenantAccess;
import applespindle.corelogic.environment.FakeEnvironment.Sent;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A request counts for its tenant once, with the first output of a worker that runs it. */
final class BegunRequestsTest {
  private static ProxyDispatcherFixture tenantFixture(RouteType type, boolean resumable) {
    ProxyDispatcherFixture fixture = fixture(route(type, 2, resumable));
    fixture.access = new TenantAccess(new Tenant("kaje80", List.of("key"), 0), "kaje80", null);
    return fixture;
  }

  @Test
  void countsWithTheFirstOutput() {
    ProxyDispatcherFixture fixture = tenantFixture(RouteType.STREAM, true);
    fixture.submit(request("1"));
    Sent attempt = fixture.last();
    attempt.worker.head(GOOD);
    assertThat(fixture.begun).isEmpty();
    attempt.worker.chunk(event(1));
    attempt.worker.chunk(event(2));
    attempt.worker.end();
    assertThat(fixture.begun).containsExactly("kaje80");
  }

  @Test
  void aStreamThatAnotherWorkerResumesCountsOnce() {
    ProxyDispatcherFixture fixture = tenantFixture(RouteType.STREAM, true);
    fixture.submit(request("1"));
    Sent first = fixture.last();
    first.worker.head(GOOD);
    first.worker.chunk(event(1));
    first.worker.fail(new ApiError.WorkerUnreachable("w1"), true);
    Sent second = fixture.last();
    assertThat(second).isNotSameInstanceAs(first);
    second.worker.head(GOOD);
    second.worker.chunk(event(2));
    second.worker.end();
    assertThat(fixture.begun).containsExactly("kaje80");
  }

  @Test
  void anAttemptWithoutOutputDoesNotCount() {
    ProxyDispatcherFixture fixture = tenantFixture(RouteType.REPEATABLE, false);
    fixture.submit(request("1"));
    fixture.last().worker.fail(new ApiError.WorkerUnreachable("w1"), true);
    assertThat(fixture.begun).isEmpty();
    fixture.last().worker.head(GOOD);
    fixture.last().worker.chunk(event(1));
    assertThat(fixture.begun).containsExactly("kaje80");
  }

  @Test
  void anErrorOfTheWorkerDoesNotCount() {
    ProxyDispatcherFixture fixture = tenantFixture(RouteType.ONCE, false);
    fixture.submit(request("1"));
    fixture.last().worker.head(new ResponseHead(422, List.of()));
    fixture.last().worker.chunk(event(1));
    fixture.last().worker.end();
    assertThat(fixture.begun).isEmpty();
  }

  @Test
  void requestsWithoutATenantDoNotCount() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.ONCE, 1, false));
    fixture.submit(request("1"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.chunk(event(1));
    fixture.access = new TenantAccess(null, "", null);
    fixture.submit(request("2"));
    fixture.last().worker.head(GOOD);
    fixture.last().worker.chunk(event(1));
    assertThat(fixture.begun).isEmpty();
  }
}
