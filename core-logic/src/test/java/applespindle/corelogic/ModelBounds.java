package applespindle.corelogic;

import java.util.EnumMap;
import java.util.Map;

/**
 * What may happen in one explored run, and how often. Messages may be delivered in any order and
 * need not be delivered at all, timers may fire at any time or never, so neither losses nor delays
 * are counted.
 *
 * @param claimants processes that claim and lead: 1 or 2
 * @param most how often an event may happen; never, if it isn't named
 * @param slowDisks whether a write stays unsynced until a step of its own
 * @param snapshotValues whether each value holds the whole state, so that what precedes it is
 *     dropped
 * @param leaderAtStart whether the first claimant leads and one value is committed at the start
 */
record ModelBounds(
    int claimants,
    Map<ModelEvent, Integer> most,
    boolean slowDisks,
    boolean snapshotValues,
    boolean leaderAtStart) {

  /** Bounds under which nothing happens but what follows from a leader at the start. */
  static ModelBounds led(int claimants) {
    return new ModelBounds(claimants, Map.of(), false, false, true);
  }

  /** Bounds under which nobody leads at the start. */
  static ModelBounds unled(int claimants) {
    return new ModelBounds(claimants, Map.of(), false, false, false);
  }

  ModelBounds with(ModelEvent event, int times) {
    Map<ModelEvent, Integer> more = new EnumMap<>(ModelEvent.class);
    more.putAll(most);
    more.put(event, times);
    return new ModelBounds(claimants, more, slowDisks, snapshotValues, leaderAtStart);
  }

  ModelBounds withSlowDisks() {
    return new ModelBounds(claimants, most, true, snapshotValues, leaderAtStart);
  }

  ModelBounds withSnapshotValues() {
    return new ModelBounds(claimants, most, slowDisks, true, leaderAtStart);
  }

  int most(ModelEvent event) {
    return most.getOrDefault(event, 0);
  }
}
