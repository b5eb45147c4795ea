package applespindle.corelogic;

import static applespindle.corelogic.Records.Worker.GONE;

import applespindle.corelogic.Message.FeedFollow;
import applespindle.corelogic.Message.FeedItem;
import applespindle.corelogic.Message.FeedNews;
import applespindle.corelogic.Message.KeyPlace;
import applespindle.corelogic.Message.KeysAsked;
import applespindle.corelogic.Message.KeysKnown;
import applespindle.corelogic.Message.WhereIsCore;
import applespindle.corelogic.Records.CoreMember;
import applespindle.corelogic.Records.EdgeList;
import applespindle.corelogic.Records.ListedWorkers;
import applespindle.corelogic.Records.Member;
import applespindle.corelogic.Records.Roster;
import applespindle.corelogic.Records.Shard;
import applespindle.corelogic.Records.SignedBundle;
import applespindle.corelogic.Records.Worker;
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
public abstract class DataNode extends Node {
  private static final String PART = "feed";

  /**
   * Newest value known for each key. Sequences never fall, so repeats, switches and reordering are
   * harmless.
   */
  private final Map<String, FeedItem> table = new TreeMap<>();

  private final SharedDigest sharedDigest = new SharedDigest();

  /** Views folded from the table. */
  protected final Map<String, Member> members = new TreeMap<>();

  protected final Map<String, Worker> workers = new TreeMap<>();

  /** Those of them that are on the outside list. */
  private List<String> outsideWorkers = List.of();

  private final Map<String, Shard> shards = new HashMap<>();
  protected Bundle bundle;
  private String feedId = "";
  private long feedIncarnation;
  private long feedNumber;
  private int chosenCore;

  /** The core's members in the order in which this node turns to them, and of which roster. */
  private List<CoreMember> coreOrder = List.of();

  private Roster coreOrderOf;

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
  protected Bounds bounds;

  /** Null after the members have changed, until it is asked for. */
  private LeaderPlacement leaderPlacement;

  protected DataNode(Surroundings surroundings, Place place, Bounds bounds) {
    super(surroundings, place);
    this.bounds = bounds;
  }

  @Override
  protected void boundsChanged(Bounds newer) {
    bounds = bounds.taking(newer);
  }

