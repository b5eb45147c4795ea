/** Storage nodes: replicas of batches and the claims of once-ids. */
package applespindle.corelogic.storage;
