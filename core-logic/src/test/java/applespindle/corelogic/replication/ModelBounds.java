package applespindle.corelogic.replication;

import java.util.EnumMap;
import java.util.Map;

/**
 * What may happen in one explored run, and how often. Messages may be delivered in any order and
 * need not be delivered at all, timers may fire at any time or never, so neither losses nor delays
 * are counted.
 *
 * @param start the state in which every run begins
 * @param candidates processes that are candidates and lead: 1 or 2
 * @param most how often an event may happen; never, if it isn't named
 * @param slowDisks whether a write stays unsynced until a step of its own
 * @param snapshotValues whether each value holds the whole state, so that what precedes it is
 *     dropped
 */
record ModelBounds(
    Start start,
    int candidates,
    Map<ModelEvent, Integer> most,
    boolean slowDisks,
    boolean snapshotValues) {

  /** The state in which every run begins. */
  enum Start {
    /** Nothing has happened. */
    BLANK,
    /** The first candidate leads, and one value is committed on all replicas. */
    LED,
    /** The same, and the leader has appended two more that reached the first replica only. */
    DIVERGED,
    /** The same as LED, and one more is committed that did not reach the first replica. */
    LAGGING,
    /**
     * The same as LED, and a second candidate leads by the last two replicas, unknown to the first.
     */
    SUPERSEDED,
    /**
     * The same as LED, and a joining replica has caught up under a pending configuration that only
     * it knows.
     */
    CAUGHT_UP
  }

  static ModelBounds from(Start start, int candidates) {
    return new ModelBounds(start, candidates, Map.of(), false, false);
  }

  ModelBounds with(ModelEvent event, int times) {
    Map<ModelEvent, Integer> more = new EnumMap<>(ModelEvent.class);
    more.putAll(most);
    more.put(event, times);
    return new ModelBounds(start, candidates, more, slowDisks, snapshotValues);
  }

  ModelBounds withSlowDisks() {
    return new ModelBounds(start, candidates, most, true, snapshotValues);
  }

  ModelBounds withSnapshotValues() {
    return new ModelBounds(start, candidates, most, slowDisks, true);
  }

  int most(ModelEvent event) {
    return most.getOrDefault(event, 0);
  }
}
