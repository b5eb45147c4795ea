package applespindle.corelogic.dataplane;

import static applespindle.corelogic.metadata.WorkerRegistration.GONE;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.changefeed.SharedMetadataDigest;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.configuration.ConfigurationValidator;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.ChangeFeedConstants;
import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.EdgeList;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.WorkerListSource;
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
import applespindle.corelogic.replication.ReplicaConfiguration;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * A data-plane process: finds the core by its seeds, holds a grant there, and follows the feed from
 * a place on.
 */
public abstract class DataPlaneNode extends Node {
  private static final String PART = "feed";

  /**
   * Newest value known for each key. Sequences never fall, so repeats, switches and reordering are
   * harmless.
   */
  private final Map<String, MetadataRecord> table = new TreeMap<>();

  private final SharedMetadataDigest sharedDigest = new SharedMetadataDigest();

  /** Views folded from the table. */
  protected final Map<String, NodeRegistration> members = new TreeMap<>();

  protected final Map<String, WorkerRegistration> workers = new TreeMap<>();

  /** Those of them that are on the outside list. */
  private List<String> listedWorkerIds = List.of();

  private final Map<String, ShardAssignment> shards = new HashMap<>();
  protected RoutingConfiguration configuration;
  private String feedId = "";
  private long feedIncarnation;
  private long feedPosition;
  private int feedSourceIndex;

  /** The core's members in the order in which this node turns to them, and of which roster. */
  private List<QuorumMember> feedSourceOrder = List.of();

  private QuorumMembership feedSourceOrderOf;

  /** Whose turn it is among the fellows to be told what this node works by. */
  private int nextNotifiedPeerEdge;

  /** Whose turn it is among the members to be asked where the core is. */
  private int nextAskedMember;

  private long lastHeardAt;

  /** On our clock: at this moment everything the core had acknowledged was known here. */
  private long upToDateAt = Long.MIN_VALUE / 2;

  private long leaseUntil = Long.MIN_VALUE / 2;

  /**
   * This process has had the core's own news, not only a fellow's. Before that it neither goes on
   * without the core nor counts for a fellow: an earlier process at its address may have confirmed
   * news that this one has not seen.
   */
  private boolean receivedFromControlPlane;

  private long controlPlaneHeardAt = Long.MIN_VALUE / 2;
  private List<String> listedEdges = List.of();

  /** By peer address of a fellow edge: when the question was sent that it last answered. */
  private final Map<String, Long> peerEdgesHeardAt = new HashMap<>();

  private boolean started;
  private long startedAt;

  /** A stopping node has given its grant up and must not ask for it again. */
  private boolean leaving;

  /** As told at the start, with what a running process may take over of newer ones. */
  protected NodeSettings settings;

  /** Null after the members have changed, until it is asked for. */
  private BatchLeaderPlacement leaderPlacement;

  protected DataPlaneNode(Environment environment, NodeIdentity identity, NodeSettings settings) {
    super(environment, identity);
    this.settings = settings;
  }

  @Override
  protected void settingsChanged(NodeSettings newer) {
    settings = settings.withReloadable(newer);
  }

  @Override
  public void start() {
    started = true;
    startedAt = environment.nowMs();
    lastHeardAt = startedAt;
    discoverControlPlane();
    pollUntilFirstUpdate();
    repeatEvery(ChangeFeedConstants.POLL_INTERVAL_MS, this::pollFeed);
    repeatEvery(MembershipConstants.LEASE_RENEWAL_INTERVAL_MS, this::renewLease);
    repeatEvery(ChangeFeedConstants.NEAREST_SOURCE_CHECK_INTERVAL_MS, this::probeNearestFeedSource);
    repeatEvery(
        MembershipConstants.LEASE_DURATION_MS,
        () -> {
          if (environment.nowMs() - controlPlaneHeardAt > ChangeFeedConstants.SOURCE_TIMEOUT_MS) {
            discoverControlPlane();
          }
        });
  }

