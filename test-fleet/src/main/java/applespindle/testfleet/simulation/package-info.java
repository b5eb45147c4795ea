/**
 * The simulator: real nodes on simulated time, with simulated network, disks, processors, workers
 * and platform. The ports of the logic are implemented here.
 */
package applespindle.testfleet.simulation;
