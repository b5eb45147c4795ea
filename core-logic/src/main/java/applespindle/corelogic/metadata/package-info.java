/**
 * The values that the control plane replicates, and the names of their keys in {@link
 * applespindle.corelogic.metadata.MetadataKeys}. The package holds immutable data only: how a value
 * changes is decided in the package {@code controlplane}.
 *
 * <p>{@link applespindle.corelogic.metadata.QuorumMembership} lists the control plane's own
 * members, {@link applespindle.corelogic.metadata.NodeRegistration} each node of the fleet, {@link
 * applespindle.corelogic.metadata.ShardAssignment} the storage nodes of each shard, {@link
 * applespindle.corelogic.metadata.EdgeList} the edges that form a quorum, {@link
 * applespindle.corelogic.metadata.SignedConfiguration} the routing configuration, and {@link
 * applespindle.corelogic.metadata.WorkerRegistration} a worker.
 *
 * <p>Invariants: the JSON form of the values is stored and sent between processes of different
 * versions. So JSON names and their order never change, and unknown fields are ignored. A Java name
 * that differs from its JSON name is mapped by an annotation.
 */
package applespindle.corelogic.metadata;
