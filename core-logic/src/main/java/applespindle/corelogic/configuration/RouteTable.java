package applespindle.corelogic.configuration;

import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What a bundle says of opaque requests, as it is looked up: its routes by host, each host's
 * longest prefix first.
 */
public final class RouteTable {
  public static final RouteTable EMPTY = new RouteTable();

  private final Map<String, List<Route>> byHost = new HashMap<>();

  /** By pool, the shortest pause between events that any route demands there. */
  private final Map<String, Long> gapTargets = new HashMap<>();

  public static RouteTable compile(RoutingConfiguration configuration) {
    return compile(configuration.routes());
  }

  public static RouteTable compile(List<Route> routes) {
    RouteTable table = new RouteTable();
    for (Route route : routes) {
      table.byHost.computeIfAbsent(host(route.host()), unseen -> new ArrayList<>()).add(route);
      if (route.gapTargetMs() > 0) {
        route.split().stream()
            .filter(share -> share.weight() > 0)
            .forEach(share -> table.gapTargets.merge(share.pool(), route.gapTargetMs(), Math::min));
      }
    }
    table
        .byHost
        .values()
        .forEach(
            ofHost ->
                ofHost.sort(
                    Comparator.comparingInt((Route route) -> route.pathPrefix().length())
                        .reversed()));
    return table;
  }

  /** The route whose prefix begins the path and is longest, or null. */
  public Route find(String host, String path) {
    for (Route route : byHost.getOrDefault(host(host), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return route;
      }
    }
    return null;
  }

  /** The same if it is a batch route, else null. */
  public Route findBatch(String host, String path) {
    Route route = find(host, path);
    return route != null && route.type() == RouteType.BATCH ? route : null;
  }

  /** 0 where no route demands any. */
  public long gapTargetMs(String pool) {
    return gapTargets.getOrDefault(pool, 0L);
  }

  private static String host(String host) {
    int colon = host.lastIndexOf(':');
    boolean port = colon > host.lastIndexOf(']');
    return (port ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
  }

  private RouteTable() {}
}
