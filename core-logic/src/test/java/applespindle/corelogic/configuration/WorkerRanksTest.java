package applespindle.corelogic.configuration;

import static applespindle.corelogic.configuration.TenantFixtures.configuration;
import static applespindle.corelogic.configuration.TenantFixtures.route;
import static applespindle.corelogic.configuration.TenantFixtures.tenant;
import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.configuration.RoutingConfiguration.Tenant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class WorkerRanksTest {
  private static final Route URGENT = route(RouteType.ONCE, 0, false);
  private static final Route SLOW = route(RouteType.STREAM, 4, true);
  private static final Route LOTS = route(RouteType.BATCH, 2, false);
  private static final Tenant FIRST = tenant("first", 0, "a");
  private static final Tenant SECOND = tenant("second", 7, "b");

  @Test
  void withoutTenantsTheRankIsTheRoutes() {
    WorkerRanks ranks = WorkerRanks.compile(configuration(List.of(URGENT, SLOW, LOTS), null));
    assertThat(ranks.ofRequest(null, SLOW)).isEqualTo(4);
    assertThat(ranks.ofItem(null, LOTS)).isEqualTo(2);
    assertThat(ranks.ofItem(null, route(RouteType.BATCH, 0, false))).isEqualTo(1);
  }

  @Test
  void theTenantsPriorityComesAheadOfTheRoutes() {
    WorkerRanks ranks =
        WorkerRanks.compile(configuration(List.of(URGENT, SLOW, LOTS), List.of(SECOND, FIRST)));
    assertThat(
            List.of(
                ranks.ofRequest(FIRST, URGENT),
                ranks.ofRequest(FIRST, SLOW),
                ranks.ofRequest(SECOND, URGENT),
                ranks.ofRequest(SECOND, SLOW),
                ranks.ofRequest(null, SLOW),
                ranks.ofItem(FIRST, LOTS),
                ranks.ofItem(SECOND, LOTS)))
        .containsExactly(0, 1, 2, 3, 4, 8, 9)
        .inOrder();
  }

  @Test
  void manyPrioritiesShareRanksInOrderAndStayAheadOfItems() {
    List<Tenant> tenants = new ArrayList<>();
    for (int priority = 0; priority <= 100; priority++) {
      tenants.add(tenant("t" + priority, priority, "k" + priority));
    }
    WorkerRanks ranks = WorkerRanks.compile(configuration(List.of(URGENT, SLOW, LOTS), tenants));
    int last = 0;
    for (Tenant tenant : tenants) {
      for (Route route : List.of(URGENT, SLOW)) {
        int rank = ranks.ofRequest(tenant, route);
        assertThat(rank).isAtLeast(last);
        last = rank;
      }
      assertThat(ranks.ofItem(tenant, LOTS)).isIn(List.of(8, 9));
    }
    assertThat(last).isEqualTo(7);
  }

  @Test
  void aPairOfAnEarlierConfigurationStaysWithinTheRanks() {
    WorkerRanks ranks = WorkerRanks.compile(configuration(List.of(URGENT, LOTS), List.of(FIRST)));
    assertThat(ranks.ofRequest(SECOND, SLOW)).isEqualTo(1);
    assertThat(ranks.ofItem(SECOND, LOTS)).isEqualTo(9);
  }
}
