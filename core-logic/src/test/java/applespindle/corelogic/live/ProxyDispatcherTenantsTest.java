package applespindle.corelogic.live;

import static applespindle.corelogic.live.ProxyDispatcherFixture.fixture;
import static applespindle.corelogic.live.ProxyDispatcherFixture.request;
import static applespindle.corelogic.live.ProxyDispatcherFixture.route;
import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.configuration.RoutingConfiguration.Tenant;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.live.ProxyDispatcherFixture.Client;
import java.util.List;
import org.junit.jupiter.api.Test;

/** For which tenant requests run, and which do not. */
final class ProxyDispatcherTenantsTest {
  private static final Tenant ONE = new Tenant("one", List.of("key-1"), 5);
  private static final Tenant TWO = new Tenant("two", List.of("key-2"), 0);

  private static ProxiedRequest keyed(String id, String apiKey) {
    ProxiedRequest request = request(id);
    return new ProxiedRequest(
        request.id(),
        request.method(),
        request.target(),
        request.host(),
        request.headers(),
        request.body(),
        request.deadlineMs(),
        request.model(),
        request.promptTokens(),
        request.maxOutputTokens(),
        request.prompt(),
        request.resumeAfter(),
        apiKey);
  }

  private static ProxyDispatcherFixture withTenants() {
    return fixture(route(RouteType.REPEATABLE, 3, false)).tenants(ONE, TWO);
  }

  @Test
  void withoutTenantsNoKeyIsLookedAt() {
    ProxyDispatcherFixture fixture = fixture(route(RouteType.REPEATABLE, 3, false));
    fixture.submit(keyed("1", "any"));
    assertThat(fixture.last().call.tenant()).isNull();
    assertThat(fixture.last().call.rank()).isEqualTo(3);
  }

  @Test
  void theWorkerIsToldTheTenantOfTheKey() {
    ProxyDispatcherFixture fixture = withTenants();
    fixture.submit(keyed("1", "key-1"));
    assertThat(fixture.last().call.tenant()).isEqualTo("one");
    assertThat(fixture.last().call.rank()).isEqualTo(1);
    fixture.submit(keyed("2", "key-2"));
    assertThat(fixture.last().call.tenant()).isEqualTo("two");
    assertThat(fixture.last().call.rank()).isEqualTo(0);
  }

  @Test
  void furtherAttemptsAreForTheSameTenant() {
    ProxyDispatcherFixture fixture = withTenants();
    fixture.submit(keyed("1", "key-1"));
    fixture.last().worker.fail(new ApiError.WorkerRejected(503), false);
    assertThat(fixture.sent).hasSize(2);
    assertThat(fixture.last().call.tenant()).isEqualTo("one");
  }

  @Test
  void anUnknownOrMissingKeyIsRejectedWith401() {
    ProxyDispatcherFixture fixture = withTenants();
    assertThat(fixture.submit(keyed("1", "key-3")).events).containsExactly("rejected 401");
    assertThat(fixture.submit(keyed("2", "")).events).containsExactly("rejected 401");
    assertThat(fixture.sent).isEmpty();
  }

  @Test
  void aKeyThatWasTakenAwayIsRejectedFromThenOn() {
    ProxyDispatcherFixture fixture = withTenants();
    fixture.submit(keyed("1", "key-1"));
    fixture.tenants(TWO);
    assertThat(fixture.submit(keyed("2", "key-1")).events).containsExactly("rejected 401");
    assertThat(fixture.sent).hasSize(1);
  }

  @Test
  void aNodeThatCanNotKnowSays503() {
    ProxyDispatcherFixture fixture = withTenants();
    fixture.staleMetadata = new ApiError.NodeIsolated(3_000);
    assertThat(fixture.submit(keyed("1", "key-3")).events).containsExactly("rejected 503");
    assertThat(fixture.submit(keyed("2", "key-1")).events).isEmpty();
    fixture.staleKeys = new ApiError.NodeIsolated(4_500);
    Client outdated = fixture.submit(keyed("3", "key-1"));
    assertThat(outdated.events).containsExactly("rejected 503");
    assertThat(outdated.rejection.retryAfterMs()).isGreaterThan(0);
    assertThat(fixture.sent).hasSize(1);
  }

  @Test
  void anUnknownRouteIsNamedBeforeAnUnknownKey() {
    assertThat(withTenants().submit(request("1", "b.example", "/a/x", 1_000)).events)
        .containsExactly("rejected 404");
  }
}
