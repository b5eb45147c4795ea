package applespindle.corelogic.worker;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.TenantAccess;
import applespindle.corelogic.configuration.WorkerRanks;
import java.util.function.Consumer;

/** What the dispatchers and the worker selection need of their edge. Called on the logic thread. */
public interface EdgeContext {
  /** Why the edge admits no new requests now, or null if it does. */
  ApiError rejectionOfNewWork();

  /**
   * Why a request that was admitted may not be sent to a worker now, or null if it may. A graceful
   * stop alone does not prevent it.
   */
  ApiError rejectionOfAdmittedWork();

  /** The configuration in force, or null before the first. */
  RoutingConfiguration configuration();

  /** The routes for proxied requests of that configuration; empty before the first. */
  RouteTable routes();

  /** For which tenant a request with this key may run on the route; the key is empty for none. */
  TenantAccess tenantAccess(Route route, String apiKey);

  /** The ranks of requests and items at workers, by the configuration in force. */
  WorkerRanks workerRanks();

  /**
   * Claims an idempotency id for a request.
   *
   * @param token identifies this claim among others for the same id
   * @param then gets null when the claim is granted, or why it is not
   */
  void claimIdempotencyId(String id, String token, Consumer<ApiError> then);

  /** Gives up a claim of a request that has certainly not run. */
  void releaseIdempotencyId(String id, String token);

  /** A worker has begun a live request of this tenant; called once for a request. */
  void recordRequestBegun(String tenant);

  /** Adds one to a counter that metrics show. */
  void incrementCounter(String counter);
}
