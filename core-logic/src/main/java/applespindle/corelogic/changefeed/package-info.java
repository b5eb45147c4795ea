/**
 * The feed by which committed metadata reaches every process, its freshness, and the
 * acknowledgement of updates once they are in force. Sequences of a key never fall.
 */
package applespindle.corelogic.changefeed;
