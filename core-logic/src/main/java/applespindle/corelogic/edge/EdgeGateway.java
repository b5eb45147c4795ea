package applespindle.corelogic.edge;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchReference;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.batch.ItemBody;
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
   *
   * @param apiKey the key of the client's tenant, which owns the batch; empty if it sent none
   */
  void submitProxiedBatch(BatchSubmission submission, String apiKey, Consumer<Response> then);

  /**
   * Reads results from a position on: {@code {total, results: [{id, state: complete|expired,
   * output}], next}}. A batch of another tenant is answered as one that does not exist.
   *
   * @param holdMs how long the response may wait for a first result; 0 if it must not wait
   */
  void readProxiedResults(BatchReference batch, long from, long holdMs, Consumer<Response> then);

  /**
   * Reads the body of an item that has no result yet; a successful response is read with {@link
   * ItemBody#of}.
   */
  default void readProxiedItem(BatchReference batch, String item, Consumer<Response> then) {
    readProxiedItem(batch, item, (location, fetch) -> fetch.run(), then);
  }

  /** Decides when a large body of an item, whose size is known by then, is fetched. */
  interface FetchAdmission {
    /**
     * Lets a body be fetched once there is room for it.
     *
     * @param fetch to be run on the logic thread; if it never is, there is no response
     */
    void admit(ItemBody.Location location, Runnable fetch);
  }

  /** Reads the body of an item in the same way, a large one only once it is admitted. */
  void readProxiedItem(
      BatchReference batch, String item, FetchAdmission admission, Consumer<Response> then);

  /** Ends a batch; no item of it starts any more. */
  void endProxiedBatch(BatchReference batch, Consumer<Response> then);
}