  /**
   * A node that has not heard the core can do nothing for anybody: it asks often, and a silent core
   * node not for long.
   */
  private void pollUntilFirstUpdate() {
    environment.schedule(
        ChangeFeedConstants.INITIAL_POLL_INTERVAL_MS,
        () -> {
          if (!receivedFromControlPlane && !isTerminated()) {
            if (environment.nowMs() - lastHeardAt > ChangeFeedConstants.INITIAL_SOURCE_TIMEOUT_MS
                && !membership.members().isEmpty()) {
              feedSourceIndex++;
              lastHeardAt = environment.nowMs();
            }
            pollFeed();
            pollUntilFirstUpdate();
          }
        });
  }

  /** The first roster: the feed and the grant are asked for at once. */
  @Override
  protected void learnMembership(QuorumMembership learned) {
    boolean first = membership.members().isEmpty();
    super.learnMembership(learned);
    if (started && first && !membership.members().isEmpty()) {
      lastHeardAt = environment.nowMs();
      pollFeed();
      renewLease();
    }
  }

  /**
   * Seeds and members may be stale or down: all seeds and core nodes known are asked, and a few of
   * the members in turn, so that what a large fleet says meanwhile grows with its nodes only.
   */
  private void discoverControlPlane() {
    List<NodeRegistration> known = List.copyOf(members.values());
    int asked = Math.min(ChangeFeedConstants.DISCOVERY_FANOUT, known.size());
    for (int count = 0; count < asked; count++) {
      NodeRegistration member = known.get(Math.floorMod(nextAskedMember++, known.size()));
      send(member.peerAddress(), "", new QuorumDiscoveryRequest());
    }
    seeds.forEach(seed -> send(seed, "", new QuorumDiscoveryRequest()));
    membership
        .members()
        .forEach(member -> send(member.peerAddress(), member.id(), new QuorumDiscoveryRequest()));
  }

  private void pollFeed() {
    if (membership.members().isEmpty()) {
      discoverControlPlane();
      return;
    }
    if (environment.nowMs() - lastHeardAt > ChangeFeedConstants.SOURCE_TIMEOUT_MS) {
      feedSourceIndex++;
      lastHeardAt = environment.nowMs();
    }
    QuorumMember core = feedSource();
    send(core.peerAddress(), core.id(), feedPoll(feedId, feedIncarnation, feedPosition));
    long unheardMs = Math.max(feedAge(), environment.nowMs() - controlPlaneHeardAt);
    if (receivedFromControlPlane && unheardMs > ChangeFeedConstants.PEER_EDGE_POLL_AFTER_MS) {
      pollPeerEdges();
    }
  }

  /**
   * While the core is silent: every fellow for what it knows, as a majority of them decides whether
   * this node goes on; and a few in turn are told what this node works by, as one that reaches the
   * core is enough to hand it on.
   */
  private void pollPeerEdges() {
    List<String> addresses = peerEdgeAddresses();
    addresses.forEach(address -> send(address, "", feedPoll("", 0, 0)));
    int told = Math.min(ChangeFeedConstants.PEER_EDGES_NOTIFIED, addresses.size());
    for (int count = 0; count < told; count++) {
      reportApplied(
          List.of(addresses.get(Math.floorMod(nextNotifiedPeerEdge++, addresses.size()))));
    }
  }

  private ChangeFeedPoll feedPoll(String coreId, long incarnation, long number) {
    MetadataRecord bundleItem = table.get(MetadataKeys.CONFIGURATION);
    return new ChangeFeedPoll(
        coreId,
        incarnation,
        number,
        environment.nowMs(),
        sharedDigest.value(),
        bundleItem == null ? 0 : bundleItem.sequence());
  }

  private List<String> peerEdgeAddresses() {
    Set<String> addresses = new TreeSet<>(listedEdges);
    liveEdges().forEach(member -> addresses.add(member.peerAddress()));
    addresses.remove(identity.peerAddress());
    return List.copyOf(addresses);
  }

  private QuorumMember feedSource() {
    List<QuorumMember> ordered = feedSourcesInOrder();
    return ordered.get(Math.floorMod(feedSourceIndex, ordered.size()));
  }

