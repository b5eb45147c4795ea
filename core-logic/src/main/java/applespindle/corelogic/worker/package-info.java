/**
 * What one edge knows of the workers: load, outcomes, prompts kept, and the choice of a worker by
 * these. Owned by one edge; nothing here is replicated.
 */
package applespindle.corelogic.worker;
