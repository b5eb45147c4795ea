package applespindle.corelogic.live;

import applespindle.corelogic.configuration.RoutingConfiguration.PoolWeight;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.worker.WorkerRegistry;
import java.util.List;

/**
 * Draws the pool of a request from its route's weighted split. Pools without workers that accept
 * work are left out as long as another pool has some. A draw takes one random number, and none if
 * the weights add up to at most 1.
 */
final class WeightedPoolSelector {
  private final Environment environment;
  private final WorkerRegistry registry;

  WeightedPoolSelector(Environment environment, WorkerRegistry registry) {
    this.environment = environment;
    this.registry = registry;
  }

  String select(Route route) {
    List<PoolWeight> candidates = candidates(route.split());
    long totalWeight = 0;
    for (PoolWeight candidate : candidates) {
      totalWeight += candidate.weight();
    }
    long drawn = totalWeight <= 1 ? 0 : environment.random().nextLong(totalWeight);
    for (PoolWeight candidate : candidates) {
      drawn -= candidate.weight();
      if (drawn < 0) {
        return candidate.pool();
      }
    }
    return candidates.get(0).pool();
  }

  private List<PoolWeight> candidates(List<PoolWeight> split) {
    if (split.size() <= 1) {
      return split;
    }
    List<PoolWeight> withWorkers =
        split.stream().filter(share -> share.weight() > 0 && hasWorkers(share.pool())).toList();
    return withWorkers.isEmpty() ? split : withWorkers;
  }

  private boolean hasWorkers(String pool) {
    return registry.all().stream()
        .anyMatch(worker -> worker.registration.pool().equals(pool) && !worker.isDraining());
  }
}
