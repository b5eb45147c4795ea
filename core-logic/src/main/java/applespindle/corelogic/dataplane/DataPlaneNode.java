package applespindle.corelogic.dataplane;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.ChangeFeedConstants;
import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppliedPositions;
import applespindle.corelogic.protocol.Message.AppliedPositionsRequest;
import applespindle.corelogic.protocol.Message.ChangeFeedPoll;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.Message.KeyPosition;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import applespindle.corelogic.protocol.Message.QuorumDiscoveryRequest;
import applespindle.corelogic.protocol.Operation;
import applespindle.corelogic.replication.ReplicaConfiguration;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * A process of the data plane: it finds the control plane by its seeds, holds a lease there,
 * follows the change feed, and reports what it has applied.
 *
 * <p>Invariant: before the first update that comes from the control plane itself, and not only from
 * a peer edge, the node neither works without the control plane nor confirms anything. An earlier
 * process at its address may have acknowledged updates that this one has not seen.
 */
public abstract class DataPlaneNode extends Node {
  private static final String LOG_PART = "feed";
  private static final String EDGE_ROLE = "edge";
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final FollowedMetadata metadata;
  private final FeedSource feedSource;
  private final PeerEdges peerEdges;
  private final MembershipLease lease;

  /** As given at the start, with what may be reloaded as it was given last. */
  protected NodeSettings settings;

  private boolean started;
  private long startedAt;

  /** When the last fresh update came from the present feed source, or when that was chosen. */
  private long lastSourceContactAt;

  /** The latest time, on this node's clock, at which every acknowledged update was known here. */
  private long upToDateAt = NEVER;

  /** Whether an update came from the control plane itself since the start. */
  private boolean receivedFromControlPlane;

  private long lastControlPlaneContactAt = NEVER;

  /** Index of the node of the data plane that gets the next discovery request. */
  private int nextDiscoveryTarget;

  /** Computed when it is needed; null after the members have changed. */
  private BatchLeaderPlacement leaderPlacement;

  protected DataPlaneNode(Environment environment, NodeIdentity identity, NodeSettings settings) {
    super(environment, identity);
    this.settings = settings;
    this.metadata = new FollowedMetadata(environment, traceLog);
    this.feedSource = new FeedSource(identity, () -> membership);
    this.peerEdges = new PeerEdges(identity.peerAddress());
    this.lease = new MembershipLease(environment, identity, this::requestControlPlane);
  }

  @Override
  protected void settingsChanged(NodeSettings newer) {
    settings = settings.withReloadable(newer);
  }

  @Override
  public void start() {
    started = true;
    startedAt = environment.nowMs();
    lastSourceContactAt = startedAt;
    discoverControlPlane();
    pollUntilFirstUpdate();
    repeatEvery(ChangeFeedConstants.POLL_INTERVAL_MS, this::pollFeed);
    repeatEvery(MembershipConstants.LEASE_RENEWAL_INTERVAL_MS, this::renewLease);
    repeatEvery(ChangeFeedConstants.NEAREST_SOURCE_CHECK_INTERVAL_MS, this::probePreferredSource);
    repeatEvery(MembershipConstants.LEASE_DURATION_MS, this::discoverControlPlaneAfterTimeout);
  }

  // ---- finding the control plane

  private void discoverControlPlaneAfterTimeout() {
    if (environment.nowMs() - lastControlPlaneContactAt > ChangeFeedConstants.SOURCE_TIMEOUT_MS) {
      discoverControlPlane();
    }
  }

  /**
   * Sends discovery requests to all seeds and all known control plane members, any of which may be
   * stale or down, and to a few of the other nodes in turn: the number of messages grows only in
   * proportion to the nodes of the fleet.
   */
  private void discoverControlPlane() {
    List<NodeRegistration> known = List.copyOf(members().values());
    int asked = Math.min(ChangeFeedConstants.DISCOVERY_FANOUT, known.size());
    for (int count = 0; count < asked; count++) {
      NodeRegistration member = known.get(Math.floorMod(nextDiscoveryTarget++, known.size()));
      send(member.peerAddress(), "", new QuorumDiscoveryRequest());
    }
    seeds.forEach(seed -> send(seed, "", new QuorumDiscoveryRequest()));
    membership
        .members()
        .forEach(member -> send(member.peerAddress(), member.id(), new QuorumDiscoveryRequest()));
  }

