package applespindle.corelogic.dataplane;

import static applespindle.corelogic.metadata.WorkerRegistration.GONE;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.changefeed.SharedMetadataDigest;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.common.RendezvousHashing;
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
import applespindle.corelogic.metadata.WorkerList;
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
  private List<String> outsideWorkers = List.of();

  private final Map<String, ShardAssignment> shards = new HashMap<>();
  protected RoutingConfiguration bundle;
  private String feedId = "";
  private long feedIncarnation;
  private long feedNumber;
  private int chosenCore;

  /** The core's members in the order in which this node turns to them, and of which roster. */
  private List<QuorumMember> coreOrder = List.of();

  private QuorumMembership coreOrderOf;

  /** Whose turn it is among the fellows to be told what this node works by. */
  private int toldFellow;

  /** Whose turn it is among the members to be asked where the core is. */
  private int askedMember;

  private long lastHeardAt;

  /** On our clock: at this moment everything the core had acknowledged was known here. */
  private long freshAt = Long.MIN_VALUE / 2;

  private long joinedUntil = Long.MIN_VALUE / 2;

  /**
   * This process has had the core's own news, not only a fellow's. Before that it neither goes on
   * without the core nor counts for a fellow: an earlier process at its address may have confirmed
   * news that this one has not seen.
   */
  private boolean heardCore;

  private long coreHeardAt = Long.MIN_VALUE / 2;
  private List<String> listedEdges = List.of();

  /** By peer address of a fellow edge: when the question was sent that it last answered. */
  private final Map<String, Long> fellows = new HashMap<>();

  private boolean started;
  private long startedAt;

  /** A stopping node has given its grant up and must not ask for it again. */
  private boolean leaving;

  /** As told at the start, with what a running process may take over of newer ones. */
  protected NodeSettings bounds;

  /** Null after the members have changed, until it is asked for. */
  private BatchLeaderPlacement leaderPlacement;

  protected DataPlaneNode(Environment surroundings, NodeIdentity place, NodeSettings bounds) {
    super(surroundings, place);
    this.bounds = bounds;
  }

  @Override
  protected void boundsChanged(NodeSettings newer) {
    bounds = bounds.taking(newer);
  }

  @Override
  public void start() {
    started = true;
    startedAt = surroundings.now();
    lastHeardAt = startedAt;
    findCore();
    lookForCore();
    every(ChangeFeedConstants.POLL_INTERVAL_MS, this::followFeed);
    every(MembershipConstants.LEASE_RENEWAL_INTERVAL_MS, this::renewGrant);
    every(ChangeFeedConstants.NEAREST_SOURCE_CHECK_INTERVAL_MS, this::lookForNearCore);
    every(
        MembershipConstants.LEASE_DURATION_MS,
        () -> {
          if (surroundings.now() - coreHeardAt > ChangeFeedConstants.SOURCE_TIMEOUT_MS) {
            findCore();
          }
        });
  }

  /**
   * A node that has not heard the core can do nothing for anybody: it asks often, and a silent core
   * node not for long.
   */
  private void lookForCore() {
    surroundings.after(
        ChangeFeedConstants.INITIAL_POLL_INTERVAL_MS,
        () -> {
          if (!heardCore && !stopped()) {
            if (surroundings.now() - lastHeardAt > ChangeFeedConstants.INITIAL_SOURCE_TIMEOUT_MS
                && !roster.members().isEmpty()) {
              chosenCore++;
              lastHeardAt = surroundings.now();
            }
            followFeed();
            lookForCore();
          }
        });
  }

  /** The first roster: the feed and the grant are asked for at once. */
  @Override
  protected void learnRoster(QuorumMembership told) {
    boolean first = roster.members().isEmpty();
    super.learnRoster(told);
    if (started && first && !roster.members().isEmpty()) {
      lastHeardAt = surroundings.now();
      followFeed();
      renewGrant();
    }
  }

  /**
   * Seeds and members may be stale or down: all seeds and core nodes known are asked, and a few of
   * the members in turn, so that what a large fleet says meanwhile grows with its nodes only.
   */
  private void findCore() {
    List<NodeRegistration> known = List.copyOf(members.values());
    int asked = Math.min(ChangeFeedConstants.DISCOVERY_FANOUT, known.size());
    for (int count = 0; count < asked; count++) {
      NodeRegistration member = known.get(Math.floorMod(askedMember++, known.size()));
      send(member.peerAddress(), "", new QuorumDiscoveryRequest());
    }
    seeds.forEach(seed -> send(seed, "", new QuorumDiscoveryRequest()));
    roster
        .members()
        .forEach(member -> send(member.peerAddress(), member.id(), new QuorumDiscoveryRequest()));
  }

  private void followFeed() {
    if (roster.members().isEmpty()) {
      findCore();
      return;
    }
    if (surroundings.now() - lastHeardAt > ChangeFeedConstants.SOURCE_TIMEOUT_MS) {
      chosenCore++;
      lastHeardAt = surroundings.now();
    }
    QuorumMember core = chosenCore();
    send(core.peerAddress(), core.id(), follow(feedId, feedIncarnation, feedNumber));
    long unheardMs = Math.max(feedAge(), surroundings.now() - coreHeardAt);
    if (heardCore && unheardMs > ChangeFeedConstants.PEER_EDGE_POLL_AFTER_MS) {
      askFellows();
    }
  }

  /**
   * While the core is silent: every fellow for what it knows, as a majority of them decides whether
   * this node goes on; and a few in turn are told what this node works by, as one that reaches the
   * core is enough to hand it on.
   */
  private void askFellows() {
    List<String> addresses = fellowAddresses();
    addresses.forEach(address -> send(address, "", follow("", 0, 0)));
    int told = Math.min(ChangeFeedConstants.PEER_EDGES_NOTIFIED, addresses.size());
    for (int count = 0; count < told; count++) {
      tellKnown(List.of(addresses.get(Math.floorMod(toldFellow++, addresses.size()))));
    }
  }

  private ChangeFeedPoll follow(String coreId, long incarnation, long number) {
    MetadataRecord bundleItem = table.get(MetadataKeys.CONFIGURATION);
    return new ChangeFeedPoll(
        coreId,
        incarnation,
        number,
        surroundings.now(),
        sharedDigest.value(),
        bundleItem == null ? 0 : bundleItem.sequence());
  }

  private List<String> fellowAddresses() {
    Set<String> addresses = new TreeSet<>(listedEdges);
    liveEdges().forEach(member -> addresses.add(member.peerAddress()));
    addresses.remove(place.peerAddress());
    return List.copyOf(addresses);
  }

  private QuorumMember chosenCore() {
    List<QuorumMember> ordered = coreInOrder();
    return ordered.get(Math.floorMod(chosenCore, ordered.size()));
  }

  /**
   * One that had to turn to another zone's core member asks the nearest now and then, and follows
   * it from its answer on: meanwhile it goes on where it is.
   */
  private void lookForNearCore() {
    if (heardCore && !roster.members().isEmpty() && chosenCore() != coreInOrder().get(0)) {
      QuorumMember nearest = coreInOrder().get(0);
      send(nearest.peerAddress(), nearest.id(), follow("", 0, 0));
    }
  }

  /** Members of this node's zone first, so that what is asked all the time stays within it. */
  private List<QuorumMember> coreInOrder() {
    if (coreOrderOf != roster) {
      coreOrderOf = roster;
      Map<String, QuorumMember> byId = new HashMap<>();
      roster.members().forEach(member -> byId.put(member.id(), member));
      coreOrder =
          RendezvousHashing.order(place.id(), byId.keySet()).stream()
              .map(byId::get)
              .sorted(Comparator.comparing(member -> !member.zone().equals(place.zone())))
              .toList();
    }
    return coreOrder;
  }

  /** Tries the followed core node first, then the others in turn. */
  protected void askCore(
      String duty, String key, Object body, long expiryMs, Consumer<Response> then) {
    ask(
        attempt -> {
          if (roster.members().isEmpty()) {
            return null;
          }
          int chosen = Math.max(0, roster.members().indexOf(chosenCore()));
          QuorumMember member = roster.members().get((chosen + attempt) % roster.members().size());
          return new NodeAddress(member.id(), member.peerAddress());
        },
        duty,
        key,
        body,
        expiryMs,
        then);
  }

  private void renewGrant() {
    if (stopping || leaving || roster.members().isEmpty()) {
      return;
    }
    long sentAt = surroundings.now();
    var self =
        new NodeRegistration(
            place.id(),
            place.incarnation(),
            place.name(),
            place.zone(),
            place.role(),
            place.peerAddress(),
            place.httpAddress(),
            true,
            bounds.processorCores(),
            bounds.linkMegabits());
    askCore(
        "grant",
        MetadataKeys.MEMBER_PREFIX + place.id(),
        self,
        MembershipConstants.LEASE_DURATION_MS,
        response -> {
          if (response.good()) {
            joinedUntil = Math.max(joinedUntil, sentAt + MembershipConstants.LEASE_DURATION_MS);
          }
        });
  }

  protected boolean joined() {
    return surroundings.now() < joinedUntil;
  }

  /** Gives this node's place up at the core, so that others take its duties at once. */
  protected void leaveCore(Runnable whenDone) {
    leaving = true;
    if (roster.members().isEmpty()) {
      whenDone.run();
      return;
    }
    askCore(
        "leave",
        MetadataKeys.MEMBER_PREFIX + place.id(),
        new byte[] {'{', '}'},
        MembershipConstants.LEASE_DURATION_MS,
        response -> whenDone.run());
  }

  /** How long ago, at most, all that the core acknowledged was known here. */
  protected long feedAge() {
    return surroundings.now() - freshAt;
  }

  protected boolean feedStale() {
    return feedAge() > ChangeFeedConstants.STALE_AFTER_MS;
  }

  /**
   * Stale, and most of the listed edges silent too: this node is alone and must not begin anything.
   * If most of them, itself included, answer and are as stale, it is the core that is cut off, and
   * live traffic goes on. What a majority of the edges has confirmed is then known to one of them,
   * and with its answer here.
   */
  protected boolean isolated() {
    if (!feedStale()) {
      return false;
    }
    long now = surroundings.now();
    long reached =
        listedEdges.stream()
            .filter(
                address ->
                    address.equals(place.peerAddress())
                        || now - fellows.getOrDefault(address, Long.MIN_VALUE / 2)
                            < ChangeFeedConstants.PEER_EDGE_TIMEOUT_MS)
            .count();
    return !heardCore || reached * 2 <= listedEdges.size();
  }

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof ChangeFeedUpdate news) {
      news(news, fromAddress);
    } else if (message instanceof ChangeFeedPoll follow) {
      if (heardCore) {
        send(
            fromAddress,
            fromId,
            new ChangeFeedUpdate(
                place.id(),
                place.incarnation(),
                0,
                0,
                true,
                true,
                Math.max(0, feedAge()),
                follow.sentAt(),
                sharedItems(follow)));
      }
    } else if (message instanceof AppliedPositionsRequest) {
      tellKnown(List.of(fromAddress));
    } else if (message instanceof AppliedPositions known) {
      roster.members().forEach(member -> send(member.peerAddress(), member.id(), known));
    }
  }

  /** Of what fellows share, what this one may lack. */
  private List<MetadataRecord> sharedItems(ChangeFeedPoll follow) {
    return follow.sharedDigest() == sharedDigest.value()
        ? List.of()
        : table.values().stream()
            .filter(item -> SharedMetadataDigest.covers(item.key()) && !follow.holds(item))
            .toList();
  }

  /**
   * Says how far this edge knows what has to be in force. One that has not heard the core itself
   * says nothing.
   */
  private void tellKnown(List<String> addresses) {
    tellKnown(
        addresses,
        table.values().stream()
            .filter(item -> MetadataKeys.mustBeInForce(item.key()))
            .map(item -> new KeyPosition(item.key(), item.sequence()))
            .toList());
  }

  private void tellKnown(List<String> addresses, List<KeyPosition> places) {
    if (!heardCore || !place.role().equals("edge")) {
      return;
    }
    addresses.forEach(
        address -> send(address, "", new AppliedPositions(place.peerAddress(), places)));
  }

  private void news(ChangeFeedUpdate news, String fromAddress) {
    long now = surroundings.now();
    if (news.relayed()) {
      fellows.put(fromAddress, news.echoedAt());
    } else {
      boolean follows = news.coreId().equals(feedId) && news.incarnation() == feedIncarnation;
      if (!news.checkpoint() && !(follows && news.fromNumber() <= feedNumber)) {
        return;
      }
      if (news.ageMs() < MembershipConstants.QUORUM_PEER_TIMEOUT_MS) {
        lastHeardAt = now;
        followFrom(news.coreId());
      }
      feedNumber = follows ? Math.max(feedNumber, news.number()) : news.number();
      feedId = news.coreId();
      feedIncarnation = news.incarnation();
    }
    boolean unheard = !heardCore;
    List<KeyPosition> learned = new ArrayList<>();
    for (MetadataRecord item : news.items()) {
      MetadataRecord known = table.get(item.key());
      if (known == null || known.sequence() < item.sequence()) {
        table.put(item.key(), item);
        sharedDigest.replaced(known, item);
        fold(item);
        if (MetadataKeys.mustBeInForce(item.key())) {
          learned.add(new KeyPosition(item.key(), item.sequence()));
        }
      }
    }
    if (news.echoedAt() > 0) {
      freshAt = Math.max(freshAt, news.echoedAt() - news.ageMs());
      if (!news.relayed() && news.ageMs() < MembershipConstants.QUORUM_PEER_TIMEOUT_MS) {
        if (!heardCore) {
          heardCore = true;
          surroundings.log(
              PART, "The core's news is here, " + (now - startedAt) + " ms after the start.");
        }
        coreHeardAt = Math.max(coreHeardAt, news.echoedAt());
      }
    }
    if (unheard && heardCore) {
      firstNews();
    }
    List<String> core = roster.members().stream().map(QuorumMember::peerAddress).toList();
    if (unheard) {
      tellKnown(core);
    } else if (!learned.isEmpty()) {
      tellKnown(core, learned);
    }
  }

  private void fold(MetadataRecord item) {
    String key = item.key();
    journal.add("known", key, "sequence " + item.sequence());
    if (key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      leaderPlacement = null;
      NodeRegistration member = Json.read(item.value(), NodeRegistration.class);
      if (member.live()) {
        members.put(member.id(), member);
      } else {
        members.remove(member.id());
      }
    } else if (key.startsWith(MetadataKeys.WORKER_PREFIX)) {
      WorkerRegistration worker = Json.read(item.value(), WorkerRegistration.class);
      if (worker.state().equals(GONE)) {
        workers.remove(worker.id());
      } else {
        workers.put(worker.id(), worker);
      }
    } else if (key.equals(MetadataKeys.WORKER_LIST)) {
      outsideWorkers.forEach(workers::remove);
      List<WorkerRegistration> listed = Json.read(item.value(), WorkerList.class).workers();
      listed.forEach(worker -> workers.put(worker.id(), worker));
      outsideWorkers = listed.stream().map(WorkerRegistration::id).toList();
    } else if (key.equals(MetadataKeys.EDGE_LIST)) {
      listedEdges = Json.read(item.value(), EdgeList.class).addresses();
    } else if (key.equals(MetadataKeys.MEMBERSHIP)) {
      learnRoster(Json.read(item.value(), QuorumMembership.class));
    } else if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      shards.put(key, Json.read(item.value(), ShardAssignment.class));
    } else if (key.equals(MetadataKeys.CONFIGURATION)) {
      SignedConfiguration signed = Json.read(item.value(), SignedConfiguration.class);
      RoutingConfiguration.ValidationResult checked = RoutingConfiguration.kept(signed.bytes());
      if (checked.fault() == null) {
        bundle = checked.bundle();
        surroundings.log(PART, "Bundle " + bundle.number() + " is in force.");
        journal.add("in-force", "bundle", "number " + bundle.number());
      } else {
        surroundings.log(
            PART,
            "Bundle " + signed.number() + " was passed over: " + checked.fault().type() + ".");
      }
    }
    changed(key);
  }

  /** Questions go from here on to the core member whose feed this node's place is in. */
  private void followFrom(String coreId) {
    for (int index = 0; index < coreInOrder().size(); index++) {
      if (coreInOrder().get(index).id().equals(coreId)) {
        chosenCore = index;
      }
    }
  }

  /** Called once the first news of the core itself are folded. */
  protected void firstNews() {}

  /** This process is new and may have the core's news in a moment. */
  protected boolean starting() {
    return !heardCore && surroundings.now() - startedAt < LifecycleConstants.MAX_STARTUP_MS;
  }

  /** Called after the view of a key has changed. */
  protected void changed(String key) {}

  protected List<NodeRegistration> liveEdges() {
    return members.values().stream().filter(member -> member.role().equals("edge")).toList();
  }

  /** Where batches are led, by the edges that are live now. */
  protected BatchLeaderPlacement leaderPlacement() {
    if (leaderPlacement == null) {
      leaderPlacement = new BatchLeaderPlacement(bounds.replicas(), liveEdges());
    }
    return leaderPlacement;
  }

  /** The replica sets of the shard a key belongs to; none while the shard has none. */
  protected ReplicaConfiguration setsOf(String key) {
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
    return joined() ? notServingBecause() : "no grant from the core";
  }

  /** Empty when all news that serving takes are here, else which are not. */
  protected String notServingBecause() {
    if (feedStale()) {
      return "the feed is stale";
    }
    return bundle == null ? "no bundle in force" : shards.isEmpty() ? "no shards placed" : "";
  }

  @Override
  public ObjectNode status() {
    ObjectNode status = commonStatus();
    status
        .put("feedCore", feedId)
        .put("feedNumber", feedNumber)
        .put("feedAgeMs", Math.min(feedAge(), Integer.MAX_VALUE))
        .put("bundle", bundle == null ? 0 : bundle.number())
        .put("joined", joined())
        .put("isolated", isolated());
    return status;
  }
}
