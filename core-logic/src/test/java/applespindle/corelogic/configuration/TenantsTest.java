package applespindle.corelogic.configuration;

import static applespindle.corelogic.configuration.TenantFixtures.SECRET;
import static applespindle.corelogic.configuration.TenantFixtures.configuration;
import static applespindle.corelogic.configuration.TenantFixtures.route;
import static applespindle.corelogic.configuration.TenantFixtures.tenant;
import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tenants of a configuration: their form, their keys and who may run what. */
final class TenantsTest {
  private static final Route CLOSED = route(RouteType.ONCE, 0, false);
  private static final Route PUBLIC = route(RouteType.ONCE, 0, true);
  private static final ApiError STALE = new ApiError.NodeIsolated(9_000);

  private static List<String> faults(RoutingConfiguration configuration) {
    return ConfigurationValidator.validate(Json.bytes(configuration)).error()
            instanceof ApiError.InvalidConfiguration invalid
        ? invalid.fields().stream().map(field -> field.path() + " " + field.reason()).toList()
        : List.of();
  }

  private static String text(RoutingConfiguration configuration) {
    return new String(Json.bytes(configuration), UTF_8);
  }

  @Test
  void isWrittenOnlyWherePresent() {
    RoutingConfiguration without = configuration(List.of(CLOSED), null);
    assertThat(text(without)).doesNotContain("tenants");
    assertThat(text(without)).doesNotContain("public");
    RoutingConfiguration with = configuration(List.of(PUBLIC), List.of(tenant("one", 3, SECRET)));
    assertThat(text(with))
        .contains(
            "\"tenants\":[{\"name\":\"one\",\"apiKeys\":[\"" + SECRET + "\"],\"priority\":3}]");
    assertThat(text(with)).contains("\"public\":true");
    for (RoutingConfiguration each : List.of(without, with)) {
      assertThat(Json.read(Json.bytes(each), RoutingConfiguration.class)).isEqualTo(each);
      assertThat(faults(each)).isEmpty();
    }
  }

  @Test
  void aDocumentMayLeaveThePublicFieldOut() {
    byte[] spaced =
        text(configuration(tenant("one", 0, SECRET))).replace(":1,", ": 1,").getBytes(UTF_8);
    assertThat(ConfigurationValidator.validate(spaced).error()).isNull();
  }

  @Test
  void twoTenantsMustNotShareAKeyOrAName() {
    assertThat(faults(configuration(tenant("one", 0, "a", SECRET), tenant("two", 0, SECRET))))
        .containsExactly("$.tenants[1].apiKeys[0] is a key of an earlier tenant too");
    assertThat(faults(configuration(tenant("one", 0, "a"), tenant("one", 0, "b"))))
        .containsExactly("$.tenants[1].name is the name of an earlier tenant too");
    assertThat(faults(configuration(tenant("one", 0, "a", "a")))).isEmpty();
  }

  @Test
  void fieldsOfATenantAreChecked() {
    assertThat(faults(configuration(tenant("", 101, " "))))
        .containsExactly(
            "$.tenants[0].name must not be blank",
            "$.tenants[0].priority must be less than or equal to 100",
            "$.tenants[0].apiKeys[0].<list element> must not be blank");
  }

  @Test
  void findsTheTenantOfAKey() {
    TenantKeys keys =
        TenantKeys.compile(configuration(tenant("one", 0, "a", "b"), tenant("two", 0, "c")));
    assertThat(keys.find("a").name()).isEqualTo("one");
    assertThat(keys.find("b").name()).isEqualTo("one");
    assertThat(keys.find("c").name()).isEqualTo("two");
    assertThat(keys.find("A")).isNull();
    assertThat(keys.find("")).isNull();
  }

  @Test
  void keysAreRequiredAlsoAfterTheLastWasTakenAway() {
    assertThat(TenantKeys.compile(configuration(List.of(CLOSED), null)).isRequired()).isFalse();
    assertThat(TenantKeys.compile(configuration()).isRequired()).isTrue();
    assertThat(TenantKeys.compile(configuration(tenant("one", 0))).isRequired()).isTrue();
  }

  @Test
  void withoutTenantsEveryRequestRuns() {
    assertThat(TenantAccess.check(TenantKeys.NONE, CLOSED, "any", STALE, STALE))
        .isEqualTo(TenantAccess.NONE);
  }

  @Test
  void aKeyGivesItsTenantAndAnUnknownOneNothing() {
    TenantKeys keys = TenantKeys.compile(configuration(tenant("one", 0, "a")));
    TenantAccess known = TenantAccess.check(keys, CLOSED, "a", null, STALE);
    assertThat(known.name()).isEqualTo("one");
    assertThat(known.rejection()).isNull();
    for (String apiKey : List.of("", "b")) {
      assertThat(TenantAccess.check(keys, CLOSED, apiKey, null, null).rejection())
          .isEqualTo(new ApiError.UnknownApiKey());
      assertThat(TenantAccess.check(keys, CLOSED, apiKey, null, STALE).rejection())
          .isEqualTo(STALE);
    }
  }

  @Test
  void outdatedKeysAdmitNobody() {
    TenantKeys keys = TenantKeys.compile(configuration(tenant("one", 0, "a")));
    assertThat(TenantAccess.check(keys, CLOSED, "a", STALE, STALE).rejection()).isEqualTo(STALE);
    assertThat(TenantAccess.check(keys, PUBLIC, "a", STALE, STALE).name()).isEmpty();
  }

  @Test
  void aPublicRouteNeedsNoKeyAndKnowsThoseThatHaveOne() {
    TenantKeys keys = TenantKeys.compile(configuration(tenant("one", 0, "a")));
    assertThat(TenantAccess.check(keys, PUBLIC, "a", null, null).name()).isEqualTo("one");
    for (String apiKey : List.of("", "b")) {
      TenantAccess anonymous = TenantAccess.check(keys, PUBLIC, apiKey, null, null);
      assertThat(anonymous.rejection()).isNull();
      assertThat(anonymous.name()).isEmpty();
    }
  }

  @Test
  void noTextFormShowsAKey() {
    RoutingConfiguration configuration = configuration(tenant("one", 0, SECRET));
    TenantKeys keys = TenantKeys.compile(configuration);
    assertThat(configuration.toString()).doesNotContain(SECRET);
    assertThat(configuration.tenants().toString()).doesNotContain(SECRET);
    assertThat(TenantAccess.check(keys, CLOSED, SECRET, null, null).toString())
        .doesNotContain(SECRET);
    assertThat(new Header("Authorization", "Bearer " + SECRET).toString()).doesNotContain(SECRET);
  }
}
