/**
 * The control plane: a quorum of processes that keeps the fleet's metadata in replicated logs, one
 * log for each key, and publishes every committed change.
 *
 * <p>Here belongs what a control plane process does as the leader of keys, and how it is assembled.
 * Elections and logs belong to {@code replication}, contact between the members to {@code
 * membership}, and publishing to {@code changefeed}.
 *
 * <p>{@link applespindle.corelogic.controlplane.ControlPlaneNode} assembles a process. A command
 * goes from {@code CommandSender} at the process that received it through {@code CommandRouter} to
 * the leader of its key, whose {@code ControlManagers} dispatches it to one manager; {@code
 * CommandResponder} sends the response. {@code PeerMessageHandler} passes the messages of other
 * processes on. {@code LedKeys} owns the led keys with their state ({@code LedKey}). Each manager
 * owns the keys of one kind:
 *
 * <ul>
 *   <li>{@code QuorumMembershipManager}: the members of the quorum
 *   <li>{@code MemberLeaseManager}: the leases of edges, data nodes and storage nodes
 *   <li>{@code EdgeListManager}, with {@code EdgeListPolicy}: the edges whose acknowledgements
 *       count
 *   <li>{@code ConfigurationManager}: the configuration
 *   <li>{@code WorkerRegistrationManager} and {@code WorkerListSynchronizer}: the workers
 *   <li>{@code BatchCapacityManager}, with {@code BatchCapacityLedger} and {@code
 *       CapacityReleaseRate}: the capacity for batch items
 *   <li>{@code ShardReplicaManager}, with {@code ShardPlacement}, {@code ShardRepairPolicy} and
 *       {@code ShardBalancer}: the replica sets of the shards
 *   <li>{@code StorageDrainManager}, with {@code DrainPlanner}: the states of the storage nodes
 * </ul>
 *
 * <p>{@code StorageNodeDirectory}, {@code ShardHealth} and {@code MetadataView} only read the
 * committed metadata.
 *
 * <p>Invariants: a command runs only at a leader that is in contact with a majority, and gets one
 * response; a response that reports a change is sent only after the change is committed; an event
 * other than those of the batch capacity key is a complete value, and one manager alone writes it.
 */
package applespindle.corelogic.controlplane;
