/**
 * Entries of a replicated log and records of a log on disk, with the epochs that order leaders.
 * Values only; what they are stored in belongs to the replication package and to the adapters.
 */
package applespindle.corelogic.log;