  @Override
  public void start() {
    started = true;
    startedAt = surroundings.now();
    lastHeardAt = startedAt;
    findCore();
    lookForCore();
    every(Constants.FEED_POLL_MS, this::followFeed);
    every(Constants.GRANT_RENEW_MS, this::renewGrant);
    every(Constants.NEAR_CORE_MS, this::lookForNearCore);
    every(
        Constants.GRANT_LENGTH_MS,
        () -> {
          if (surroundings.now() - coreHeardAt > Constants.FEED_SWITCH_MS) {
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
        Constants.FEED_FIRST_MS,
        () -> {
          if (!heardCore && !stopped()) {
            if (surroundings.now() - lastHeardAt > Constants.FEED_FIRST_SWITCH_MS
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
  protected void learnRoster(Roster told) {
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
    List<Member> known = List.copyOf(members.values());
    int asked = Math.min(Constants.MEMBERS_ASKED, known.size());
    for (int count = 0; count < asked; count++) {
      Member member = known.get(Math.floorMod(askedMember++, known.size()));
      send(member.peerAddress(), "", new WhereIsCore());
    }
    seeds.forEach(seed -> send(seed, "", new WhereIsCore()));
    roster.members().forEach(member -> send(member.peerAddress(), member.id(), new WhereIsCore()));
  }

  private void followFeed() {
    if (roster.members().isEmpty()) {
      findCore();
      return;
    }
    if (surroundings.now() - lastHeardAt > Constants.FEED_SWITCH_MS) {
      chosenCore++;
      lastHeardAt = surroundings.now();
    }
    CoreMember core = chosenCore();
    send(core.peerAddress(), core.id(), follow(feedId, feedIncarnation, feedNumber));
    long unheardMs = Math.max(feedAge(), surroundings.now() - coreHeardAt);
    if (heardCore && unheardMs > Constants.FELLOWS_ASKED_AFTER_MS) {
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
    int told = Math.min(Constants.FELLOWS_TOLD, addresses.size());
    for (int count = 0; count < told; count++) {
      tellKnown(List.of(addresses.get(Math.floorMod(toldFellow++, addresses.size()))));
    }
  }

  private FeedFollow follow(String coreId, long incarnation, long number) {
    FeedItem bundleItem = table.get(MetadataKeys.CONFIGURATION);
    return new FeedFollow(
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

  private CoreMember chosenCore() {
    List<CoreMember> ordered = coreInOrder();
    return ordered.get(Math.floorMod(chosenCore, ordered.size()));
  }

  /**
   * One that had to turn to another zone's core member asks the nearest now and then, and follows
   * it from its answer on: meanwhile it goes on where it is.
   */
  private void lookForNearCore() {
    if (heardCore && !roster.members().isEmpty() && chosenCore() != coreInOrder().get(0)) {
      CoreMember nearest = coreInOrder().get(0);
      send(nearest.peerAddress(), nearest.id(), follow("", 0, 0));
    }
  }

  /** Members of this node's zone first, so that what is asked all the time stays within it. */
  private List<CoreMember> coreInOrder() {
    if (coreOrderOf != roster) {
      coreOrderOf = roster;
      Map<String, CoreMember> byId = new HashMap<>();
      roster.members().forEach(member -> byId.put(member.id(), member));
      coreOrder =
          Rendezvous.order(place.id(), byId.keySet()).stream()
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
          CoreMember member = roster.members().get((chosen + attempt) % roster.members().size());
          return new Target(member.id(), member.peerAddress());
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
        new Member(
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
        Constants.GRANT_LENGTH_MS,
        response -> {
          if (response.good()) {
            joinedUntil = Math.max(joinedUntil, sentAt + Constants.GRANT_LENGTH_MS);
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
        Constants.GRANT_LENGTH_MS,
        response -> whenDone.run());
  }

  /** How long ago, at most, all that the core acknowledged was known here. */
  protected long feedAge() {
    return surroundings.now() - freshAt;
  }

  protected boolean feedStale() {
    return feedAge() > Constants.FEED_STALE_MS;
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
                            < Constants.FELLOW_HEARD_MS)
            .count();
    return !heardCore || reached * 2 <= listedEdges.size();
  }

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof FeedNews news) {
      news(news, fromAddress);
    } else if (message instanceof FeedFollow follow) {
      if (heardCore) {
        send(
            fromAddress,
            fromId,
            new FeedNews(
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
    } else if (message instanceof KeysAsked) {
      tellKnown(List.of(fromAddress));
    } else if (message instanceof KeysKnown known) {
      roster.members().forEach(member -> send(member.peerAddress(), member.id(), known));
    }
  }

  /** Of what fellows share, what this one may lack. */
  private List<FeedItem> sharedItems(FeedFollow follow) {
    return follow.sharedDigest() == sharedDigest.value()
        ? List.of()
        : table.values().stream()
            .filter(item -> SharedDigest.covers(item.key()) && !follow.holds(item))
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
            .map(item -> new KeyPlace(item.key(), item.sequence()))
            .toList());
  }

  private void tellKnown(List<String> addresses, List<KeyPlace> places) {
    if (!heardCore || !place.role().equals("edge")) {
      return;
    }
    addresses.forEach(address -> send(address, "", new KeysKnown(place.peerAddress(), places)));
  }

  private void news(FeedNews news, String fromAddress) {
    long now = surroundings.now();
    if (news.relayed()) {
      fellows.put(fromAddress, news.echoedAt());
    } else {
      boolean follows = news.coreId().equals(feedId) && news.incarnation() == feedIncarnation;
      if (!news.checkpoint() && !(follows && news.fromNumber() <= feedNumber)) {
        return;
      }
      if (news.ageMs() < Constants.CORE_SILENT_MS) {
        lastHeardAt = now;
        followFrom(news.coreId());
      }
      feedNumber = follows ? Math.max(feedNumber, news.number()) : news.number();
      feedId = news.coreId();
      feedIncarnation = news.incarnation();
    }
    boolean unheard = !heardCore;
    List<KeyPlace> learned = new ArrayList<>();
    for (FeedItem item : news.items()) {
      FeedItem known = table.get(item.key());
      if (known == null || known.sequence() < item.sequence()) {
        table.put(item.key(), item);
        sharedDigest.replaced(known, item);
        fold(item);
        if (MetadataKeys.mustBeInForce(item.key())) {
          learned.add(new KeyPlace(item.key(), item.sequence()));
        }
      }
    }
    if (news.echoedAt() > 0) {
      freshAt = Math.max(freshAt, news.echoedAt() - news.ageMs());
      if (!news.relayed() && news.ageMs() < Constants.CORE_SILENT_MS) {
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
    List<String> core = roster.members().stream().map(CoreMember::peerAddress).toList();
    if (unheard) {
      tellKnown(core);
    } else if (!learned.isEmpty()) {
      tellKnown(core, learned);
    }
  }

  private void fold(FeedItem item) {
    String key = item.key();
    journal.add("known", key, "sequence " + item.sequence());
    if (key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      leaderPlacement = null;
      Member member = Json.read(item.value(), Member.class);
      if (member.live()) {
        members.put(member.id(), member);
      } else {
        members.remove(member.id());
      }
    } else if (key.startsWith(MetadataKeys.WORKER_PREFIX)) {
      Worker worker = Json.read(item.value(), Worker.class);
      if (worker.state().equals(GONE)) {
        workers.remove(worker.id());
      } else {
        workers.put(worker.id(), worker);
      }
    } else if (key.equals(MetadataKeys.WORKER_LIST)) {
      outsideWorkers.forEach(workers::remove);
      List<Worker> listed = Json.read(item.value(), ListedWorkers.class).workers();
      listed.forEach(worker -> workers.put(worker.id(), worker));
      outsideWorkers = listed.stream().map(Worker::id).toList();
    } else if (key.equals(MetadataKeys.EDGE_LIST)) {
      listedEdges = Json.read(item.value(), EdgeList.class).addresses();
    } else if (key.equals(MetadataKeys.MEMBERSHIP)) {
      learnRoster(Json.read(item.value(), Roster.class));
    } else if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      shards.put(key, Json.read(item.value(), Shard.class));
    } else if (key.equals(MetadataKeys.CONFIGURATION)) {
      SignedBundle signed = Json.read(item.value(), SignedBundle.class);
      Bundle.Checked checked = Bundle.kept(signed.bytes());
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
    return !heardCore && surroundings.now() - startedAt < Constants.START_LONGEST_MS;
  }

  /** Called after the view of a key has changed. */
  protected void changed(String key) {}

  protected List<Member> liveEdges() {
    return members.values().stream().filter(member -> member.role().equals("edge")).toList();
  }

  /** Where batches are led, by the edges that are live now. */
  protected LeaderPlacement leaderPlacement() {
    if (leaderPlacement == null) {
      leaderPlacement = new LeaderPlacement(bounds.replicas(), liveEdges());
    }
    return leaderPlacement;
  }

  /** The replica sets of the shard a key belongs to; none while the shard has none. */
  protected ReplicaSets setsOf(String key) {
    Shard shard = shards.get(MetadataKeys.shardOf(key));
    return shard == null ? ReplicaSets.NONE : ReplicaSets.of(shard);
  }

  protected Map<String, Shard> shards() {
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
