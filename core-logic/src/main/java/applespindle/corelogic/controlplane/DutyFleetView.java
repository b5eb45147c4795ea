package applespindle.corelogic.controlplane;

import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.changefeed.UpdateAcknowledgements;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.RoutingConfiguration.Pool;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.WorkerList;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What the inputs of the duties need of the committed metadata. The configuration and the list of
 * workers are decoded once for each of their values.
 */
final class DutyFleetView {
  private final MetadataTable table;
  private MetadataRecord configurationRecord;
  private RoutingConfiguration configuration;
  private MetadataRecord workersRecord;
  private List<WorkerRegistration> workers = List.of();

  DutyFleetView(MetadataTable table) {
    this.table = table;
  }

  /** Ids of the edges that hold a lease. */
  Set<String> liveEdgeIds() {
    return table.live("edge").stream().map(NodeRegistration::id).collect(Collectors.toSet());
  }

  /** How many edges are live, or listed as those whose acknowledgements count. */
  int expectedEdges() {
    int listed = UpdateAcknowledgements.KnownEdges.of(table).listed().size();
    return Math.max(table.live("edge").size(), listed);
  }

  /** Whether requests can belong to a tenant. */
  boolean hasTenants() {
    RoutingConfiguration current = configuration();
    return current != null && current.tenants() != null && !current.tenants().isEmpty();
  }

  /** The pools of the configuration in force; empty if there is none. */
  Map<String, Pool> pools() {
    RoutingConfiguration current = configuration();
    return current == null ? Map.of() : current.pools();
  }

  private RoutingConfiguration configuration() {
    MetadataRecord newest = table.get(MetadataKeys.CONFIGURATION);
    if (newest != configurationRecord) {
      configurationRecord = newest;
      SignedConfiguration signed = Json.read(newest.value(), SignedConfiguration.class);
      configuration = Json.read(signed.bytes(), RoutingConfiguration.class);
    }
    return configuration;
  }

  /** The workers of the external list. */
  List<WorkerRegistration> workers() {
    MetadataRecord newest = table.get(MetadataKeys.WORKER_LIST);
    if (newest != workersRecord) {
      workersRecord = newest;
      workers = Json.read(newest.value(), WorkerList.class).workers();
    }
    return workers;
  }
}
