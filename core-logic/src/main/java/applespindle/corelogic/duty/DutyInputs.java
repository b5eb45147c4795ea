package applespindle.corelogic.duty;

/**
 * Where a process gets what the duties are to do.
 *
 * @param usage the windows to report
 * @param scale the numbers of workers to order
 */
public record DutyInputs(UsageSource usage, ScaleAdvisor scale) {
  /** Nothing is ever to be done. */
  public static final DutyInputs NONE = new DutyInputs(UsageSource.NONE, ScaleAdvisor.NONE);
}
