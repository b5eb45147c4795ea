/**
 * The logic of every role, pure and driven by events: replicated keys with their leaders and terms,
 * membership, configurations, the worker registry, live requests and batches. No I/O, threads or
 * clock; all of these come through {@link applespindle.corelogic.Surroundings}. Callbacks run one
 * at a time.
 */
package applespindle.corelogic;