  /**
   * One that had to turn to another zone's core member asks the nearest now and then, and follows
   * it from its answer on: meanwhile it goes on where it is.
   */
  private void probeNearestFeedSource() {
    if (receivedFromControlPlane
        && !membership.members().isEmpty()
        && feedSource() != feedSourcesInOrder().get(0)) {
      QuorumMember nearest = feedSourcesInOrder().get(0);
      send(nearest.peerAddress(), nearest.id(), feedPoll("", 0, 0));
    }
  }

  /** Members of this node's zone first, so that what is asked all the time stays within it. */
  private List<QuorumMember> feedSourcesInOrder() {
    if (feedSourceOrderOf != membership) {
      feedSourceOrderOf = membership;
      Map<String, QuorumMember> byId = new HashMap<>();
      membership.members().forEach(member -> byId.put(member.id(), member));
      feedSourceOrder =
          RendezvousHashing.order(identity.id(), byId.keySet()).stream()
              .map(byId::get)
              .sorted(Comparator.comparing(member -> !member.zone().equals(identity.zone())))
              .toList();
    }
    return feedSourceOrder;
  }

  /** Tries the followed core node first, then the others in turn. */
  protected void requestControlPlane(
      String operation, String key, Object body, long expiryMs, Consumer<Response> then) {
    sendRequest(
        attempt -> {
          if (membership.members().isEmpty()) {
            return null;
          }
          int chosen = Math.max(0, membership.members().indexOf(feedSource()));
          QuorumMember member =
              membership.members().get((chosen + attempt) % membership.members().size());
          return new NodeAddress(member.id(), member.peerAddress());
        },
        operation,
        key,
        body,
        expiryMs,
        then);
  }

  private void renewLease() {
    if (stopping || leaving || membership.members().isEmpty()) {
      return;
    }
    long sentAt = environment.nowMs();
    var self =
        new NodeRegistration(
            identity.id(),
            identity.incarnation(),
            identity.name(),
            identity.zone(),
            identity.role(),
            identity.peerAddress(),
            identity.httpAddress(),
            true,
            settings.processorCores(),
            settings.linkMegabits());
    requestControlPlane(
        "grant",
        MetadataKeys.MEMBER_PREFIX + identity.id(),
        self,
        MembershipConstants.LEASE_DURATION_MS,
        response -> {
          if (response.isSuccess()) {
            leaseUntil = Math.max(leaseUntil, sentAt + MembershipConstants.LEASE_DURATION_MS);
          }
        });
  }

  protected boolean hasLease() {
    return environment.nowMs() < leaseUntil;
  }

  /** Gives this node's place up at the core, so that others take its duties at once. */
  protected void releaseLease(Runnable whenDone) {
    leaving = true;
    if (membership.members().isEmpty()) {
      whenDone.run();
      return;
    }
    requestControlPlane(
        "leave",
        MetadataKeys.MEMBER_PREFIX + identity.id(),
        new byte[] {'{', '}'},
        MembershipConstants.LEASE_DURATION_MS,
        response -> whenDone.run());
  }

  /** How long ago, at most, all that the core acknowledged was known here. */
  protected long feedAge() {
    return environment.nowMs() - upToDateAt;
  }

  protected boolean isFeedStale() {
    return feedAge() > ChangeFeedConstants.STALE_AFTER_MS;
  }

