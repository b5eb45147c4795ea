package applespindle.corelogic.configuration;

import applespindle.corelogic.configuration.RoutingConfiguration.PoolWeight;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The routes of a configuration, indexed for the lookup of proxied requests by host and path. Of
 * several routes that match, the one with the longest path prefix applies.
 *
 * <p>Immutable once compiled, safe for use by any thread.
 */
public final class RouteTable {
  /** A table without routes. */
  public static final RouteTable EMPTY = new RouteTable();

  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();

  /** The routes of each host, which is in lower case and without a port; longest prefix first. */
  private final Map<String, List<Route>> routesByHost = new HashMap<>();

  /** By pool, the shortest pause between events that any route permits there. */
  private final Map<String, Long> gapTargets = new HashMap<>();

  private RouteTable() {}

  /** Indexes the routes of a configuration. */
  public static RouteTable compile(RoutingConfiguration configuration) {
    return compile(configuration.routes());
  }

  /** Indexes routes; no two may have the same host and prefix. */
  public static RouteTable compile(List<Route> routes) {
    RouteTable table = new RouteTable();
    routes.forEach(table::add);
    table.routesByHost.values().forEach(ofHost -> ofHost.sort(LONGEST_PREFIX_FIRST));
    return table;
  }

  private void add(Route route) {
    String host = normalizedHost(route.host());
    routesByHost.computeIfAbsent(host, unseen -> new ArrayList<>()).add(route);
    if (route.gapTargetMs() > 0) {
      for (PoolWeight share : route.split()) {
        if (share.weight() > 0) {
          gapTargets.merge(share.pool(), route.gapTargetMs(), Math::min);
        }
      }
    }
  }

  /**
   * Returns the route of a request, or null if there is none.
   *
   * @param host in any case, with or without a port
   */
  public Route find(String host, String path) {
    for (Route route : routesByHost.getOrDefault(normalizedHost(host), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return route;
      }
    }
    return null;
  }

  /** Returns the route of a request if it is one for batches, else null. */
  public Route findBatch(String host, String path) {
    Route route = find(host, path);
    return route != null && route.type() == RouteType.BATCH ? route : null;
  }

  /** Whether a client without an API key may submit batches on any route of the host. */
  public boolean hasPublicBatchRoute(String host) {
    return routesByHost.getOrDefault(normalizedHost(host), List.of()).stream()
        .anyMatch(route -> route.type() == RouteType.BATCH && route.isPublic());
  }

  /**
   * Returns the shortest pause between events that any route permits at the pool, in milliseconds;
   * 0 if none states one.
   */
  public long gapTargetMs(String pool) {
    return gapTargets.getOrDefault(pool, 0L);
  }

  private static String normalizedHost(String host) {
    int colon = host.lastIndexOf(':');
    boolean hasPort = colon > host.lastIndexOf(']');
    return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
  }
}
