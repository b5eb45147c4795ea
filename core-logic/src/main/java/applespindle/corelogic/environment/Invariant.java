package applespindle.corelogic.environment;

import java.util.Locale;

/**
 * A condition that a running node checks and that must always hold. A violation is a defect of the
 * program, whatever faults caused it: it is counted under {@link #counter()}, logged, and ends a
 * test on the simulator.
 */
public enum Invariant {
  /** Every submission of a batch is answered by its deadline. */
  SUBMISSION_ANSWERED_IN_TIME,

  /** The log of a batch holds one accepting event, which is never replaced. */
  BATCH_ACCEPTED_ONCE;

  /** The counter of violations. */
  public String counter() {
    return "invariant_" + name().toLowerCase(Locale.ROOT);
  }
}
