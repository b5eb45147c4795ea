/**
 * Whole fleets under test. From the bottom up: {@code history} is what a run showed from outside,
 * {@code checker} judges it; {@code deployment}, {@code simulation} and {@code clients} are the
 * simulated fleet; {@code scenario} runs scenario files on it; {@code dispatch} emulates the choice
 * of workers; {@code processes}, {@code soak} and {@code capacity} run real processes; {@code ci}
 * judges reports. A package uses only those before it, which {@code PackageLayersTest} demands.
 */
package applespindle.testfleet;
