package applespindle.corelogic.duty;

/**
 * How many workers a pool is to have in a zone.
 *
 * @param count the number of workers, within the bounds of the pool
 */
public record DesiredCount(String pool, String zone, int count) {}
