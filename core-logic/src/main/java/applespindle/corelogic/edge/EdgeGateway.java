package applespindle.corelogic.edge;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.live.ProxiedResponseListener;
import applespindle.corelogic.live.RequestHandle;
import java.util.function.Consumer;

/**
 * The interface of the edge for endpoints that accept proxied requests. To be called on the logic
 * thread, except for {@link #onConfigurationChange}.
 */
public interface EdgeGateway {
  /** Sets the listener for each routing configuration applied here; to be set before the start. */
  void onConfigurationChange(Consumer<RoutingConfiguration> then);

  /** Forwards a request to a worker by the routes of the configuration in force. */
  RequestHandle proxy(ProxiedRequest request, ProxiedResponseListener listener);

  /** The route of a request or batch under the configuration in force; null if there is none. */
  RoutingConfiguration.Route route(String host, String path);

  /**
   * Submits a batch of proxied items under the client's own id. The response is 201 once a quorum
   * of replicas has synced the batch. The body is read by the edge that leads the batch, so its
   * errors come with the response.
   */
  void submitProxiedBatch(BatchSubmission submission, Consumer<Response> then);

  /**
   * Reads results from a position on: {@code {total, results: [{id, state: complete|expired,
   * output}], next}}.
   *
   * @param holdMs how long the response may wait for a first result; 0 if it must not wait
   */
  void readProxiedResults(String batch, long from, long holdMs, Consumer<Response> then);

  /** Reads the body of an item that has no result yet: {@code {body: base64}}. */
  void readProxiedItem(String batch, String item, Consumer<Response> then);

  /** Ends a batch; no item of it starts any more. */
  void endProxiedBatch(String batch, Consumer<Response> then);
}
