package applespindle.corelogic.metadata;

/**
 * A node as messages are addressed to it.
 *
 * @param id id of the node, which it gets with its disk; empty if only its address is known
 * @param address its peer address
 */
public record NodeAddress(String id, String address) {
  /** No node. */
  public static final NodeAddress NONE = new NodeAddress("", "");
}
