/**
 * Soak tests: a fleet of real processes behind relays, under overlapping kills, pauses, network
 * faults, lost responses and scarce processor time, checked from outside once all is healed.
 */
package applespindle.testfleet.soak;
