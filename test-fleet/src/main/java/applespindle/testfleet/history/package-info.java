/**
 * What a run showed from outside: the events, and the emulated outputs in which a reader sees where
 * each piece comes from. It knows nothing of the nodes.
 */
package applespindle.testfleet.history;
