package applespindle.corelogic.scaling;

/**
 * A new number of workers, and why.
 *
 * @param at when it was decided, in monotonic milliseconds
 * @param reason a sentence for operators
 */
public record ScaleDecision(PoolZone subject, int before, int count, String reason, long at) {}
