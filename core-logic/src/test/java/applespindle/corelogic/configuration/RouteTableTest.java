package applespindle.corelogic.configuration;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.configuration.RoutingConfiguration.PoolWeight;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How routes are looked up by host and path. */
final class RouteTableTest {
  private static Route route(String name, String host, String prefix) {
    return new Route(
        name,
        host,
        prefix,
        RouteType.ONCE,
        1_000,
        0,
        0,
        1,
        0,
        false,
        false,
        List.of(new PoolWeight("p", 1)),
        0,
        0,
        0);
  }

  @Test
  void findsTheRouteWithTheLongestPrefix() {
    RouteTable table =
        RouteTable.compile(
            new RoutingConfiguration(
                1,
                Map.of(),
                List.of(),
                null,
                List.of(route("one", "A.example", "/x/"), route("two", "a.example", "/x/y/")),
                null,
                null));
    assertThat(table.find("a.example:8080", "/x/y/z").name()).isEqualTo("two");
    assertThat(table.find("A.EXAMPLE", "/x/z").name()).isEqualTo("one");
    assertThat(table.find("a.example", "/x")).isNull();
    assertThat(table.find("b.example", "/x/z")).isNull();
  }
}
