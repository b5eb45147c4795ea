package applespindle.testfleet.soak;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/**
 * One fault of limited duration; times count from the beginning of the soak.
 *
 * @param other the one other process that a cut concerns, or {@link #ALL}
 */
record SoakFault(Kind kind, String target, String other, long fromMs, long untilMs) {
  /** Stands for all other processes. */
  static final String ALL = "all";

  /** Kind of fault; network faults are named after their effect on bytes and the direction. */
  enum Kind {
    KILL,
    PAUSE,
    STARVE,
    LOSE_ANSWERS,
    DROP_FROM,
    DROP_TO,
    DROP_BOTH,
    HOLD_FROM,
    HOLD_TO,
    HOLD_BOTH,
    RESET;

    private static final Set<Kind> OF_PROCESS = EnumSet.of(KILL, PAUSE, STARVE);
    private static final Set<Kind> OF_EDGES = EnumSet.of(STARVE, LOSE_ANSWERS);

    /** Whether it is a fault of the process itself and not of its connections. */
    boolean ofProcess() {
      return OF_PROCESS.contains(this);
    }

    boolean ofEdgesOnly() {
      return OF_EDGES.contains(this);
    }
  }

  boolean overlaps(SoakFault another) {
    return fromMs < another.untilMs && another.fromMs < untilMs;
  }

  @Override
  public String toString() {
    String what = kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    String whom = kind.ofProcess() || kind.ofEdgesOnly() ? target : target + "/" + other;
    return what + ":" + whom + "@" + fromMs + "-" + untilMs;
  }
}
