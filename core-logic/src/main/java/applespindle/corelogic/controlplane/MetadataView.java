package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.changefeed.MetadataFreshness;
import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.changefeed.UpdateAcknowledgements;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.WorkerListVersion;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Describes the committed metadata as this process knows it, for operators and the platform. It
 * owns no state. Invariant: it only reads, and a view that may be out of date carries its age.
 */
final class MetadataView {
  private final MetadataTable table;
  private final MetadataFreshness freshness;

  MetadataView(MetadataTable table, MetadataFreshness freshness) {
    this.table = table;
    this.freshness = freshness;
  }

  /** The listed workers, the version of their list, and the age of the metadata in milliseconds. */
  WorkerListView workers() {
    List<JsonNode> workers = new ArrayList<>();
    table
        .withPrefix(MetadataKeys.WORKER_PREFIX)
        .map(metadataRecord -> Json.tree(metadataRecord.value()))
        .filter(worker -> !worker.path("state").asText().equals(WorkerRegistration.GONE))
        .forEach(workers::add);
    if (table.has(MetadataKeys.WORKER_LIST)) {
      Json.tree(table.get(MetadataKeys.WORKER_LIST).value()).path("workers").forEach(workers::add);
    }
    MetadataRecord version = table.get(MetadataKeys.WORKER_LIST_VERSION);
    long number =
        version == null ? 0 : Json.read(version.value(), WorkerListVersion.class).version();
    return new WorkerListView(workers, number, freshness.ageMs());
  }

  /** Ids of the workers that were registered one by one and are not gone. */
  List<String> workerIds() {
    return table
        .withPrefix(MetadataKeys.WORKER_PREFIX)
        .map(metadataRecord -> Json.read(metadataRecord.value(), WorkerRegistration.class))
        .filter(worker -> !worker.state().equals(WorkerRegistration.GONE))
        .map(WorkerRegistration::id)
        .toList();
  }

  /** Adds members, workers, edges, the configuration's number and shards to a status. */
  void describe(ObjectNode status) {
    ArrayNode members = status.putArray("members");
    table.live().forEach(member -> members.add(JSON.<JsonNode>valueToTree(member)));
    status.putArray("workers").addAll(workers().workers());
    ArrayNode edges = status.putArray("edges");
    UpdateAcknowledgements.KnownEdges.of(table).listed().forEach(edges::add);
    MetadataRecord configuration = table.get(MetadataKeys.CONFIGURATION);
    status.put(
        "bundle",
        configuration == null
            ? 0
            : Json.read(configuration.value(), SignedConfiguration.class).number());
    ObjectNode shards = status.putObject("shards");
    table
        .withPrefix(MetadataKeys.SHARD_PREFIX)
        .forEach(
            metadataRecord ->
                shards.set(
                    metadataRecord.key().substring(MetadataKeys.SHARD_PREFIX.length()),
                    Json.tree(metadataRecord.value())));
  }
}
