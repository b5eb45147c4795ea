package applespindle.corelogic.batch;

import applespindle.corelogic.environment.ProxiedRequest.Header;
import java.util.List;

/**
 * A batch of proxied requests: its items are HTTP requests that are passed to workers unread.
 *
 * @param id the client's own; the same id again is the same batch
 * @param host by which, with the path, the route is found
 */
public record ProxiedBatch(String id, String host, String path, List<Item> items) {
  /**
   * One request.
   *
   * @param id unique within the batch
   * @param tokens of the prompt and the longest allowed output together
   */
  public record Item(String id, String target, List<Header> headers, byte[] body, int tokens) {}
}
