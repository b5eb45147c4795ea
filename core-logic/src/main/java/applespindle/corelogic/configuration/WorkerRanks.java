package applespindle.corelogic.configuration;

import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.configuration.RoutingConfiguration.Tenant;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * The ranks by which workers order requests, 0 first, compiled from a configuration.
 *
 * <p>Without tenants a rank is the route's. With tenants, the tenant's priority is compared first
 * and the route's second, live requests come before the items of batches, and requests without a
 * tenant come after those of every tenant. Workers know few ranks: where a configuration has more
 * pairs of priorities, neighbours share a rank.
 *
 * <p>Immutable, safe for use by any thread.
 */
public final class WorkerRanks {
  /** The ranks before the first configuration: those of the routes. */
  public static final WorkerRanks OF_ROUTES = new WorkerRanks(null, null);

  /** Live requests get the ranks from 0 to below this one, items this one and those after it. */
  static final int FIRST_ITEM_RANK = 8;

  /** Workers know the ranks from 0 to below this one. */
  static final int RANKS = 10;

  /** The priority of requests without a tenant: after that of any tenant. */
  private static final int NO_TENANT = Integer.MAX_VALUE;

  private record Pair(int tenantPriority, int routePriority) {
    static final Comparator<Pair> TENANT_FIRST =
        Comparator.comparingInt(Pair::tenantPriority).thenComparingInt(Pair::routePriority);

    static Pair of(Tenant tenant, Route route) {
      return new Pair(tenant == null ? NO_TENANT : tenant.priority(), route.rank());
    }
  }

  /** Null without tenants, as is the other. */
  private final NavigableSet<Pair> livePairs;

  private final NavigableSet<Pair> itemPairs;

  private WorkerRanks(NavigableSet<Pair> livePairs, NavigableSet<Pair> itemPairs) {
    this.livePairs = livePairs;
    this.itemPairs = itemPairs;
  }

  /** Compiles the ranks of a valid configuration. */
  public static WorkerRanks compile(RoutingConfiguration configuration) {
    if (configuration.tenants() == null) {
      return OF_ROUTES;
    }
    NavigableSet<Pair> livePairs = new TreeSet<>(Pair.TENANT_FIRST);
    NavigableSet<Pair> itemPairs = new TreeSet<>(Pair.TENANT_FIRST);
    for (Route route : configuration.routes()) {
      NavigableSet<Pair> pairs = route.type() == RouteType.BATCH ? itemPairs : livePairs;
      addPairs(pairs, route, configuration.tenants());
    }
    return new WorkerRanks(livePairs, itemPairs);
  }

  private static void addPairs(NavigableSet<Pair> pairs, Route route, List<Tenant> tenants) {
    tenants.forEach(tenant -> pairs.add(Pair.of(tenant, route)));
    if (route.isPublic()) {
      pairs.add(Pair.of(null, route));
    }
  }

  /** The rank of a live request; the tenant is null if it has none. */
  public int ofRequest(Tenant tenant, Route route) {
    return livePairs == null
        ? route.rank()
        : position(livePairs, Pair.of(tenant, route), FIRST_ITEM_RANK);
  }

  /** The rank of an item of a batch, behind every live request; the tenant is null for none. */
  public int ofItem(Tenant tenant, Route route) {
    return itemPairs == null
        ? Math.max(1, route.rank())
        : FIRST_ITEM_RANK + position(itemPairs, Pair.of(tenant, route), RANKS - FIRST_ITEM_RANK);
  }

  /**
   * The place of a pair among those of the configuration, spread over a number of ranks. A pair of
   * an earlier configuration gets the place that it would have here.
   */
  private static int position(NavigableSet<Pair> pairs, Pair pair, int ranks) {
    int before = pairs.headSet(pair, false).size();
    return pairs.size() <= ranks
        ? Math.min(before, ranks - 1)
        : Math.min(ranks - 1, before * ranks / pairs.size());
  }
}
