package applespindle.corelogic.scaling;

import java.util.Comparator;

/** The workers of a pool in one zone, which are ordered together. */
public record PoolZone(String pool, String zone) implements Comparable<PoolZone> {
  private static final Comparator<PoolZone> ORDER =
      Comparator.comparing(PoolZone::pool).thenComparing(PoolZone::zone);

  @Override
  public int compareTo(PoolZone other) {
    return ORDER.compare(this, other);
  }
}
