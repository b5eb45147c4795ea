package applespindle.corelogic.batch;

/**
 * A proxied batch as its client names it in a call.
 *
 * @param id the client's own
 * @param host of the route that the batch was submitted on
 * @param apiKey the key of the client's tenant; empty if it sent none. Secret, so the text form
 *     does not show it
 */
public record BatchReference(String id, String host, String apiKey) {
  /** A batch of a deployment without tenants. */
  public static BatchReference withoutKey(String id, String host) {
    return new BatchReference(id, host, "");
  }

  /** The id and the host, without the key. */
  @Override
  public String toString() {
    return "BatchReference[id=" + id + ", host=" + host + "]";
  }
}
