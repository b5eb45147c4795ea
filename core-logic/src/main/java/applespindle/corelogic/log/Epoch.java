package applespindle.corelogic.log;

/**
 * Orders owners of one key. Invariant: no two nodes ever use the same epoch, as the node id is part
 * of it.
 */
public record Epoch(long counter, String node) implements Comparable<Epoch> {
  public static final Epoch NONE = new Epoch(0, "");

  @Override
  public int compareTo(Epoch other) {
    int byCounter = Long.compare(counter, other.counter);
    return byCounter != 0 ? byCounter : node.compareTo(other.node);
  }

  public boolean isBelow(Epoch other) {
    return compareTo(other) < 0;
  }
}
