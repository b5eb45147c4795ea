package applespindle.corelogic.log;

/**
 * The term of one leader of one key. Epochs are ordered by counter, then by node.
 *
 * <p>Invariant: no two nodes ever use the same epoch, as the node's id is part of it.
 *
 * @param counter rises with every round of an election; 0 in {@link #NONE} only
 * @param node the id of the leader
 */
public record Epoch(long counter, String node) implements Comparable<Epoch> {
  /** Below every epoch of a leader. */
  public static final Epoch NONE = new Epoch(0, "");

  @Override
  public int compareTo(Epoch other) {
    int byCounter = Long.compare(counter, other.counter);
    return byCounter != 0 ? byCounter : node.compareTo(other.node);
  }

  /** Whether this epoch is older than the other. */
  public boolean isBelow(Epoch other) {
    return compareTo(other) < 0;
  }
}
