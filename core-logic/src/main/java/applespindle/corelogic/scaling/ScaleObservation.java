package applespindle.corelogic.scaling;

/**
 * What is known of the workers of a pool in a zone when a decision is due.
 *
 * @param minCount the least number of workers that may be ordered
 * @param maxCount the greatest number of workers that may be ordered
 * @param slots requests that one worker runs at once
 * @param present workers that are listed and not draining
 * @param zones in which the pool has workers
 * @param calls mean number of live calls that are open there, and of batch items by their weight
 * @param complete whether nearly all edges have reported their calls
 */
public record ScaleObservation(
    PoolZone subject,
    int minCount,
    int maxCount,
    int slots,
    int present,
    int zones,
    double calls,
    boolean complete) {}