  /**
   * Stale, and most of the listed edges silent too: this node is alone and must not begin anything.
   * If most of them, itself included, answer and are as stale, it is the core that is cut off, and
   * live traffic goes on. What a majority of the edges has confirmed is then known to one of them,
   * and with its answer here.
   */
  protected boolean isIsolated() {
    if (!isFeedStale()) {
      return false;
    }
    long now = environment.nowMs();
    long reached =
        listedEdges.stream()
            .filter(
                address ->
                    address.equals(identity.peerAddress())
                        || now - peerEdgesHeardAt.getOrDefault(address, Long.MIN_VALUE / 2)
                            < ChangeFeedConstants.PEER_EDGE_TIMEOUT_MS)
            .count();
    return !receivedFromControlPlane || reached * 2 <= listedEdges.size();
  }

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof ChangeFeedUpdate update) {
      handleUpdate(update, fromAddress);
    } else if (message instanceof ChangeFeedPoll poll) {
      if (receivedFromControlPlane) {
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
                sharedItems(poll)));
      }
    } else if (message instanceof AppliedPositionsRequest) {
      reportApplied(List.of(fromAddress));
    } else if (message instanceof AppliedPositions known) {
      membership.members().forEach(member -> send(member.peerAddress(), member.id(), known));
    }
  }

  /** Of what fellows share, what this one may lack. */
  private List<MetadataRecord> sharedItems(ChangeFeedPoll poll) {
    return poll.sharedDigest() == sharedDigest.value()
        ? List.of()
        : table.values().stream()
            .filter(
                metadataRecord ->
                    SharedMetadataDigest.covers(metadataRecord.key())
                        && !poll.holds(metadataRecord))
            .toList();
  }

  /**
   * Says how far this edge knows what has to be in force. One that has not heard the core itself
   * says nothing.
   */
  private void reportApplied(List<String> addresses) {
    reportApplied(
        addresses,
        table.values().stream()
            .filter(metadataRecord -> MetadataKeys.mustBeInForce(metadataRecord.key()))
            .map(metadataRecord -> new KeyPosition(metadataRecord.key(), metadataRecord.sequence()))
            .toList());
  }

  private void reportApplied(List<String> addresses, List<KeyPosition> places) {
    if (!receivedFromControlPlane || !identity.role().equals("edge")) {
      return;
    }
    addresses.forEach(
        address -> send(address, "", new AppliedPositions(identity.peerAddress(), places)));
  }

  private void handleUpdate(ChangeFeedUpdate update, String fromAddress) {
    long now = environment.nowMs();
    if (update.relayed()) {
      peerEdgesHeardAt.put(fromAddress, update.echoedAt());
    } else {
      boolean follows = update.sourceId().equals(feedId) && update.incarnation() == feedIncarnation;
      if (!update.snapshot() && !(follows && update.fromPosition() <= feedPosition)) {
        return;
      }
      if (update.ageMs() < MembershipConstants.QUORUM_PEER_TIMEOUT_MS) {
        lastHeardAt = now;
        switchFeedSource(update.sourceId());
      }
      feedPosition = follows ? Math.max(feedPosition, update.position()) : update.position();
      feedId = update.sourceId();
      feedIncarnation = update.incarnation();
    }
    boolean unheard = !receivedFromControlPlane;
    List<KeyPosition> learned = new ArrayList<>();
    for (MetadataRecord metadataRecord : update.records()) {
      MetadataRecord known = table.get(metadataRecord.key());
      if (known == null || known.sequence() < metadataRecord.sequence()) {
        table.put(metadataRecord.key(), metadataRecord);
        sharedDigest.update(known, metadataRecord);
        apply(metadataRecord);
        if (MetadataKeys.mustBeInForce(metadataRecord.key())) {
          learned.add(new KeyPosition(metadataRecord.key(), metadataRecord.sequence()));
        }
      }
    }
    if (update.echoedAt() > 0) {
      upToDateAt = Math.max(upToDateAt, update.echoedAt() - update.ageMs());
      if (!update.relayed() && update.ageMs() < MembershipConstants.QUORUM_PEER_TIMEOUT_MS) {
        if (!receivedFromControlPlane) {
          receivedFromControlPlane = true;
          environment.log(
              PART, "The core's news is here, " + (now - startedAt) + " ms after the start.");
        }
        controlPlaneHeardAt = Math.max(controlPlaneHeardAt, update.echoedAt());
      }
    }
    if (unheard && receivedFromControlPlane) {
      firstUpdateApplied();
    }
    List<String> core = membership.members().stream().map(QuorumMember::peerAddress).toList();
    if (unheard) {
      reportApplied(core);
    } else if (!learned.isEmpty()) {
      reportApplied(core, learned);
    }
  }

  private void apply(MetadataRecord metadataRecord) {
    String key = metadataRecord.key();
    traceLog.add("known", key, "sequence " + metadataRecord.sequence());
    if (key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      leaderPlacement = null;
      NodeRegistration member = Json.read(metadataRecord.value(), NodeRegistration.class);
      if (member.live()) {
        members.put(member.id(), member);
      } else {
        members.remove(member.id());
      }
    } else if (key.startsWith(MetadataKeys.WORKER_PREFIX)) {
      WorkerRegistration worker = Json.read(metadataRecord.value(), WorkerRegistration.class);
      if (worker.state().equals(GONE)) {
        workers.remove(worker.id());
      } else {
        workers.put(worker.id(), worker);
      }
    } else if (key.equals(MetadataKeys.WORKER_LIST)) {
      listedWorkerIds.forEach(workers::remove);
      List<WorkerRegistration> listed =
          Json.read(metadataRecord.value(), WorkerListSource.class).workers();
      listed.forEach(worker -> workers.put(worker.id(), worker));
      listedWorkerIds = listed.stream().map(WorkerRegistration::id).toList();
    } else if (key.equals(MetadataKeys.EDGE_LIST)) {
      listedEdges = Json.read(metadataRecord.value(), EdgeList.class).addresses();
    } else if (key.equals(MetadataKeys.MEMBERSHIP)) {
      learnMembership(Json.read(metadataRecord.value(), QuorumMembership.class));
    } else if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      shards.put(key, Json.read(metadataRecord.value(), ShardAssignment.class));
    } else if (key.equals(MetadataKeys.CONFIGURATION)) {
      SignedConfiguration signed = Json.read(metadataRecord.value(), SignedConfiguration.class);
      ConfigurationValidator.ValidationResult checked =
          ConfigurationValidator.readCommitted(signed.bytes());
      if (checked.error() == null) {
        configuration = checked.configuration();
        environment.log(PART, "Bundle " + configuration.number() + " is in force.");
        traceLog.add("in-force", "bundle", "number " + configuration.number());
      } else {
        environment.log(
            PART,
            "Bundle " + signed.number() + " was passed over: " + checked.error().type() + ".");
      }
    }
    metadataChanged(key);
  }

  /** Questions go from here on to the core member whose feed this node's place is in. */
  private void switchFeedSource(String coreId) {
    for (int index = 0; index < feedSourcesInOrder().size(); index++) {
      if (feedSourcesInOrder().get(index).id().equals(coreId)) {
        feedSourceIndex = index;
      }
    }
  }

  /** Called once the first news of the core itself are folded. */
  protected void firstUpdateApplied() {}

  /** This process is new and may have the core's news in a moment. */
  protected boolean isStarting() {
    return !receivedFromControlPlane
        && environment.nowMs() - startedAt < LifecycleConstants.MAX_STARTUP_MS;
  }

  /** Called after the view of a key has changed. */
  protected void metadataChanged(String key) {}

  protected List<NodeRegistration> liveEdges() {
    return members.values().stream().filter(member -> member.role().equals("edge")).toList();
  }

  /** Where batches are led, by the edges that are live now. */
  protected BatchLeaderPlacement leaderPlacement() {
    if (leaderPlacement == null) {
      leaderPlacement = new BatchLeaderPlacement(settings.replicas(), liveEdges());
    }
    return leaderPlacement;
  }

  /** The replica sets of the shard a key belongs to; none while the shard has none. */
  protected ReplicaConfiguration replicaConfigurationOf(String key) {
    ShardAssignment shard = shards.get(MetadataKeys.shardOf(key));
    return shard == null ? ReplicaConfiguration.NONE : ReplicaConfiguration.of(shard);
  }

  protected Map<String, ShardAssignment> shards() {
    return shards;
  }

  @Override
  public String notReadyBecause() {
    if (stopping) {
      return "stopping";
    }
    return hasLease() ? notServingBecause() : "no grant from the core";
  }

  /** Empty when all news that serving takes are here, else which are not. */
  protected String notServingBecause() {
    if (isFeedStale()) {
      return "the feed is stale";
    }
    return configuration == null
        ? "no bundle in force"
        : shards.isEmpty() ? "no shards placed" : "";
  }

  @Override
  public ObjectNode status() {
    ObjectNode status = commonStatus();
    status
        .put("feedCore", feedId)
        .put("feedNumber", feedPosition)
        .put("feedAgeMs", Math.min(feedAge(), Integer.MAX_VALUE))
        .put("bundle", configuration == null ? 0 : configuration.number())
        .put("joined", hasLease())
        .put("isolated", isIsolated());
    return status;
  }
}
