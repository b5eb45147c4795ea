package applespindle.corelogic.dataplane;

import applespindle.corelogic.changefeed.SharedMetadataDigest;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.ConfigurationValidator;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.EdgeList;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.WorkerList;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.node.TraceLog;
import applespindle.corelogic.protocol.Message.ChangeFeedPoll;
import applespindle.corelogic.protocol.Message.KeyPosition;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The committed metadata as one node of the data plane knows it: the newest record of each key, and
 * the views that the node works by. Invariant: the sequence of a key never falls, so records that
 * arrive twice, late or from several sources are harmless.
 */
final class FollowedMetadata {
  private static final String LOG_PART = "feed";

  private final Environment environment;
  private final TraceLog traceLog;
  private final Map<String, MetadataRecord> records = new TreeMap<>();
  private final SharedMetadataDigest sharedDigest = new SharedMetadataDigest();
  private final Map<String, NodeRegistration> members = new TreeMap<>();
  private final Map<String, WorkerRegistration> workers = new TreeMap<>();
  private final Map<String, ShardAssignment> shards = new HashMap<>();

  /** The workers that came with the external list; replaced with it. */
  private List<String> listedWorkerIds = List.of();

  private List<String> listedEdges = List.of();
  private RoutingConfiguration configuration;

  FollowedMetadata(Environment environment, TraceLog traceLog) {
    this.environment = environment;
    this.traceLog = traceLog;
  }

  /** Stores a record; false if this or a newer one of its key is known. */
  boolean put(MetadataRecord metadataRecord) {
    MetadataRecord known = records.get(metadataRecord.key());
    if (known != null && known.sequence() >= metadataRecord.sequence()) {
      return false;
    }
    records.put(metadataRecord.key(), metadataRecord);
    sharedDigest.update(known, metadataRecord);
    return true;
  }

  /** Brings the view of the record's key up to date. */
  void updateView(MetadataRecord metadataRecord) {
    String key = metadataRecord.key();
    if (key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      updateMember(Json.read(metadataRecord.value(), NodeRegistration.class));
    } else if (key.startsWith(MetadataKeys.WORKER_PREFIX)) {
      updateWorker(Json.read(metadataRecord.value(), WorkerRegistration.class));
    } else if (key.equals(MetadataKeys.WORKER_LIST)) {
      replaceWorkerList(Json.read(metadataRecord.value(), WorkerList.class).workers());
    } else if (key.equals(MetadataKeys.EDGE_LIST)) {
      listedEdges = Json.read(metadataRecord.value(), EdgeList.class).addresses();
    } else if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      shards.put(key, Json.read(metadataRecord.value(), ShardAssignment.class));
    } else if (key.equals(MetadataKeys.CONFIGURATION)) {
      updateConfiguration(Json.read(metadataRecord.value(), SignedConfiguration.class));
    }
  }

  /** The membership of the control plane that a record holds; it is kept by the node itself. */
  QuorumMembership membershipIn(MetadataRecord metadataRecord) {
    return Json.read(metadataRecord.value(), QuorumMembership.class);
  }

  private void updateMember(NodeRegistration member) {
    if (member.live()) {
      members.put(member.id(), member);
    } else {
      members.remove(member.id());
    }
  }

  private void updateWorker(WorkerRegistration worker) {
    if (worker.state().equals(WorkerRegistration.GONE)) {
      workers.remove(worker.id());
    } else {
      workers.put(worker.id(), worker);
    }
  }

  private void replaceWorkerList(List<WorkerRegistration> listed) {
    listedWorkerIds.forEach(workers::remove);
    listed.forEach(worker -> workers.put(worker.id(), worker));
    listedWorkerIds = listed.stream().map(WorkerRegistration::id).toList();
  }

  /** A configuration that this version can't read leaves the present one in force. */
  private void updateConfiguration(SignedConfiguration signed) {
    ConfigurationValidator.ValidationResult validated =
        ConfigurationValidator.readCommitted(signed.bytes());
    if (validated.error() != null) {
      environment.log(
          LOG_PART,
          "Configuration " + signed.number() + " was skipped: " + validated.error().type() + ".");
      return;
    }
    configuration = validated.configuration();
    environment.log(LOG_PART, "Bundle " + configuration.number() + " is in force.");
    traceLog.add("in-force", MetadataKeys.CONFIGURATION, "number " + configuration.number());
  }

  /** Null until a configuration is known. */
  RoutingConfiguration configuration() {
    return configuration;
  }

  /** The live nodes by id. */
  Map<String, NodeRegistration> members() {
    return Collections.unmodifiableMap(members);
  }

  /** The workers by id, those that leave included. */
  Map<String, WorkerRegistration> workers() {
    return workers;
  }

  /** The shards by key. */
  Map<String, ShardAssignment> shards() {
    return Collections.unmodifiableMap(shards);
  }

  /** Peer addresses of the edges whose acknowledgements count. */
  List<String> listedEdges() {
    return listedEdges;
  }

  List<NodeRegistration> liveEdges() {
    return members.values().stream().filter(member -> member.role().equals("edge")).toList();
  }

  long sharedDigest() {
    return sharedDigest.value();
  }

  /** The sequence of a key's newest record; 0 if there is none. */
  long sequenceOf(String key) {
    MetadataRecord known = records.get(key);
    return known == null ? 0 : known.sequence();
  }

  /** Of the records that all nodes share, those that the sender of a poll may lack. */
  List<MetadataRecord> sharedRecordsFor(ChangeFeedPoll poll) {
    if (poll.sharedDigest() == sharedDigest.value()) {
      return List.of();
    }
    return records.values().stream()
        .filter(each -> SharedMetadataDigest.covers(each.key()) && !poll.holds(each))
        .toList();
  }

  /** The positions of all keys whose updates are acknowledged once they are in force. */
  List<KeyPosition> acknowledgedPositions() {
    return records.values().stream()
        .filter(each -> MetadataKeys.requiresEdgeAcknowledgement(each.key()))
        .map(each -> new KeyPosition(each.key(), each.sequence()))
        .toList();
  }
}
