package applespindle.corelogic.batch;

import applespindle.corelogic.environment.ProxiedRequest.Header;
import java.util.List;

/**
 * Many opaque requests handed in together, to be run later. id is the client's own: the same id
 * again is the same batch.
 */
public record ProxiedBatch(String id, String host, String path, List<Item> items) {
  /** tokens: prompt and the most put out together. Ids differ within a batch. */
  public record Item(String id, String target, List<Header> headers, byte[] body, int tokens) {}
}
