package applespindle.corelogic.scaling;

import applespindle.corelogic.constants.ScalingConstants;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides how many workers each pool is to have in each zone.
 *
 * <p>The number needed is that at which the demand takes {@link
 * ScalingConstants#TARGET_UTILIZATION} of the slots, or {@link
 * ScalingConstants#MAX_UTILIZATION_AFTER_ZONE_LOSS} after the loss of one zone, and {@link
 * ScalingConstants#SPARE_WORKERS} more. Too few workers make requests late, too many cost money: a
 * higher number is decided at once, by the demand of that moment; a lower one only in small steps,
 * by the highest demand of a calm period that all edges have reported. Workers that have crashed
 * are no reason to take others away. Confined to the logic thread.
 */
public final class ScalePolicy {
  private final Map<PoolZone, SubjectHistory> histories = new TreeMap<>();

  /** Forgets everything, as a new holder of the duty does. */
  public void reset() {
    histories.clear();
  }

  /** The decision that is due, empty if the number stands; {@code now} is monotonic. */
  public Optional<ScaleDecision> decide(ScaleObservation observation, long now) {
    SubjectHistory history =
        histories.computeIfAbsent(observation.subject(), ignored -> new SubjectHistory(now));
    history.add(observation, now);
    int current = history.currentCount();
    Optional<ScaleDecision> decision =
        outOfBounds(observation, current, now)
            .or(() -> scaleOut(observation, current, now))
            .or(() -> scaleIn(observation, history, now));
    decision.ifPresent(made -> history.decided(made.count(), now));
    return decision;
  }

  /** The number decided last; empty while the workers that are there are left as they are. */
  public Optional<Integer> decidedCount(PoolZone subject) {
    return Optional.ofNullable(histories.get(subject)).map(history -> history.decidedCount);
  }

  private static Optional<ScaleDecision> outOfBounds(
      ScaleObservation observation, int current, long now) {
    int bounded = clamp(current, observation);
    if (bounded == current) {
      return Optional.empty();
    }
    String reason =
        "The bounds are " + observation.minCount() + " and " + observation.maxCount() + " workers.";
    return Optional.of(new ScaleDecision(observation.subject(), current, bounded, reason, now));
  }

  private static Optional<ScaleDecision> scaleOut(
      ScaleObservation observation, int current, long now) {
    int needed = clamp(neededFor(observation.calls(), observation), observation);
    if (needed <= current) {
      return Optional.empty();
    }
    String reason = describe("open calls", observation.calls(), needed, observation);
    return Optional.of(new ScaleDecision(observation.subject(), current, needed, reason, now));
  }

  private static Optional<ScaleDecision> scaleIn(
      ScaleObservation observation, SubjectHistory history, long now) {
    int current = history.currentCount();
    int needed = clamp(neededFor(history.peakCalls(), observation), observation);
    if (needed >= current || !history.isCalm(now)) {
      return Optional.empty();
    }
    int step = Math.max(1, (int) (current * ScalingConstants.SCALE_IN_PART));
    int count = Math.max(needed, current - step);
    String reason = describe("open calls at the peak", history.peakCalls(), needed, observation);
    return Optional.of(new ScaleDecision(observation.subject(), current, count, reason, now));
  }

  /** The number of workers that this many open calls need, without regard to the bounds. */
  static int neededFor(double calls, ScaleObservation observation) {
    double usual = calls / (observation.slots() * ScalingConstants.TARGET_UTILIZATION);
    int zones = observation.zones();
    double callsAfterZoneLoss = zones > 1 ? calls * zones / (zones - 1) : calls;
    double afterZoneLoss =
        callsAfterZoneLoss
            / (observation.slots() * ScalingConstants.MAX_UTILIZATION_AFTER_ZONE_LOSS);
    return (int) Math.ceil(Math.max(usual, afterZoneLoss)) + ScalingConstants.SPARE_WORKERS;
  }

  private static int clamp(int count, ScaleObservation observation) {
    return Math.max(observation.minCount(), Math.min(observation.maxCount(), count));
  }

  private static String describe(
      String what, double calls, int needed, ScaleObservation observation) {
    return String.format(
        Locale.ROOT,
        "%.1f %s with %d slots a worker need %d workers within %d to %d.",
        calls,
        what,
        observation.slots(),
        needed,
        observation.minCount(),
        observation.maxCount());
  }

  /** The demand and the number of workers of one subject in the recent past. */
  private static final class SubjectHistory {
    private record Sample(long at, double calls, int present) {}

    private final Deque<Sample> samples = new ArrayDeque<>();

    /** Null before the first decision. */
    private Integer decidedCount;

    private boolean demandSeen;

    /** Since when the reports were complete and the number was not changed. */
    private long unchangedSince;

    private SubjectHistory(long now) {
      unchangedSince = now;
    }

    private void add(ScaleObservation observation, long now) {
      samples.addLast(new Sample(now, observation.calls(), observation.present()));
      while (samples.getFirst().at() < now - ScalingConstants.CALM_MS) {
        samples.removeFirst();
      }
      demandSeen |= observation.calls() > 0;
      if (!observation.complete()) {
        unchangedSince = now;
      }
    }

    private void decided(int count, long now) {
      boolean scaledIn = count < currentCount();
      decidedCount = count;
      long calmMs = demandSeen ? ScalingConstants.CALM_MS : ScalingConstants.IDLE_CALM_MS;
      unchangedSince = scaledIn ? now - calmMs + ScalingConstants.SCALE_IN_INTERVAL_MS : now;
    }

    private boolean isCalm(long now) {
      long calmMs = demandSeen ? ScalingConstants.CALM_MS : ScalingConstants.IDLE_CALM_MS;
      return now - unchangedSince >= calmMs;
    }

    private double peakCalls() {
      return samples.stream().mapToDouble(Sample::calls).max().orElse(0);
    }

    /** Before the first decision, the most workers that were there of late. */
    private int currentCount() {
      return decidedCount != null
          ? decidedCount
          : samples.stream().mapToInt(Sample::present).max().orElse(0);
    }
  }
}
