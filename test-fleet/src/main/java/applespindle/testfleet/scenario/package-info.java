/**
 * The language of scenario files, its faults and operations, and the runs that are judged. A new
 * fault is a verb in {@link applespindle.testfleet.scenario.ScenarioActions} or one of the classes
 * that it asks.
 */
package applespindle.testfleet.scenario;
