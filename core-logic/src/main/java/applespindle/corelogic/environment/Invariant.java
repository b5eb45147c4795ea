package applespindle.corelogic.environment;

import java.util.Locale;

/**
 * What must hold in a running node at every moment, and is checked there. A violation is a defect
 * of the program, whatever happened around it: it is counted under {@link #counter()}, logged, and
 * ends a test on the simulator.
 */
public enum Invariant {
  /** A batch that was handed in got its final answer within the time set for it. */
  SUBMISSION_ANSWERED_IN_TIME,

  /** A batch's log accepts it once; what was accepted is never replaced. */
  BATCH_ACCEPTED_ONCE;

  /** The counter of violations. */
  public String counter() {
    return "invariant_" + name().toLowerCase(Locale.ROOT);
  }
}
