package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;

import applespindle.corelogic.BatchEvent.Accepted;
import applespindle.corelogic.Bundle.Route;
import applespindle.corelogic.Message.Ask;
import applespindle.corelogic.Message.AskProgress;
import applespindle.corelogic.Message.BatchEnded;
import applespindle.corelogic.Message.KeyAppended;
import applespindle.corelogic.Message.KeyHandOver;
import applespindle.corelogic.Message.KeyLogPart;
import applespindle.corelogic.Message.KeyPromised;
import applespindle.corelogic.Message.RangeHandout;
import applespindle.corelogic.Message.RangePull;
import applespindle.corelogic.Message.RangeReport;
import applespindle.corelogic.Message.RangeReported;
import applespindle.corelogic.Message.Unfinished;
import applespindle.corelogic.Message.WorkOffer;
import applespindle.corelogic.Message.WorkerLoads;
import applespindle.corelogic.OwnedKey.Claim;
import applespindle.corelogic.Records.Member;
import applespindle.corelogic.Records.Worker;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The data plane's edge role: live requests, the batch interface, and the leader's and feeder's
 * duties.
 */
public final class EdgeNode extends DataNode
    implements BatchLeader.Edge, BatchFeeder.Edge, LiveDesk.Edge, OpaqueGateway {
  private static final String PART = "edge";

  private final WorkerBook book;
  private final LiveDesk live;
  private final OpaqueDesk opaque;
  private final BatchFeeder feeder;
  private final BatchIntake intake;
  private final SubmissionWarmUp warmUp;
  private final SubmissionsInWork submissionsInWork = new SubmissionsInWork();
  private final OpenSubmissions submissions = new OpenSubmissions();
  private boolean stopAnnounced;

  /** Of the bundle in force. */
  private RouteTable routes = RouteTable.EMPTY;

  /** Requests that came before the core's first news; in their order. */
  private final List<Early> early = new ArrayList<>();

  private Consumer<Bundle> whenBundleChanges = unheard -> {};
  private final Map<String, BatchLeader> leaders = new TreeMap<>();
  private final KeyClaims claims;

  /**
   * When each batch is due on our clock, as its leader last offered it. The log knows a batch's age
   * only up to its last event; a successor that lost the rest would hand out a batch that waited
   * long after younger ones.
   */
  private final Map<String, Long> dueAtOfBatch =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > Constants.DUE_KEPT;
        }
      };

  /**
   * Who said last that it leads a batch. Only a hint: whoever is asked finds the true leader by the
   * replicas.
   */
  private final Map<String, Target> leaderOfBatch =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Target> eldest) {
          return size() > Constants.DUE_KEPT;
        }
      };

  /** By worker, the edge that feeds it; forgotten whenever the members or the workers change. */
  private final Map<String, String> feederOfWorker = new HashMap<>();

  public EdgeNode(Surroundings surroundings, Place place) {
    this(surroundings, place, Bounds.DEFAULT);
  }

  public EdgeNode(Surroundings surroundings, Place place, Bounds bounds) {
    this(surroundings, place, bounds, BatchFormat.OWN);
  }

  public EdgeNode(Surroundings surroundings, Place place, Bounds bounds, BatchFormat format) {
    super(surroundings, place, bounds);
    intake = new BatchIntake(format);
    warmUp = new SubmissionWarmUp(surroundings, place, format, intake);
    claims = new KeyClaims(surroundings, place.id(), this::send, this::setsOf, this::begin);
    book = new WorkerBook(surroundings, this::pump);
    book.whenBegan(new PeerLoads(surroundings, book, this::zonePeers, this::send)::began);
    live = new LiveDesk(surroundings, place.id(), this, book);
    opaque = new OpaqueDesk(surroundings, place.zone(), this, book);
    feeder = new BatchFeeder(surroundings, place.id(), this, book);
  }

  @Override
  public void start() {
    super.start();
    every(Constants.LOAD_POLL_MS, this::tick);
  }

  /** The other live edges of this one's zone, which mostly send to the same workers. */
  private List<Member> zonePeers() {
    return liveEdges().stream()
        .filter(member -> member.zone().equals(place.zone()) && !member.id().equals(place.id()))
        .toList();
  }

  private void pump() {
    live.pump();
    feeder.pump();
  }

  private void tick() {
    for (BatchLeader leader : List.copyOf(leaders.values())) {
      if (leader.tick()) {
        leader.key.stop();
        leaders.remove(leader.key.key);
        leader.lost();
      }
    }
    submissions
        .overdue(surroundings.now())
        .forEach(batch -> violated(Invariant.SUBMISSION_ANSWERED_IN_TIME, batch));
    feeder.tick();
    live.tick();
    warmUpWhenIdle();
  }

  /** Not before this edge is a member: only then is it known whether it is to lead batches. */
  private void warmUpWhenIdle() {
    boolean idle =
        leaders.isEmpty()
            && opaque.openRequests() == 0
            && feeder.runningItems() == 0
            && live.runningRequests() == 0;
    if (!idle || bundle == null || stopping || !members.containsKey(place.id())) {
      return;
    }
    boolean leads = leaderPlacement().mayLead(place.id());
    if (!warmUp.done(leads)) {
      warmUp.round(bundle, leads);
    }
  }

  @Override
  protected void changed(String key) {
    if (key.startsWith(MetadataKeys.WORKER_PREFIX) || key.equals(MetadataKeys.WORKER_LIST)) {
      feederOfWorker.clear();
      book.follow(workers);
    } else if (key.equals(MetadataKeys.CONFIGURATION) && bundle != null) {
      routes = RouteTable.compile(bundle);
      whenBundleChanges.accept(bundle);
    } else if (key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      feederOfWorker.clear();
    } else if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      leaders.values().stream()
          .map(leader -> leader.key)
          .filter(owned -> MetadataKeys.shardOf(owned.key).equals(key))
          .toList()
          .forEach(owned -> owned.changeSets(setsOf(owned.key)));
      claims.changeSets();
    }
  }

  // ---- what the interface calls

  @Override
  public void whenBundleChanges(Consumer<Bundle> then) {
    whenBundleChanges = then;
  }

  public LiveDesk.Handle complete(LiveDesk.Request request, LiveDesk.Listener listener) {
    return live.take(request, listener);
  }

  /** Passes an opaque request on to a worker by the bundle's routes. */
  @Override
  public LiveDesk.Handle pass(OpaqueRequest request, OpaqueListener listener) {
    if (!starting() || early.size() >= Constants.START_HELD_MOST) {
      return opaque.take(request, listener);
    }
    Early held = new Early(request, listener);
    early.add(held);
    surroundings.after(Constants.START_HOLD_MS, held::goOn);
    return held;
  }

  /** A request that waits for the core's first news. */
  private final class Early implements LiveDesk.Handle {
    private final OpaqueRequest request;
    private final OpaqueListener listener;
    private final long cameAt = surroundings.now();
    private boolean gone;
    private LiveDesk.Handle taken;

    Early(OpaqueRequest request, OpaqueListener listener) {
      this.request = request;
      this.listener = listener;
    }

    void goOn() {
      early.remove(this);
      if (taken != null || gone) {
        return;
      }
      Route route = route(request.host(), request.path());
      if (route != null && route.type() == Bundle.RouteType.BATCH) {
        // The door could not tell that it is a batch; it is handed in again.
        listener.refused(Response.comeBackInMs(new Fault.NoBundle(), Constants.COME_BACK_LEAST_MS));
      } else {
        taken = opaque.take(request.after(surroundings.now() - cameAt), listener, cameAt);
      }
    }

    @Override
    public void cancel() {
      gone = true;
      if (taken != null) {
        taken.cancel();
      }
    }
  }

  @Override
  protected void firstNews() {
    List.copyOf(early).forEach(Early::goOn);
  }

  @Override
  public Bundle.Route route(String host, String path) {
    return routes.find(host, path);
  }

  /**
   * Passes a batch on to the edge that is to lead it. Its body is neither read nor checked here: on
   * a small machine that alone takes longer than the client waits.
   */
  @Override
  public void submitOpaque(BatchSubmission submission, Consumer<Response> then) {
    Fault hindrance = mayBegin();
    if (hindrance == null && bundle == null) {
      hindrance = new Fault.NoBundle();
    }
    if (hindrance == null && routes.findBatch(submission.host(), submission.path()) == null) {
      hindrance = new Fault.NoMatchingRule();
    }
    if (hindrance != null) {
      then.accept(Response.of(hindrance));
      return;
    }
    StageTrace trace = new StageTrace(surroundings);
    byte[] body = new BatchSubmission.Sent(submission, bundle.number()).encode();
    String batch = BatchKeys.opaqueId(submission.id());
    long expiryMs = Constants.ASK_EXPIRY_MS + toReplicasMs(body.length);
    long open = submissions.begin(batch, surroundings.now() + expiryMs + Constants.ANSWER_SLACK_MS);
    askLeader(
        Ask.SUBMIT,
        batch,
        body,
        Constants.ASK_TRY_MS + toReplicasMs(body.length),
        expiryMs,
        response -> {
          submissions.end(open);
          trace.mark("leader");
          log(
              "Submission answered: batch="
                  + batch
                  + " client_id="
                  + submission.id()
                  + " status="
                  + response.status()
                  + " fault="
                  + response.faultType()
                  + " bytes="
                  + body.length
                  + trace
                  + ".");
          then.accept(response);
        });
  }

  /** How long a leader on a slow link takes to send so much to its replicas. */
  private long toReplicasMs(long bytes) {
    return bytes * (2L * bounds.lossesToBear() + 1) / Constants.SLOW_LINK_BYTES_PER_MS;
  }

  @Override
  public void opaqueResults(String batch, long from, long wantedHoldMs, Consumer<Response> then) {
    long holdMs = Math.min(wantedHoldMs, Constants.HOLD_MOST_MS);
    readOpaque(
        "opaque-results",
        batch,
        JSON.createObjectNode().put("from", from).put("holdMs", holdMs),
        holdMs,
        then);
  }

  /**
   * A read has no effect: whatever hinders it, the reader is told that nothing is certain and asks
   * again.
   */
  private void readOpaque(
      String duty, String batch, ObjectNode body, long holdMs, Consumer<Response> then) {
    askLeader(
        duty,
        BatchKeys.opaqueId(batch),
        body,
        holdMs + Constants.READ_TRY_MS,
        holdMs + Constants.READ_EXPIRY_MS,
        response ->
            then.accept(
                response.status() >= 500 ? Response.of(new Fault.NoMajority(batch)) : response));
  }

  @Override
  public void opaqueItem(String batch, String item, Consumer<Response> then) {
    readOpaque("opaque-item", batch, JSON.createObjectNode().put("item", item), 0, then);
  }

  @Override
  public void endOpaque(String batch, Consumer<Response> then) {
    endBatch(BatchKeys.opaqueId(batch), then);
  }

  public void submit(
      String sender, String idempotencyKey, BatchInput input, Consumer<Response> then) {
    Fault hindrance = mayBegin();
    if (hindrance == null && bundle == null) {
      hindrance = new Fault.NoBundle();
    }
    if (hindrance != null) {
      then.accept(Response.of(hindrance));
      return;
    }
    List<JsonNode> items =
        input.items().stream().map(item -> JSON.<JsonNode>valueToTree(item)).toList();
    var accepted =
        new Accepted(
            sender,
            BatchKeys.digest(Json.bytes(input)),
            input.dueInMs(),
            input.expiresInMs(),
            items,
            null);
    askLeader(Ask.SUBMIT, BatchKeys.batchId(sender, idempotencyKey), accepted, then);
  }

  public void readBatch(String batch, Consumer<Response> then) {
    askLeader("get", batch, JSON.createObjectNode(), then);
  }

  public void readResults(String batch, long after, int limit, Consumer<Response> then) {
    askLeader(
        "results", batch, JSON.createObjectNode().put("after", after).put("limit", limit), then);
  }

  public void endBatch(String batch, Consumer<Response> then) {
    askLeader("end", batch, JSON.createObjectNode(), then);
  }

  private void askLeader(String duty, String batch, Object body, Consumer<Response> then) {
    askLeader(duty, batch, body, Constants.ASK_TRY_MS, Constants.ASK_EXPIRY_MS, then);
  }

  private void askLeader(
      String duty, String batch, Object body, long tryMs, long expiryMs, Consumer<Response> then) {
    String key = BatchKeys.keyOf(batch);
    ask(attempt -> leaderOf(key, duty, attempt), duty, key, body, tryMs, expiryMs, then);
  }

  /**
   * Whom to ask: the edge that leads the batch as far as is known; else, where it is handed in, the
   * first of those that are fit to lead it, seen from here; else the first in the agreed order.
   * Whoever is asked finds the true leader.
   */
  private Target leaderOf(String key, String duty, int attempt) {
    if (leaders.containsKey(key)) {
      return new Target(place.id(), place.peerAddress());
    }
    Target known = leaderOfBatch.get(BatchKeys.batchOf(key));
    if (known != null
        && attempt == 0
        && members.containsKey(known.id())
        && !known.id().equals(place.id())) {
      return known;
    }
    int rank = known == null ? attempt : Math.max(0, attempt - 1);
    if (!duty.equals(Ask.SUBMIT) || !BatchKeys.isOpaque(key)) {
      return leaderPlacement().edge(key, rank);
    }
    return leaderPlacement().edgeFrom(place, key, rank);
  }

  // ---- asks to the leader of a batch

  @Override
  protected void handleAsk(Ask ask) {
    BatchLeader leader = leaders.get(ask.key());
    boolean leads = leader != null && leader.key.owned();
    if (ask.duty().equals(Ask.SUBMIT) && submissionsInWork.join(ask)) {
      count("submissions_joined");
    } else if (leads && !ask.duty().equals(Ask.SUBMIT)) {
      serve(ask, leader);
    } else if (leads) {
      takeSubmission(ask, (accepted, trace) -> serveSubmission(ask, leader, accepted));
    } else if (stopping) {
      respond(ask, Response.of(new Fault.NodeStopping()));
    } else if (isolated()) {
      respond(ask, Response.of(new Fault.NodeIsolated(feedAge())));
    } else if (ask.duty().equals(Ask.SUBMIT)) {
      takeSubmission(ask, (accepted, trace) -> reserveThenLead(ask, accepted, trace));
    } else {
      peek(
          ask.key(),
          peeked ->
              serveFound(
                  ask,
                  peeked,
                  Response.of(new Fault.NoSuchBatch(BatchKeys.batchOf(ask.key()))),
                  led -> serve(ask, led)));
    }
  }

  /** Reads the batch that is handed in; one that can't be taken is refused at once. */
  private void takeSubmission(Ask ask, BiConsumer<Accepted, StageTrace> then) {
    if (submissionsInWork.bytes() > Constants.SUBMISSIONS_IN_WORK_BYTES) {
      respond(ask, Response.of(new Fault.Overloaded("batches being accepted")));
      return;
    }
    submissionsInWork.begin(ask);
    surroundings.after(Constants.ASK_PROGRESS_MS, () -> tellProgress(ask));
    if (!leaderPlacement().mayLead(place.id())) {
      count("submissions_at_unfit_edge");
    }
    StageTrace trace = new StageTrace(surroundings);
    BatchIntake.Taken taken = intake.take(ask.body(), bundle, routes);
    trace.mark("read");
    if (taken.fault() != null) {
      respond(ask, Response.of(taken.fault()));
    } else {
      then.accept(taken.accepted(), trace);
    }
  }

  /**
   * Says that this edge still works on a batch, as long as it hears the core: whoever asked sends
   * the body to no second leader meanwhile.
   */
  private void tellProgress(Ask submission) {
    List<Ask> waiting = submissionsInWork.waitingFor(submission);
    if (waiting.isEmpty() || stopped() || isolated()) {
      return;
    }
    for (Ask each : waiting) {
      send(each.originAddress(), each.originId(), new AskProgress(each.correlation()));
    }
    surroundings.after(Constants.ASK_PROGRESS_MS, () -> tellProgress(submission));
  }

  /** Whoever joined the ask while it was at work is told the same. */
  @Override
  protected void respond(Ask ask, Response response) {
    super.respond(ask, response);
    submissionsInWork.end(ask).forEach(joined -> super.respond(joined, response));
  }

  @Override
  protected void handOver(Ask ask, String toId, String toAddress) {
    super.handOver(ask, toId, toAddress);
    submissionsInWork.end(ask).forEach(joined -> super.handOver(joined, toId, toAddress));
  }

  /** What the replicas say of a key: whether there is such a record, and who holds it just now. */
  private record Peeked(Boolean present, KeyReplicas.Holder holder) {
    static final Peeked UNCERTAIN = new Peeked(null, KeyReplicas.Holder.NONE);
  }

  /**
   * Whoever owns the record or is claiming it serves the ask: a second claim would only overtake
   * the first one. Else this edge claims it.
   */
  private void serveFound(
      Ask ask, Peeked peeked, Response whenAbsent, Consumer<BatchLeader> whenLed) {
    KeyReplicas.Holder holder = peeked.holder();
    if (peeked.present() == null) {
      respond(ask, Response.of(new Fault.NoMajority(ask.key())));
    } else if (!peeked.present()) {
      respond(ask, whenAbsent);
    } else if (ask.hops() > 0 && !holder.id().isEmpty() && !holder.id().equals(place.id())) {
      handOver(ask, holder.id(), holder.address());
    } else {
      lead(ask, new StageTrace(surroundings), whenLed);
    }
  }

  private void serve(Ask ask, BatchLeader leader) {
    if (!leader.key.hearsMajority()) {
      respond(ask, Response.of(new Fault.NoMajority(ask.key())));
      return;
    }
    JsonNode body = Json.tree(ask.body());
    switch (ask.duty()) {
      case "get" -> leader.read(response -> respond(ask, response));
      case "results" ->
          leader.results(
              body.path("after").asLong(),
              body.path("limit").asInt(),
              response -> respond(ask, response));
      case "remove" -> leader.remove(response -> respond(ask, response));
      case "end" -> leader.end(response -> respond(ask, response));
      case "opaque-results" ->
          leader.opaqueResults(
              body.path("from").asLong(),
              body.path("holdMs").asLong(),
              response -> respond(ask, response));
      case "opaque-item" ->
          leader.opaqueItem(body.path("item").asText(), response -> respond(ask, response));
      default -> respond(ask, Response.of(new Fault.UnknownDuty(ask.duty())));
    }
  }

  private void serveSubmission(Ask ask, BatchLeader leader, Accepted accepted) {
    if (leader.key.hearsMajority()) {
      leader.submit(accepted, response -> respond(ask, response));
    } else {
      respond(ask, Response.of(new Fault.NoMajority(ask.key())));
    }
  }

  /**
   * Room first, then the record: a refusal for want of room is said before anything of the batch is
   * written.
   */
  private void reserveThenLead(Ask ask, Accepted accepted, StageTrace trace) {
    Consumer<BatchLeader> whenLed = leader -> serveSubmission(ask, leader, accepted);
    askCore(
        "room",
        MetadataKeys.BATCH_CAPACITY,
        reservation(BatchKeys.batchOf(ask.key()), accepted),
        Constants.RESERVATION_EXPIRY_MS,
        response -> {
          trace.mark("reserve");
          if (response.good()) {
            lead(ask, trace, whenLed);
          } else if (response.faultType().equals("NoRoom")
              || response.faultType().equals("BatchOverCeiling")) {
            peek(ask.key(), peeked -> serveFound(ask, peeked, response, whenLed));
          } else {
            respond(ask, Response.of(new Fault.NoMajority(MetadataKeys.BATCH_CAPACITY)));
          }
        });
  }

  private ObjectNode reservation(String batch, Accepted accepted) {
    ObjectNode reservation = JSON.createObjectNode().put("batch", batch).put("reserve", true);
    BatchEvent.Opaque opaque = accepted.opaque();
    if (opaque == null) {
      return reservation
          .put("items", accepted.items().size())
          .put("ceiling", bundle == null ? 0 : bundle.limits().batch().waitingItemsMost());
    }
    long tokens =
        accepted.items().stream()
            .mapToLong(item -> Math.max(1, item.path("tokens").asLong()))
            .sum();
    return reservation
        .put("items", tokens)
        .put("ceiling", opaque.ceiling())
        .put("group", opaque.route());
  }

  private void lead(Ask ask, StageTrace trace, Consumer<BatchLeader> whenLed) {
    claim(
        ask.key(),
        false,
        outcome -> {
          trace.mark("claim");
          log(
              "Leadership asked for: duty="
                  + ask.duty()
                  + " batch="
                  + BatchKeys.batchOf(ask.key())
                  + " outcome="
                  + outcome.claim()
                  + trace
                  + ".");
          switch (outcome.claim()) {
            case OWNED -> {
              BatchLeader leader = leaders.get(ask.key());
              if (leader == null) {
                respond(ask, Response.of(new Fault.NotOwner(ask.key())));
              } else {
                whenLed.accept(leader);
              }
            }
            case BUSY -> handOver(ask, outcome.ownerId(), outcome.ownerAddress());
            case NO_MAJORITY -> respond(ask, Response.of(new Fault.NoMajority(ask.key())));
          }
        });
  }

  private void claim(String key, boolean handedOver, Consumer<OwnedKey.ClaimOutcome> then) {
    BatchLeader present = leaders.get(key);
    if (present != null && present.key.owned()) {
      then.accept(new OwnedKey.ClaimOutcome(Claim.OWNED, place.id(), place.peerAddress()));
      return;
    }
    claims.claim(key, handedOver, then);
  }

  private void begin(OwnedKey ownedKey) {
    String key = ownedKey.key;
    leaders.put(key, new BatchLeader(surroundings, this, BatchKeys.batchOf(key), ownedKey));
    journal.add("leads", key, "epoch " + ownedKey.epoch().counter());
    ownedKey.whenLost(
        () -> {
          BatchLeader lost = leaders.remove(key);
          if (lost != null) {
            lost.lost();
          }
          journal.add("lost", key, "");
          surroundings.log(PART, "Leadership lost: " + key + ".");
        });
  }

  /**
   * Asks each replica of a key's shard once; the callback hears of each answer, and whether it was
   * the last.
   */
  private void askReplicas(
      ReplicaSets sets,
      String duty,
      String key,
      ObjectNode body,
      BiConsumer<String, Response> then) {
    body.put("setNumber", sets.number());
    for (OwnedKey.Replica replica : sets.all()) {
      ask(
          attempt -> attempt == 0 ? new Target(replica.id(), replica.address()) : null,
          duty,
          key,
          body,
          Constants.ASK_TRY_MS,
          response -> then.accept(replica.id(), response));
    }
  }

  /** True or false on a majority's evidence, else null. Writes nothing anywhere. */
  private void peek(String key, Consumer<Peeked> then) {
    ReplicaSets sets = setsOf(key);
    if (sets.isEmpty()) {
      then.accept(Peeked.UNCERTAIN);
      return;
    }
    Set<String> absent = new HashSet<>();
    int[] heard = new int[1];
    boolean[] told = new boolean[1];
    askReplicas(
        sets,
        "peek",
        key,
        JSON.createObjectNode(),
        (replica, response) -> {
          heard[0]++;
          boolean present = response.good() && response.body().path("present").asBoolean();
          if (response.good() && !present) {
            absent.add(replica);
          }
          boolean certain = present || sets.quorum(absent);
          if (!told[0] && (certain || heard[0] == sets.all().size())) {
            told[0] = true;
            then.accept(certain ? new Peeked(present, holder(response)) : Peeked.UNCERTAIN);
          }
        });
  }

  private static KeyReplicas.Holder holder(Response peeked) {
    return new KeyReplicas.Holder(
        peeked.body().path("holder").asText(), peeked.body().path("holderAddress").asText());
  }

  // ---- what leaders, feeder and live desk need

  @Override
  public void send(String toAddress, String toId, Message message) {
    super.send(toAddress, toId, message);
  }

  @Override
  public void toAllEdges(Message message) {
    liveEdges().forEach(member -> send(member.peerAddress(), member.id(), message));
  }

  private void freeRoom(String batch) {
    reportRoom(batch, 0, waiting -> {});
  }

  @Override
  public void reportRoom(String batch, long room, LongConsumer then) {
    askCore(
        "room",
        MetadataKeys.BATCH_CAPACITY,
        JSON.createObjectNode().put("batch", batch).put("items", room),
        Constants.COMMAND_EXPIRY_MS,
        response -> {
          if (response.good()) {
            then.accept(response.body().path("waiting").asLong());
          }
        });
  }

  @Override
  public boolean newsFresh() {
    return !feedStale();
  }

  @Override
  public void log(String sentence) {
    surroundings.log("batch", sentence);
  }

  @Override
  public void violated(Invariant invariant, String detail) {
    super.violated(invariant, detail);
  }

  @Override
  public void offsetAhead(String batch) {
    count("batch_offsets_ahead");
  }

  @Override
  public Long heardDueAt(String batch) {
    return dueAtOfBatch.get(batch);
  }

  @Override
  public boolean feeds(String worker) {
    return place
        .id()
        .equals(
            feederOfWorker.computeIfAbsent(
                worker, unseen -> Rendezvous.first("feeder/" + worker, feederCandidates(worker))));
  }

  /**
   * The live edges of the worker's zone, so that its items and their streams stay there; all where
   * it has none.
   */
  private List<String> feederCandidates(String workerId) {
    List<Member> edges = liveEdges();
    Worker worker = workers.get(workerId);
    List<String> near =
        worker == null || worker.zone() == null || worker.zone().isEmpty()
            ? List.of()
            : edges.stream()
                .filter(member -> member.zone().equals(worker.zone()))
                .map(Member::id)
                .toList();
    return near.isEmpty() ? edges.stream().map(Member::id).toList() : near;
  }

  @Override
  public Fault mayBegin() {
    if (stopping) {
      return new Fault.NodeStopping();
    }
    return mayGoOn();
  }

  @Override
  public Fault mayGoOn() {
    return isolated() ? new Fault.NodeIsolated(feedAge()) : null;
  }

  @Override
  public Bundle bundle() {
    return bundle;
  }

  @Override
  public RouteTable routes() {
    return routes;
  }

  @Override
  public boolean stopping() {
    return stopping;
  }

  @Override
  public void count(String counter) {
    super.count(counter);
  }

  @Override
  public void claimOnce(String id, String token, Consumer<Fault> then) {
    String key = MetadataKeys.ONCE_PREFIX + id;
    ReplicaSets sets = setsOf(key);
    if (sets.isEmpty()) {
      then.accept(new Fault.NoMajority(key));
      return;
    }
    Set<String> won = new HashSet<>();
    Set<String> open = new HashSet<>();
    sets.all().forEach(replica -> open.add(replica.id()));
    boolean[] claimedByOther = new boolean[1];
    boolean[] told = new boolean[1];
    askReplicas(
        sets,
        "claim",
        key,
        JSON.createObjectNode().put("token", token),
        (replica, response) -> {
          if (response.good()) {
            won.add(replica);
          } else {
            open.remove(replica);
            claimedByOther[0] |= response.faultType().equals("AlreadyClaimed");
          }
          boolean lost = !sets.quorum(open);
          if (told[0] || !lost && !sets.quorum(won)) {
            return;
          }
          told[0] = true;
          if (lost) {
            unclaimOnce(id, token);
          }
          then.accept(
              !lost
                  ? null
                  : claimedByOther[0] ? new Fault.AlreadyClaimed(id) : new Fault.NoMajority(key));
        });
  }

  @Override
  public void unclaimOnce(String id, String token) {
    String key = MetadataKeys.ONCE_PREFIX + id;
    setsOf(key)
        .all()
        .forEach(
            replica ->
                ask(
                    attempt -> new Target(replica.id(), replica.address()),
                    "unclaim",
                    key,
                    JSON.createObjectNode().put("token", token),
                    Constants.COMMAND_EXPIRY_MS,
                    response -> {}));
  }

  // ---- messages

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof KeyPromised promised) {
      claims.promised(promised, fromId);
    } else if (message instanceof KeyLogPart part) {
      claims.logPart(part);
    } else if (message instanceof KeyAppended appended) {
      BatchLeader leader = leaders.get(appended.key());
      OwnedKey ownedKey = leader != null ? leader.key : claims.claiming(appended.key());
      if (ownedKey != null) {
        ownedKey.appended(appended, fromId);
      }
    } else if (message instanceof KeyHandOver handedOver) {
      if (!stopping && !leaders.containsKey(handedOver.key())) {
        claim(handedOver.key(), true, outcome -> {});
      }
    } else if (message instanceof Unfinished unfinished) {
      unfinished.keys().forEach(this::takeOrphan);
    } else if (message instanceof WorkOffer offer) {
      dueAtOfBatch.put(offer.batch(), surroundings.now() + offer.dueInMs());
      leaderOfBatch.put(offer.batch(), new Target(fromId, fromAddress));
      feeder.offered(offer, fromId, fromAddress);
    } else if (message instanceof RangePull pull) {
      BatchLeader leader = leaders.get(BatchKeys.keyOf(pull.batch()));
      if (leader != null) {
        leader.pulled(pull, fromId, fromAddress);
      }
    } else if (message instanceof RangeHandout handout) {
      feeder.handedOut(handout, fromId, fromAddress);
    } else if (message instanceof RangeReport report) {
      BatchLeader leader = leaders.get(BatchKeys.keyOf(report.batch()));
      if (leader != null) {
        leader.reported(report, fromId, fromAddress);
      }
    } else if (message instanceof RangeReported answer) {
      feeder.answered(answer);
    } else if (message instanceof WorkerLoads loads) {
      book.peerTold(fromId, loads);
    } else if (message instanceof BatchEnded ended) {
      dueAtOfBatch.remove(ended.batch());
      feeder.ended(ended.batch());
    } else {
      super.handle(message, fromId, fromAddress);
    }
  }

  /**
   * A batch without a leader, or a ledger entry nobody spoke of: looks, leads it on, or makes its
   * absence lasting.
   */
  private void takeOrphan(String key) {
    if (stopping || isolated()) {
      return;
    }
    claim(
        key,
        false,
        outcome -> {
          BatchLeader leader = leaders.get(key);
          if (outcome.claim() != Claim.OWNED || leader == null) {
            return;
          }
          if (leader.view.accepted == null) {
            leader.refuse(
                fault -> {
                  if (fault == null) {
                    freeRoom(leader.batch);
                  }
                });
          } else if (!leader.view.open()) {
            freeRoom(leader.batch);
          }
        });
  }

  // ---- readiness and end

  @Override
  public ObjectNode status() {
    ObjectNode status = super.status();
    status
        .put("opaqueOpen", opaque.openRequests())
        .put("liveRunning", live.runningRequests())
        .put("liveQueued", live.queuedRequests())
        .put("heldRanges", feeder.heldRanges())
        .put("batchRunning", feeder.runningItems());
    ObjectNode leading = status.putObject("leads");
    leaders.forEach(
        (key, leader) ->
            leading.put(
                leader.batch,
                leader.view.state()
                    + ", epoch "
                    + leader.key.epoch().counter()
                    + ", recorded "
                    + leader.view.results.size()
                    + " of "
                    + leader.view.items()));
    book.describe(status.putArray("workers"));
    return status;
  }

  /** A grant is needed for duties, not for live requests, so an edge is ready without. */
  @Override
  public String notReadyBecause() {
    return stopAnnounced ? "stopping" : super.notServingBecause();
  }

  /**
   * Polite end: announces itself and still takes work until the platform has had time to notice,
   * then gives up its place, hands each batch to its successor, and waits for what still runs.
   */
  @Override
  public void stop(Runnable whenDone) {
    stopAnnounced = true;
    surroundings.after(Constants.STOP_FEEDING_MS, this::stopFeeding);
    surroundings.after(Constants.STOP_NOTICE_MS, () -> stopTaking(whenDone));
  }

  /**
   * Items take longer than live requests: with none begun from here on, few are left to wait for.
   */
  private void stopFeeding() {
    if (!stopping) {
      feeder.drain();
      surroundings.after(Constants.DRAIN_LOOK_MS, this::stopFeeding);
    }
  }

  private void stopTaking(Runnable whenDone) {
    stopping = true;
    long left = bounds.graceMs() - Constants.STOP_NOTICE_MS - Constants.STOP_MARGIN_MS;
    long drainEndsAt = surroundings.now() + Math.max(0, Math.min(Constants.DRAIN_MS, left));
    long itemsEndAt = Math.min(drainEndsAt, surroundings.now() + Constants.STOP_ITEMS_MS);
    surroundings.log(
        PART,
        "Takes nothing new: "
            + opaque.openRequests()
            + " requests and "
            + feeder.runningItems()
            + " batch items still run.");
    feeder.drain();
    leaveCore(() -> {});
    surroundings.after(Constants.CLAIM_BACKOFF_MS, this::handOverLeaders);
    surroundings.after(
        Constants.CLAIM_BACKOFF_MS + Constants.DRAIN_LOOK_MS,
        () -> drain(drainEndsAt, itemsEndAt, whenDone));
  }

  private void handOverLeaders() {
    for (BatchLeader leader : List.copyOf(leaders.values())) {
      String key = leader.key.key;
      Target successor = null;
      for (int attempt = 0; attempt < liveEdges().size() && successor == null; attempt++) {
        Target candidate = leaderPlacement().edge(key, attempt);
        successor = candidate.id().equals(place.id()) ? null : candidate;
      }
      leader.key.stop();
      leaders.remove(key);
      leader.lost();
      if (successor != null && leader.view.open()) {
        send(
            successor.address(),
            successor.id(),
            new KeyHandOver(key, leader.key.epoch(), leader.key.lastSequence()));
        feeder.leaderMoved(leader.batch, successor.id(), successor.address());
        surroundings.log("batch", "Batch handed over: " + leader.batch + ".");
      }
    }
  }

  private void drain(long drainEndsAt, long itemsEndAt, Runnable whenDone) {
    boolean drained =
        (feeder.drain() || surroundings.now() >= itemsEndAt)
            && live.runningRequests() == 0
            && live.queuedRequests() == 0
            && opaque.openRequests() == 0
            && submissions.size() == 0;
    if (drained || surroundings.now() >= drainEndsAt) {
      end();
      whenDone.run();
    } else {
      surroundings.after(Constants.DRAIN_LOOK_MS, () -> drain(drainEndsAt, itemsEndAt, whenDone));
    }
  }
}
