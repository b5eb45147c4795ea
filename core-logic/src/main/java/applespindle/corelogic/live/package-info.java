/**
 * Live requests at one edge: queueing, dispatch to workers, retries and the response's way back.
 * Requests are held in memory only.
 */
package applespindle.corelogic.live;
