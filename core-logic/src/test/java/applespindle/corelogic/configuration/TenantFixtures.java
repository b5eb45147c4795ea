package applespindle.corelogic.configuration;

import applespindle.corelogic.configuration.RoutingConfiguration.BatchLimits;
import applespindle.corelogic.configuration.RoutingConfiguration.ClassLimit;
import applespindle.corelogic.configuration.RoutingConfiguration.Limits;
import applespindle.corelogic.configuration.RoutingConfiguration.Pool;
import applespindle.corelogic.configuration.RoutingConfiguration.PoolWeight;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.configuration.RoutingConfiguration.Tenant;
import java.util.List;
import java.util.Map;

/** Configurations with tenants. */
final class TenantFixtures {
  static final String SECRET = "secret-of-one";

  private TenantFixtures() {}

  static Tenant tenant(String name, int priority, String... apiKeys) {
    return new Tenant(name, List.of(apiKeys), priority);
  }

  static Route route(RouteType type, int rank, boolean isPublic) {
    return new Route(
        "r-" + type + rank + isPublic,
        "a.example",
        "/" + type + rank + isPublic + "/",
        type,
        1_000,
        0,
        0,
        1,
        rank,
        false,
        false,
        List.of(new PoolWeight("p", 1)),
        0,
        0,
        0,
        isPublic);
  }

  static RoutingConfiguration configuration(List<Route> routes, List<Tenant> tenants) {
    Limits limits =
        new Limits(
            Map.of("live", new ClassLimit(0, 0)), new BatchLimits("p", 0, 0, 0, true, 1_000, null));
    return new RoutingConfiguration(
        1, Map.of("p", new Pool(64, 4, 1.5)), List.of(), limits, routes, null, null, tenants);
  }

  static RoutingConfiguration configuration(Tenant... tenants) {
    return configuration(List.of(route(RouteType.ONCE, 0, false)), List.of(tenants));
  }
}
