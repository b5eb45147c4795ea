/** Fleets of real processes on this machine, with real traffic. */
package applespindle.testfleet.processes;
