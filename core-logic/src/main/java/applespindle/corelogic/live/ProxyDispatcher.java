package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.configuration.TenantAccess;
import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.worker.EdgeContext;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerSelection;

/**
 * Admits proxied requests at one edge: finds the route, draws the pool and opens a {@link
 * ProxiedRequestCall}, which sends the request and forwards the response.
 *
 * <p>Nothing is queued here: workers queue by rank, and a request that no worker can begin in time
 * is rejected immediately. Confined to the logic thread.
 */
public final class ProxyDispatcher {
  private final Environment environment;
  private final EdgeContext edge;
  private final WeightedPoolSelector poolSelector;
  private final ProxiedCallMonitor monitor;
  private final ProxyContext context;

  /**
   * Creates a dispatcher without open requests.
   *
   * @param zone of this edge; workers of the same zone are preferred
   */
  public ProxyDispatcher(
      Environment environment, String zone, EdgeContext edge, WorkerRegistry registry) {
    this.environment = environment;
    this.edge = edge;
    this.poolSelector = new WeightedPoolSelector(environment, registry);
    WorkerSelection selection = new WorkerSelection(environment, zone, edge, registry);
    RouteLatencies latencies = new RouteLatencies();
    this.monitor =
        new ProxiedCallMonitor(environment, new SilenceDetector(edge, registry, latencies));
    this.context =
        new ProxyContext(
            environment,
            edge,
            registry,
            selection,
            latencies,
            new ProxyRetryAfterEstimator(environment, registry, selection),
            monitor);
  }

  /** Submits a request that has just arrived. */
  public RequestHandle submit(ProxiedRequest request, ProxiedResponseListener listener) {
    return submit(request, listener, environment.nowMs());
  }

  /**
   * Submits a request. The listener may be called before this method returns.
   *
   * @param arrivedAt when the route's timeout began, in monotonic milliseconds; in the past if the
   *     request has waited
   * @return lets the client give the request up; never null, without effect after the end
   */
  public RequestHandle submit(
      ProxiedRequest request, ProxiedResponseListener listener, long arrivedAt) {
    ApiError rejection = rejectionOfNewWork();
    if (rejection != null) {
      return reject(rejection, listener);
    }
    Route route = edge.routes().find(request.host(), request.path());
    if (route == null || route.type() == RouteType.BATCH) {
      return reject(new ApiError.NoMatchingRule(), listener);
    }
    TenantAccess access = edge.tenantAccess(route, request.apiKey());
    if (access.rejection() != null) {
      return reject(access.rejection(), listener);
    }
    edge.incrementCounter("opaque_taken");
    String pool = poolSelector.select(route);
    ProxiedRequestCall call =
        new ProxiedRequestCall(context, request, access, listener, route, pool, arrivedAt);
    monitor.add(call);
    call.sendToNextWorker(new ApiError.NoWorker(pool));
    return call;
  }

  private ApiError rejectionOfNewWork() {
    ApiError rejection = edge.rejectionOfNewWork();
    return rejection == null && edge.configuration() == null
        ? new ApiError.NoConfiguration()
        : rejection;
  }

  private RequestHandle reject(ApiError error, ProxiedResponseListener listener) {
    edge.incrementCounter("opaque_refused_" + error.type());
    boolean starting =
        error instanceof ApiError.NodeIsolated || error instanceof ApiError.NoConfiguration;
    listener.rejected(
        starting
            ? Response.ofRetryAfterMs(error, LifecycleConstants.STARTUP_RETRY_AFTER_MS)
            : Response.of(error));
    return () -> {};
  }

  /** Number of requests that were admitted and have not ended. */
  public int openRequests() {
    return monitor.openCalls();
  }
}
