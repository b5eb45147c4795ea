package applespindle.corelogic.edge;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.live.ProxiedResponseListener;
import applespindle.corelogic.live.RequestHandle;
import java.util.function.Consumer;

/**
 * What a door for opaque requests asks of the logic behind it; on the logic's thread, but for
 * onConfigurationChange.
 */
public interface EdgeGateway {
  /** Told of each bundle that comes into force here; to be set before the start. */
  void onConfigurationChange(Consumer<RoutingConfiguration> then);

  /** Passes an opaque request on to a worker by the bundle's routes. */
  RequestHandle proxy(ProxiedRequest request, ProxiedResponseListener listener);

  /** The route an opaque request or batch would take under the bundle in force, or null. */
  RoutingConfiguration.Route route(String host, String path);

  /**
   * Takes a whole batch of opaque items under the client's own id; 201 once it is on a majority of
   * disks. The body is read by whoever leads the batch; what is wrong with it comes as the
   * response.
   */
  void submitProxiedBatch(BatchSubmission submission, Consumer<Response> then);

  /**
   * Results from a position on: {total, results: [{id, state: complete|expired, output}], next}.
   * holdMs: how long the answer may wait for a first result; 0 not at all.
   */
  void readProxiedResults(String batch, long from, long holdMs, Consumer<Response> then);

  /** The body of an item without a result yet: {body: base64}. */
  void readProxiedItem(String batch, String item, Consumer<Response> then);

  void endProxiedBatch(String batch, Consumer<Response> then);
}
