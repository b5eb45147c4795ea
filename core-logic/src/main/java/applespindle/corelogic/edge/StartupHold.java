package applespindle.corelogic.edge;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.live.ProxiedResponseListener;
import applespindle.corelogic.live.ProxyDispatcher;
import applespindle.corelogic.live.RequestHandle;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Holds requests that arrive before this edge has its first metadata. Invariant: each is dispatched
 * or rejected when the metadata arrives, or after {@link LifecycleConstants#STARTUP_HOLD_MS},
 * unless its client has cancelled it.
 */
final class StartupHold {
  private final Environment environment;
  private final ProxyDispatcher dispatcher;
  private final Supplier<RouteTable> routes;
  private final List<HeldRequest> held = new ArrayList<>();

  StartupHold(Environment environment, ProxyDispatcher dispatcher, Supplier<RouteTable> routes) {
    this.environment = environment;
    this.dispatcher = dispatcher;
    this.routes = routes;
  }

  boolean isFull() {
    return held.size() >= LifecycleConstants.MAX_STARTUP_HELD_REQUESTS;
  }

  RequestHandle hold(ProxiedRequest request, ProxiedResponseListener listener) {
    HeldRequest added = new HeldRequest(request, listener);
    held.add(added);
    environment.schedule(LifecycleConstants.STARTUP_HOLD_MS, added::release);
    return added;
  }

  /** Releases all held requests, in the order in which they came. */
  void releaseAll() {
    List.copyOf(held).forEach(HeldRequest::release);
  }

  private final class HeldRequest implements RequestHandle {
    private final ProxiedRequest request;
    private final ProxiedResponseListener listener;
    private final long arrivedAt = environment.nowMs();
    private boolean cancelled;

    /** Null until the request was dispatched. */
    private RequestHandle dispatched;

    HeldRequest(ProxiedRequest request, ProxiedResponseListener listener) {
      this.request = request;
      this.listener = listener;
    }

    void release() {
      held.remove(this);
      if (dispatched != null || cancelled) {
        return;
      }
      Route route = routes.get().find(request.host(), request.path());
      if (route != null && route.type() == RouteType.BATCH) {
        // On arrival the missing routes did not show that this is a batch: the client must resubmit
        // it.
        listener.rejected(
            Response.ofRetryAfterMs(
                new ApiError.NoConfiguration(), LiveRequestConstants.MIN_RETRY_AFTER_MS));
        return;
      }
      long waitedMs = environment.nowMs() - arrivedAt;
      dispatched = dispatcher.submit(request.after(waitedMs), listener, arrivedAt);
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (dispatched != null) {
        dispatched.cancel();
      }
    }
  }
}
