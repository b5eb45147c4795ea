/**
 * What every process has: its identity, requests to other processes with retries, and the trace of
 * what happened in it. A request's callback runs exactly once.
 */
package applespindle.corelogic.node;
