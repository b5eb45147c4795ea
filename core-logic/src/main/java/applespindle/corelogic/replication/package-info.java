/**
 * Replicated logs, one for each key: elections, the leader, the replicas and their catch-up.
 * Invariant: at most one node commits under an epoch, and what a quorum has synced is never lost or
 * replaced.
 */
package applespindle.corelogic.replication;
