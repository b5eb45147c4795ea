/**
 * The ports of a process: time, timers, network, disk, workers, randomness and logging, as the
 * logic sees them. Every call and callback is on the node's one logic thread.
 */
package applespindle.corelogic.environment;
