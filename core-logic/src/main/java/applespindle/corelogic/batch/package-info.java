/**
 * Batches: the replicated state of a batch and its leader, and the edge's side that runs items at
 * workers. Invariant: an item has one result, which never changes.
 */
package applespindle.corelogic.batch;
