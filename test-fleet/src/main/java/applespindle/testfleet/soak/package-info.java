/**
 * A soak: a fleet of real processes behind relays, under random kills, pauses, cuts, lost answers
 * and scarce processor time that overlap, judged from outside once all is healed.
 */
package applespindle.testfleet.soak;
