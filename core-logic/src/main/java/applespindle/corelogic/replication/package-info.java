/**
 * Replicated logs, one for each key, in the manner of Raft: elections, the leader, the replicas and
 * the catch-up of joining replicas.
 *
 * <p>The leader's side. {@link applespindle.corelogic.replication.Elections} keeps the candidacies
 * of a node. Each is a {@link applespindle.corelogic.replication.ReplicatedLogLeader}, which first
 * runs an {@code Election} and then leads: {@code LeaderLog} holds its entries and commit position,
 * {@code LogReplicator} sends them and tracks each {@code FollowerProgress}, and {@code
 * CommitQueue} and {@code LeadershipConfirmations} hold the callers that wait. The leader's state
 * is in memory only.
 *
 * <p>The replicas' side. {@link applespindle.corelogic.replication.LogReplicas} is the entry to all
 * replicas of a node: {@code ReplicaStore} holds each {@link
 * applespindle.corelogic.replication.LogReplica} and writes its records to disk, {@code
 * VoteHandler} and {@code AppendHandler} answer candidates and leaders, and {@code
 * ReplicaConfigurationVersions} refuses messages of older configurations. {@link
 * applespindle.corelogic.replication.ReplicaCatchUp} fetches and serves the pages that {@code
 * SnapshotPages} makes for joining replicas.
 *
 * <p>Both sides share {@link applespindle.corelogic.replication.ReplicaConfiguration}, which says
 * who the replicas of a key are and what a quorum of them is.
 *
 * <p>What belongs here is whatever decides that an entry is committed, and nothing that depends on
 * what an entry means. Time, disk and network come from the {@code environment} package.
 *
 * <p>Invariants: at most one node commits entries under an epoch; an entry that a quorum has synced
 * and a leader has committed is never lost or replaced; a replica's promised epoch never falls; no
 * message leaves before the records that it depends on are synced.
 */
package applespindle.corelogic.replication;
