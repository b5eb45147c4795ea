package applespindle.corelogic.log;

/**
 * The term of one leader of one key. Epochs are ordered by counter, then by node.
 *
 * <p>Invariant: no two nodes ever use the same epoch, as the node's id is part of it.
 *
 * <p>{@code equals} and {@code hashCode} are written out: the generated ones are linked when they
 * are first called, which is on the way of every start.
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

  @Override
  public boolean equals(Object other) {
    return other instanceof Epoch epoch && counter == epoch.counter && node.equals(epoch.node);
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(counter) + node.hashCode();
  }
}
