/**
 * Measurements of what the fleet costs as it grows: slopes in the simulator, real processes with
 * many simulated peers, and the sizes that follow from both.
 */
package applespindle.testfleet.capacity;