  /** Called with the first membership: polls the feed and requests the lease immediately. */
  @Override
  protected void learnMembership(QuorumMembership learned) {
    boolean first = membership.members().isEmpty();
    super.learnMembership(learned);
    if (started && first && !membership.members().isEmpty()) {
      lastSourceContactAt = environment.nowMs();
      pollFeed();
      renewLease();
    }
  }

  /** Sends a request to the control plane: to the followed member first, then to others in turn. */
  public void requestControlPlane(
      Operation operation, String key, Object body, long expiryMs, Consumer<Response> callback) {
    sendRequest(this::controlPlaneMember, operation, key, body, expiryMs, callback);
  }

  /** Null while no member is known. */
  private NodeAddress controlPlaneMember(int attempt) {
    List<QuorumMember> controlPlane = membership.members();
    if (controlPlane.isEmpty()) {
      return null;
    }
    int first = Math.max(0, controlPlane.indexOf(feedSource.member()));
    QuorumMember member = controlPlane.get((first + attempt) % controlPlane.size());
    return new NodeAddress(member.id(), member.peerAddress());
  }

  // ---- the lease

  private void renewLease() {
    if (!stopping && !lease.isReleased() && !membership.members().isEmpty()) {
      lease.renew(settings);
    }
  }

  protected boolean hasLease() {
    return lease.isValid();
  }

  /** Ends this node's lease, so that others take over its work at once. */
  protected void releaseLease(Runnable whenDone) {
    lease.stopRenewing();
    if (membership.members().isEmpty()) {
      whenDone.run();
      return;
    }
    lease.release(whenDone);
  }

  // ---- polling the feed

  /**
   * Polls at a short interval until the first update, without which the node cannot serve, and
   * switches sooner to another control plane member if one does not answer.
   */
  private void pollUntilFirstUpdate() {
    environment.schedule(
        ChangeFeedConstants.INITIAL_POLL_INTERVAL_MS,
        () -> {
          if (!receivedFromControlPlane && !isTerminated()) {
            if (!membership.members().isEmpty()) {
              switchSourceAfter(ChangeFeedConstants.INITIAL_SOURCE_TIMEOUT_MS);
            }
            pollFeed();
            pollUntilFirstUpdate();
          }
        });
  }

  private void switchSourceAfter(long timeoutMs) {
    if (environment.nowMs() - lastSourceContactAt > timeoutMs) {
      feedSource.chooseNext();
      lastSourceContactAt = environment.nowMs();
    }
  }

  private void pollFeed() {
    if (membership.members().isEmpty()) {
      discoverControlPlane();
      return;
    }
    switchSourceAfter(ChangeFeedConstants.SOURCE_TIMEOUT_MS);
    QuorumMember source = feedSource.member();
    send(
        source.peerAddress(),
        source.id(),
        poll(feedSource.sourceId(), feedSource.incarnation(), feedSource.position()));
    long silentMs = Math.max(feedAge(), environment.nowMs() - lastControlPlaneContactAt);
    if (receivedFromControlPlane && silentMs > ChangeFeedConstants.PEER_EDGE_POLL_AFTER_MS) {
      pollPeerEdges();
    }
  }

  private ChangeFeedPoll poll(String sourceId, long incarnation, long position) {
    return new ChangeFeedPoll(
        sourceId,
        incarnation,
        position,
        environment.nowMs(),
        metadata.sharedDigest(),
        metadata.sequenceOf(MetadataKeys.CONFIGURATION));
  }

  private ChangeFeedPoll pollForSnapshot() {
    return poll("", 0, 0);
  }

  /**
   * Polls every peer edge while the control plane does not answer, because this node may then begin
   * new work only if it reaches a majority of the listed edges. A few of them in turn also get this
   * node's positions, which an edge that reaches the control plane forwards.
   */
  private void pollPeerEdges() {
    List<String> addresses = peerEdgeAddresses();
    addresses.forEach(address -> send(address, "", pollForSnapshot()));
    peerEdges.nextToNotify(addresses).forEach(address -> reportApplied(List.of(address)));
  }

