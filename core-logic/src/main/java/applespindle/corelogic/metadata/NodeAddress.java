package applespindle.corelogic.metadata;

/**
 * A node as it is addressed by others.
 *
 * @param id of the process's present life; empty while only its address is known
 * @param address its peer address
 */
public record NodeAddress(String id, String address) {
  /** No node. */
  public static final NodeAddress NONE = new NodeAddress("", "");
}
