package applespindle.corelogic.environment;

/**
 * The duties at the platform that the deployment asks for: calls that one node at a time makes for
 * all. Times are in milliseconds.
 *
 * @param usage whether usage is to be reported
 * @param scale whether workers are to be ordered
 * @param fenced whether the platform refuses calls with an older fencing token
 * @param leaseMs least time before a former holder may act again after another one has
 * @param usageWindowMs length of a window of usage
 * @param usageDelayMs how long after the end of a window its report is due
 * @param callsPerS highest rate of such calls, of all nodes and duties together; 0 if unknown
 */
public record DutySettings(
    boolean usage,
    boolean scale,
    boolean fenced,
    long leaseMs,
    long usageWindowMs,
    long usageDelayMs,
    double callsPerS) {
  /** The deployment asks for no duty: no such call is made and no key is kept for one. */
  public static final DutySettings NONE = new DutySettings(false, false, false, 0, 0, 0, 0);
}
