package applespindle.corelogic.dataplane;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.metadata.EdgeList;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.WorkerList;
import applespindle.corelogic.metadata.WorkerRegistration;
import java.util.List;

/**
 * Prepares the readers of the records that the change feed carries. Jackson builds the reader of a
 * type at its first use, which costs about as much processor time as all else that a new process
 * does between its first update and its first request. A process that waits for its first update
 * can have them built meanwhile.
 *
 * <p>Has no state of its own; safe for use by any thread, beside readers in use.
 */
public final class MetadataReaders {
  /** Each type that {@link FollowedMetadata} reads, in the order in which they are needed. */
  private static final List<Class<?>> TYPES =
      List.of(
          QuorumMembership.class,
          NodeRegistration.class,
          SignedConfiguration.class,
          RoutingConfiguration.class,
          EdgeList.class,
          ShardAssignment.class,
          WorkerList.class,
          WorkerRegistration.class);

  private MetadataReaders() {}

  /** Builds all readers that are not built yet; returns when they are. */
  public static void prepare() {
    TYPES.forEach(Json.JSON::readerFor);
  }
}
