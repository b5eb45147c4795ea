/**
 * Whole fleets under test: a seeded simulator with workers, clients, operators and faults, scenario
 * files that it runs, the checkers that judge what was seen from outside, and fleets of real
 * processes.
 */
package applespindle.testfleet;
