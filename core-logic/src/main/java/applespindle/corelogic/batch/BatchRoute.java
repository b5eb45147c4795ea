package applespindle.corelogic.batch;

import applespindle.corelogic.batch.BatchEvent.ProxiedRoute;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.environment.Environment;

/**
 * The route of an accepted proxied batch in the configuration that is in force now. It holds since
 * when that configuration has had no such route. A batch of prompts has no route.
 */
final class BatchRoute {
  private static final long NOT_MISSING = Long.MAX_VALUE;

  private final Environment environment;
  private final BatchLeader.Context edge;
  private final BatchState state;
  private long missingSince = NOT_MISSING;

  BatchRoute(Environment environment, BatchLeader.Context edge, BatchState state) {
    this.environment = environment;
    this.edge = edge;
    this.state = state;
  }

  /**
   * How many runs of an item may fail before the last failure is its result. A route that allows
   * more than at the acceptance is followed; one that allows fewer would break what the client was
   * promised.
   */
  int maxAttempts() {
    ProxiedRoute accepted = state.accepted.proxiedRoute();
    if (accepted == null) {
      return BatchConstants.MAX_ITEM_ATTEMPTS;
    }
    Route current = current();
    return Math.max(1, Math.max(accepted.attempts(), current == null ? 0 : current.attempts()));
  }

  /**
   * Whether the route has been missing for {@link BatchConstants#ROUTE_REMOVED_GRACE_MS} in a
   * configuration that is not older than the one of the acceptance. An older configuration, as an
   * edge may have that takes the batch over, proves nothing.
   */
  boolean isRemoved() {
    boolean missing = isMissing();
    long now = environment.nowMs();
    missingSince = missing ? Math.min(missingSince, now) : NOT_MISSING;
    return missing && now - missingSince >= BatchConstants.ROUTE_REMOVED_GRACE_MS;
  }

  private boolean isMissing() {
    ProxiedRoute accepted = state.accepted.proxiedRoute();
    RoutingConfiguration configuration = edge.configuration();
    return accepted != null
        && configuration != null
        && configuration.number() >= accepted.configurationNumber()
        && edge.isMetadataFresh()
        && current() == null;
  }

  private Route current() {
    ProxiedRoute accepted = state.accepted.proxiedRoute();
    return edge.routes().findBatch(accepted.host(), accepted.path());
  }
}