  private List<String> peerEdgeAddresses() {
    Set<String> addresses = new TreeSet<>(metadata.listedEdges());
    liveEdges().forEach(member -> addresses.add(member.peerAddress()));
    addresses.remove(identity.peerAddress());
    return List.copyOf(addresses);
  }

  /**
   * Polls the preferred member at long intervals while this node follows one of another zone; the
   * preferred one is followed again as soon as it answers.
   */
  private void probePreferredSource() {
    if (receivedFromControlPlane
        && !membership.members().isEmpty()
        && feedSource.member() != feedSource.preferredMember()) {
      QuorumMember preferred = feedSource.preferredMember();
      send(preferred.peerAddress(), preferred.id(), pollForSnapshot());
    }
  }

  // ---- updates

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof ChangeFeedUpdate update) {
      handleUpdate(update, fromAddress);
    } else if (message instanceof ChangeFeedPoll poll) {
      handlePoll(poll, fromId, fromAddress);
    } else if (message instanceof AppliedPositionsRequest) {
      reportApplied(List.of(fromAddress));
    } else if (message instanceof AppliedPositions positions) {
      membership.members().forEach(member -> send(member.peerAddress(), member.id(), positions));
    }
  }

  /** Responds to a peer edge that has no contact with the control plane. */
  private void handlePoll(ChangeFeedPoll poll, String fromId, String fromAddress) {
    if (!receivedFromControlPlane) {
      return;
    }
    send(
        fromAddress,
        fromId,
        new ChangeFeedUpdate(
            identity.id(),
            identity.incarnation(),
            0,
            0,
            true,
            true,
            Math.max(0, feedAge()),
            poll.sentAt(),
            metadata.sharedRecordsFor(poll)));
  }

  private void handleUpdate(ChangeFeedUpdate update, String fromAddress) {
    if (update.relayed()) {
      peerEdges.recordAnswer(fromAddress, update.echoedAt());
    } else if (!advanceFeed(update)) {
      return;
    }
    boolean first = !receivedFromControlPlane;
    List<KeyPosition> applied = applyRecords(update.records());
    updateFreshness(update);
    if (first && receivedFromControlPlane) {
      firstUpdateApplied();
    }
    List<String> controlPlane =
        membership.members().stream().map(QuorumMember::peerAddress).toList();
    if (first) {
      reportApplied(controlPlane);
    } else if (!applied.isEmpty()) {
      reportApplied(controlPlane, applied);
    }
  }

  /** False if the update does not continue what is known of its feed. */
  private boolean advanceFeed(ChangeFeedUpdate update) {
    if (!feedSource.accepts(update)) {
      return false;
    }
    boolean fresh = isFresh(update);
    if (fresh) {
      lastSourceContactAt = environment.nowMs();
    }
    feedSource.advance(update, fresh);
    return true;
  }

  private static boolean isFresh(ChangeFeedUpdate update) {
    return update.ageMs() < MembershipConstants.QUORUM_PEER_TIMEOUT_MS;
  }

  /** Applies the newer records; returns the positions of those whose updates are acknowledged. */
  private List<KeyPosition> applyRecords(List<MetadataRecord> records) {
    List<KeyPosition> applied = new ArrayList<>();
    for (MetadataRecord metadataRecord : records) {
      if (!metadata.put(metadataRecord)) {
        continue;
      }
      apply(metadataRecord);
      if (MetadataKeys.requiresEdgeAcknowledgement(metadataRecord.key())) {
        applied.add(new KeyPosition(metadataRecord.key(), metadataRecord.sequence()));
      }
    }
    return applied;
  }

  private void apply(MetadataRecord metadataRecord) {
    String key = metadataRecord.key();
    traceLog.add("known", key, "sequence " + metadataRecord.sequence());
    if (key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      leaderPlacement = null;
    }
    if (key.equals(MetadataKeys.MEMBERSHIP)) {
      learnMembership(metadata.membershipIn(metadataRecord));
    } else {
      metadata.updateView(metadataRecord);
    }
    metadataChanged(key);
  }

  private void updateFreshness(ChangeFeedUpdate update) {
    if (update.echoedAt() <= 0) {
      return;
    }
    upToDateAt = Math.max(upToDateAt, update.echoedAt() - update.ageMs());
    if (update.relayed() || !isFresh(update)) {
      return;
    }
    if (!receivedFromControlPlane) {
      receivedFromControlPlane = true;
      long tookMs = environment.nowMs() - startedAt;
      environment.log(LOG_PART, "First update applied " + tookMs + " ms after the start.");
    }
    lastControlPlaneContactAt = Math.max(lastControlPlaneContactAt, update.echoedAt());
  }

  private void reportApplied(List<String> addresses) {
    reportApplied(addresses, metadata.acknowledgedPositions());
  }

  /** Reports the applied positions, but not before the first update of the control plane itself. */
  private void reportApplied(List<String> addresses, List<KeyPosition> positions) {
    if (!receivedFromControlPlane || !identity.role().equals(EDGE_ROLE)) {
      return;
    }
    addresses.forEach(
        address -> send(address, "", new AppliedPositions(identity.peerAddress(), positions)));
  }

  // ---- freshness

  /** The longest time, in milliseconds, for which an acknowledged update may be unknown here. */
  public long feedAge() {
    return environment.nowMs() - upToDateAt;
  }

  protected boolean isFeedStale() {
    return feedAge() > ChangeFeedConstants.STALE_AFTER_MS;
  }

  /**
   * Whether this node must not begin new work: its metadata is stale, and it does not reach a
   * majority of the listed edges. If it does reach one, the control plane is cut off, and live
   * traffic continues: every acknowledged update is known to an edge of that majority, and through
   * its response to this node.
   */
  public boolean isIsolated() {
    return isFeedStale()
        && (!receivedFromControlPlane
            || !peerEdges.reachesMajority(metadata.listedEdges(), environment.nowMs()));
  }

  /** Whether this process is new and may receive its first update in a moment. */
  protected boolean isStarting() {
    return !receivedFromControlPlane
        && environment.nowMs() - startedAt < LifecycleConstants.MAX_STARTUP_MS;
  }

  // ---- for subclasses

  /** Called once, when the first update of the control plane itself was applied. */
  protected void firstUpdateApplied() {}

  /** Called after the view of a key has changed. */
  protected void metadataChanged(String key) {}

  /** The configuration in force here; null until one is known. */
  protected RoutingConfiguration currentConfiguration() {
    return metadata.configuration();
  }

  /** The live nodes of the data plane by id. */
  public Map<String, NodeRegistration> members() {
    return metadata.members();
  }

  /** The workers by id. */
  public Map<String, WorkerRegistration> workers() {
    return metadata.workers();
  }

  public List<NodeRegistration> liveEdges() {
    return metadata.liveEdges();
  }

  /** The shards by key. */
  protected Map<String, ShardAssignment> shards() {
    return metadata.shards();
  }

  /** Which of the live edges lead batches. */
  public BatchLeaderPlacement leaderPlacement() {
    if (leaderPlacement == null) {
      leaderPlacement = new BatchLeaderPlacement(settings.replicas(), liveEdges());
    }
    return leaderPlacement;
  }

  /** The replicas of the shard that a key belongs to; none while the shard has none. */
  public ReplicaConfiguration replicaConfigurationOf(String key) {
    ShardAssignment shard = shards().get(MetadataKeys.shardOf(key));
    return shard == null ? ReplicaConfiguration.NONE : ReplicaConfiguration.of(shard);
  }

  // ---- readiness and status

  @Override
  public String notReadyReason() {
    if (stopping) {
      return "stopping";
    }
    return hasLease() ? notServingReason() : "no grant from the core";
  }

  /** Empty if all metadata that serving takes is here, else what is missing. */
  protected String notServingReason() {
    if (isFeedStale()) {
      return "the feed is stale";
    }
    if (currentConfiguration() == null) {
      return "no bundle in force";
    }
    return shards().isEmpty() ? "no shards placed" : "";
  }

  @Override
  public ObjectNode status() {
    RoutingConfiguration current = currentConfiguration();
    return commonStatus()
        .put("feedCore", feedSource.sourceId())
        .put("feedNumber", feedSource.position())
        .put("feedAgeMs", Math.min(feedAge(), Integer.MAX_VALUE))
        .put("bundle", current == null ? 0 : current.number())
        .put("joined", hasLease())
        .put("isolated", isIsolated());
  }
}
