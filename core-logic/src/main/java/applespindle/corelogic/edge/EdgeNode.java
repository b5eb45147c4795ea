package applespindle.corelogic.edge;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchDispatcher;
import applespindle.corelogic.batch.BatchEvent;
import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.batch.BatchFormat;
import applespindle.corelogic.batch.BatchInput;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.batch.BatchLeader;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.batch.PendingSubmissions;
import applespindle.corelogic.batch.SubmissionReader;
import applespindle.corelogic.batch.SubmissionWarmUp;
import applespindle.corelogic.batch.SubmissionsInProgress;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.dataplane.DataPlaneNode;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Invariant;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.StageTimer;
import applespindle.corelogic.live.LiveRequest;
import applespindle.corelogic.live.LiveRequestDispatcher;
import applespindle.corelogic.live.LiveResponseListener;
import applespindle.corelogic.live.ProxiedResponseListener;
import applespindle.corelogic.live.ProxyDispatcher;
import applespindle.corelogic.live.RequestHandle;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.BatchEnded;
import applespindle.corelogic.protocol.Message.BatchOffer;
import applespindle.corelogic.protocol.Message.LeaderlessBatches;
import applespindle.corelogic.protocol.Message.LeadershipTransfer;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.PeerLoadReport;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Message.PeerRequestProgress;
import applespindle.corelogic.protocol.Message.RangeAssignment;
import applespindle.corelogic.protocol.Message.RangeReport;
import applespindle.corelogic.protocol.Message.RangeReportResponse;
import applespindle.corelogic.protocol.Message.RangeRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.replication.ElectionOutcome;
import applespindle.corelogic.replication.ElectionResult;
import applespindle.corelogic.replication.Elections;
import applespindle.corelogic.replication.ReplicaConfiguration;
import applespindle.corelogic.replication.ReplicatedLogLeader;
import applespindle.corelogic.worker.EdgeContext;
import applespindle.corelogic.worker.PeerLoadReporter;
import applespindle.corelogic.worker.WorkerRegistry;
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
public final class EdgeNode extends DataPlaneNode
    implements BatchLeader.Context, BatchDispatcher.Context, EdgeContext, EdgeGateway {
  private static final String PART = "edge";

  private final WorkerRegistry book;
  private final LiveRequestDispatcher live;
  private final ProxyDispatcher opaque;
  private final BatchDispatcher feeder;
  private final SubmissionReader intake;
  private final SubmissionWarmUp warmUp;
  private final SubmissionsInProgress submissionsInWork = new SubmissionsInProgress();
  private final PendingSubmissions submissions = new PendingSubmissions();
  private boolean stopAnnounced;

  /** Of the bundle in force. */
  private RouteTable routes = RouteTable.EMPTY;

  /** Requests that came before the core's first news; in their order. */
  private final List<Early> early = new ArrayList<>();

  private Consumer<RoutingConfiguration> whenBundleChanges = unheard -> {};
  private final Map<String, BatchLeader> leaders = new TreeMap<>();
  private final Elections claims;

  /**
   * When each batch is due on our clock, as its leader last offered it. The log knows a batch's age
   * only up to its last event; a successor that lost the rest would hand out a batch that waited
   * long after younger ones.
   */
  private final Map<String, Long> dueAtOfBatch =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > BatchConstants.MAX_REMEMBERED_BATCHES;
        }
      };

  /**
   * Who said last that it leads a batch. Only a hint: whoever is asked finds the true leader by the
   * replicas.
   */
  private final Map<String, NodeAddress> leaderOfBatch =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, NodeAddress> eldest) {
          return size() > BatchConstants.MAX_REMEMBERED_BATCHES;
        }
      };

  /** By worker, the edge that feeds it; forgotten whenever the members or the workers change. */
  private final Map<String, String> feederOfWorker = new HashMap<>();

  public EdgeNode(Environment surroundings, NodeIdentity place) {
    this(surroundings, place, NodeSettings.DEFAULT);
  }

  public EdgeNode(Environment surroundings, NodeIdentity place, NodeSettings bounds) {
    this(surroundings, place, bounds, BatchFormat.OWN);
  }

  public EdgeNode(
      Environment surroundings, NodeIdentity place, NodeSettings bounds, BatchFormat format) {
    super(surroundings, place, bounds);
    intake = new SubmissionReader(format);
    warmUp = new SubmissionWarmUp(surroundings, place, format, intake);
    claims = new Elections(surroundings, place.id(), this::send, this::setsOf, this::begin);
    book = new WorkerRegistry(surroundings, this::pump);
    book.whenBegan(new PeerLoadReporter(surroundings, book, this::zonePeers, this::send)::began);
    live = new LiveRequestDispatcher(surroundings, place.id(), this, book);
    opaque = new ProxyDispatcher(surroundings, place.zone(), this, book);
    feeder = new BatchDispatcher(surroundings, place.id(), this, book);
  }

  @Override
  public void start() {
    super.start();
    every(WorkerConstants.LOAD_POLL_INTERVAL_MS, this::tick);
  }

  /** The other live edges of this one's zone, which mostly send to the same workers. */
  private List<NodeRegistration> zonePeers() {
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
  public void whenBundleChanges(Consumer<RoutingConfiguration> then) {
    whenBundleChanges = then;
  }

  public RequestHandle complete(LiveRequest request, LiveResponseListener listener) {
    return live.take(request, listener);
  }

  /** Passes an opaque request on to a worker by the bundle's routes. */
  @Override
  public RequestHandle pass(ProxiedRequest request, ProxiedResponseListener listener) {
    if (!starting() || early.size() >= LifecycleConstants.MAX_STARTUP_HELD_REQUESTS) {
      return opaque.take(request, listener);
    }
    Early held = new Early(request, listener);
    early.add(held);
    surroundings.after(LifecycleConstants.STARTUP_HOLD_MS, held::goOn);
    return held;
  }

  /** A request that waits for the core's first news. */
  private final class Early implements RequestHandle {
    private final ProxiedRequest request;
    private final ProxiedResponseListener listener;
    private final long cameAt = surroundings.now();
    private boolean gone;
    private RequestHandle taken;

    Early(ProxiedRequest request, ProxiedResponseListener listener) {
      this.request = request;
      this.listener = listener;
    }

    void goOn() {
      early.remove(this);
      if (taken != null || gone) {
        return;
      }
      Route route = route(request.host(), request.path());
      if (route != null && route.type() == RoutingConfiguration.RouteType.BATCH) {
        // The door could not tell that it is a batch; it is handed in again.
        listener.refused(
            Response.comeBackInMs(
                new ApiError.NoConfiguration(), LiveRequestConstants.MIN_RETRY_AFTER_MS));
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
  public RoutingConfiguration.Route route(String host, String path) {
    return routes.find(host, path);
  }

  /**
   * Passes a batch on to the edge that is to lead it. Its body is neither read nor checked here: on
   * a small machine that alone takes longer than the client waits.
   */
  @Override
  public void submitOpaque(BatchSubmission submission, Consumer<Response> then) {
    ApiError hindrance = mayBegin();
    if (hindrance == null && bundle == null) {
      hindrance = new ApiError.NoConfiguration();
    }
    if (hindrance == null && routes.findBatch(submission.host(), submission.path()) == null) {
      hindrance = new ApiError.NoMatchingRule();
    }
    if (hindrance != null) {
      then.accept(Response.of(hindrance));
      return;
    }
    StageTimer trace = new StageTimer(surroundings);
    byte[] body = new BatchSubmission.Forwarded(submission, bundle.number()).encode();
    String batch = BatchKeys.opaqueId(submission.id());
    long expiryMs = PeerRequestConstants.REQUEST_TIMEOUT_MS + toReplicasMs(body.length);
    long open =
        submissions.begin(
            batch, surroundings.now() + expiryMs + PeerRequestConstants.RESPONSE_SLACK_MS);
    askLeader(
        PeerRequest.SUBMIT,
        batch,
        body,
        PeerRequestConstants.ATTEMPT_TIMEOUT_MS + toReplicasMs(body.length),
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
    return bytes * (2L * bounds.lossesToBear() + 1) / ReplicationConstants.SLOW_LINK_BYTES_PER_MS;
  }

  @Override
  public void opaqueResults(String batch, long from, long wantedHoldMs, Consumer<Response> then) {
    long holdMs = Math.min(wantedHoldMs, BatchConstants.MAX_LONG_POLL_MS);
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
        holdMs + BatchConstants.READ_ATTEMPT_TIMEOUT_MS,
        holdMs + BatchConstants.READ_TIMEOUT_MS,
        response ->
            then.accept(
                response.status() >= 500 ? Response.of(new ApiError.NoQuorum(batch)) : response));
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
    ApiError hindrance = mayBegin();
    if (hindrance == null && bundle == null) {
      hindrance = new ApiError.NoConfiguration();
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
    askLeader(PeerRequest.SUBMIT, BatchKeys.batchId(sender, idempotencyKey), accepted, then);
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
    askLeader(
        duty,
        batch,
        body,
        PeerRequestConstants.ATTEMPT_TIMEOUT_MS,
        PeerRequestConstants.REQUEST_TIMEOUT_MS,
        then);
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
  private NodeAddress leaderOf(String key, String duty, int attempt) {
    if (leaders.containsKey(key)) {
      return new NodeAddress(place.id(), place.peerAddress());
    }
    NodeAddress known = leaderOfBatch.get(BatchKeys.batchOf(key));
    if (known != null
        && attempt == 0
        && members.containsKey(known.id())
        && !known.id().equals(place.id())) {
      return known;
    }
    int rank = known == null ? attempt : Math.max(0, attempt - 1);
    if (!duty.equals(PeerRequest.SUBMIT) || !BatchKeys.isOpaque(key)) {
      return leaderPlacement().edge(key, rank);
    }
    return leaderPlacement().edgeFrom(place, key, rank);
  }

  // ---- asks to the leader of a batch

  @Override
  protected void handleAsk(PeerRequest ask) {
    BatchLeader leader = leaders.get(ask.key());
    boolean leads = leader != null && leader.key.owned();
    if (ask.duty().equals(PeerRequest.SUBMIT) && submissionsInWork.join(ask)) {
      count("submissions_joined");
    } else if (leads && !ask.duty().equals(PeerRequest.SUBMIT)) {
      serve(ask, leader);
    } else if (leads) {
      takeSubmission(ask, (accepted, trace) -> serveSubmission(ask, leader, accepted));
    } else if (stopping) {
      respond(ask, Response.of(new ApiError.NodeStopping()));
    } else if (isolated()) {
      respond(ask, Response.of(new ApiError.NodeIsolated(feedAge())));
    } else if (ask.duty().equals(PeerRequest.SUBMIT)) {
      takeSubmission(ask, (accepted, trace) -> reserveThenLead(ask, accepted, trace));
    } else {
      peek(
          ask.key(),
          peeked ->
              serveFound(
                  ask,
                  peeked,
                  Response.of(new ApiError.NoSuchBatch(BatchKeys.batchOf(ask.key()))),
                  led -> serve(ask, led)));
    }
  }

  /** Reads the batch that is handed in; one that can't be taken is refused at once. */
  private void takeSubmission(PeerRequest ask, BiConsumer<Accepted, StageTimer> then) {
    if (submissionsInWork.bytes() > BatchConstants.MAX_SUBMISSION_BYTES_IN_PROGRESS) {
      respond(ask, Response.of(new ApiError.Overloaded("batches being accepted")));
      return;
    }
    submissionsInWork.begin(ask);
    surroundings.after(PeerRequestConstants.PROGRESS_INTERVAL_MS, () -> tellProgress(ask));
    if (!leaderPlacement().mayLead(place.id())) {
      count("submissions_at_unfit_edge");
    }
    StageTimer trace = new StageTimer(surroundings);
    SubmissionReader.ReadResult taken = intake.take(ask.body(), bundle, routes);
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
  private void tellProgress(PeerRequest submission) {
    List<PeerRequest> waiting = submissionsInWork.waitingFor(submission);
    if (waiting.isEmpty() || stopped() || isolated()) {
      return;
    }
    for (PeerRequest each : waiting) {
      send(each.originAddress(), each.originId(), new PeerRequestProgress(each.correlation()));
    }
    surroundings.after(PeerRequestConstants.PROGRESS_INTERVAL_MS, () -> tellProgress(submission));
  }

  /** Whoever joined the ask while it was at work is told the same. */
  @Override
  public void respond(PeerRequest ask, Response response) {
    super.respond(ask, response);
    submissionsInWork.end(ask).forEach(joined -> super.respond(joined, response));
  }

  @Override
  protected void handOver(PeerRequest ask, String toId, String toAddress) {
    super.handOver(ask, toId, toAddress);
    submissionsInWork.end(ask).forEach(joined -> super.handOver(joined, toId, toAddress));
  }

  /** What the replicas say of a key: whether there is such a record, and who holds it just now. */
  private record Peeked(Boolean present, NodeAddress holder) {
    static final Peeked UNCERTAIN = new Peeked(null, NodeAddress.NONE);
  }

  /**
   * Whoever owns the record or is claiming it serves the ask: a second claim would only overtake
   * the first one. Else this edge claims it.
   */
  private void serveFound(
      PeerRequest ask, Peeked peeked, Response whenAbsent, Consumer<BatchLeader> whenLed) {
    NodeAddress holder = peeked.holder();
    if (peeked.present() == null) {
      respond(ask, Response.of(new ApiError.NoQuorum(ask.key())));
    } else if (!peeked.present()) {
      respond(ask, whenAbsent);
    } else if (ask.hops() > 0 && !holder.id().isEmpty() && !holder.id().equals(place.id())) {
      handOver(ask, holder.id(), holder.address());
    } else {
      lead(ask, new StageTimer(surroundings), whenLed);
    }
  }

  private void serve(PeerRequest ask, BatchLeader leader) {
    if (!leader.key.hearsMajority()) {
      respond(ask, Response.of(new ApiError.NoQuorum(ask.key())));
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
      default -> respond(ask, Response.of(new ApiError.UnknownRequest(ask.duty())));
    }
  }

  private void serveSubmission(PeerRequest ask, BatchLeader leader, Accepted accepted) {
    if (leader.key.hearsMajority()) {
      leader.submit(accepted, response -> respond(ask, response));
    } else {
      respond(ask, Response.of(new ApiError.NoQuorum(ask.key())));
    }
  }

  /**
   * Room first, then the record: a refusal for want of room is said before anything of the batch is
   * written.
   */
  private void reserveThenLead(PeerRequest ask, Accepted accepted, StageTimer trace) {
    Consumer<BatchLeader> whenLed = leader -> serveSubmission(ask, leader, accepted);
    askCore(
        "room",
        MetadataKeys.BATCH_CAPACITY,
        reservation(BatchKeys.batchOf(ask.key()), accepted),
        PeerRequestConstants.CAPACITY_RESERVATION_TIMEOUT_MS,
        response -> {
          trace.mark("reserve");
          if (response.good()) {
            lead(ask, trace, whenLed);
          } else if (response.faultType().equals("NoRoom")
              || response.faultType().equals("BatchOverCeiling")) {
            peek(ask.key(), peeked -> serveFound(ask, peeked, response, whenLed));
          } else {
            respond(ask, Response.of(new ApiError.NoQuorum(MetadataKeys.BATCH_CAPACITY)));
          }
        });
  }

  private ObjectNode reservation(String batch, Accepted accepted) {
    ObjectNode reservation = JSON.createObjectNode().put("batch", batch).put("reserve", true);
    BatchEvent.ProxiedRoute opaque = accepted.opaque();
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

  private void lead(PeerRequest ask, StageTimer trace, Consumer<BatchLeader> whenLed) {
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
                respond(ask, Response.of(new ApiError.NotLeader(ask.key())));
              } else {
                whenLed.accept(leader);
              }
            }
            case BUSY -> handOver(ask, outcome.ownerId(), outcome.ownerAddress());
            case NO_MAJORITY -> respond(ask, Response.of(new ApiError.NoQuorum(ask.key())));
          }
        });
  }

  private void claim(String key, boolean handedOver, Consumer<ElectionOutcome> then) {
    BatchLeader present = leaders.get(key);
    if (present != null && present.key.owned()) {
      then.accept(new ElectionOutcome(ElectionResult.OWNED, place.id(), place.peerAddress()));
      return;
    }
    claims.claim(key, handedOver, then);
  }

  private void begin(ReplicatedLogLeader ownedKey) {
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
      ReplicaConfiguration sets,
      String duty,
      String key,
      ObjectNode body,
      BiConsumer<String, Response> then) {
    body.put("setNumber", sets.number());
    for (NodeAddress replica : sets.all()) {
      ask(
          attempt -> attempt == 0 ? new NodeAddress(replica.id(), replica.address()) : null,
          duty,
          key,
          body,
          PeerRequestConstants.ATTEMPT_TIMEOUT_MS,
          response -> then.accept(replica.id(), response));
    }
  }

  /** True or false on a majority's evidence, else null. Writes nothing anywhere. */
  private void peek(String key, Consumer<Peeked> then) {
    ReplicaConfiguration sets = setsOf(key);
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

  private static NodeAddress holder(Response peeked) {
    return new NodeAddress(
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
        ReplicationConstants.COMMIT_TIMEOUT_MS,
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
                worker,
                unseen -> RendezvousHashing.first("feeder/" + worker, feederCandidates(worker))));
  }

  /**
   * The live edges of the worker's zone, so that its items and their streams stay there; all where
   * it has none.
   */
  private List<String> feederCandidates(String workerId) {
    List<NodeRegistration> edges = liveEdges();
    WorkerRegistration worker = workers.get(workerId);
    List<String> near =
        worker == null || worker.zone() == null || worker.zone().isEmpty()
            ? List.of()
            : edges.stream()
                .filter(member -> member.zone().equals(worker.zone()))
                .map(NodeRegistration::id)
                .toList();
    return near.isEmpty() ? edges.stream().map(NodeRegistration::id).toList() : near;
  }

  @Override
  public ApiError mayBegin() {
    if (stopping) {
      return new ApiError.NodeStopping();
    }
    return mayGoOn();
  }

  @Override
  public ApiError mayGoOn() {
    return isolated() ? new ApiError.NodeIsolated(feedAge()) : null;
  }

  @Override
  public RoutingConfiguration bundle() {
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
  public void claimOnce(String id, String token, Consumer<ApiError> then) {
    String key = MetadataKeys.ONCE_PREFIX + id;
    ReplicaConfiguration sets = setsOf(key);
    if (sets.isEmpty()) {
      then.accept(new ApiError.NoQuorum(key));
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
                  : claimedByOther[0]
                      ? new ApiError.AlreadyClaimed(id)
                      : new ApiError.NoQuorum(key));
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
                    attempt -> new NodeAddress(replica.id(), replica.address()),
                    "unclaim",
                    key,
                    JSON.createObjectNode().put("token", token),
                    ReplicationConstants.COMMIT_TIMEOUT_MS,
                    response -> {}));
  }

  // ---- messages

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof VoteResponse promised) {
      claims.promised(promised, fromId);
    } else if (message instanceof LogFetchResponse part) {
      claims.logPart(part);
    } else if (message instanceof AppendResponse appended) {
      BatchLeader leader = leaders.get(appended.key());
      ReplicatedLogLeader ownedKey = leader != null ? leader.key : claims.claiming(appended.key());
      if (ownedKey != null) {
        ownedKey.appended(appended, fromId);
      }
    } else if (message instanceof LeadershipTransfer handedOver) {
      if (!stopping && !leaders.containsKey(handedOver.key())) {
        claim(handedOver.key(), true, outcome -> {});
      }
    } else if (message instanceof LeaderlessBatches unfinished) {
      unfinished.keys().forEach(this::takeOrphan);
    } else if (message instanceof BatchOffer offer) {
      dueAtOfBatch.put(offer.batch(), surroundings.now() + offer.dueInMs());
      leaderOfBatch.put(offer.batch(), new NodeAddress(fromId, fromAddress));
      feeder.offered(offer, fromId, fromAddress);
    } else if (message instanceof RangeRequest pull) {
      BatchLeader leader = leaders.get(BatchKeys.keyOf(pull.batch()));
      if (leader != null) {
        leader.pulled(pull, fromId, fromAddress);
      }
    } else if (message instanceof RangeAssignment handout) {
      feeder.handedOut(handout, fromId, fromAddress);
    } else if (message instanceof RangeReport report) {
      BatchLeader leader = leaders.get(BatchKeys.keyOf(report.batch()));
      if (leader != null) {
        leader.reported(report, fromId, fromAddress);
      }
    } else if (message instanceof RangeReportResponse answer) {
      feeder.answered(answer);
    } else if (message instanceof PeerLoadReport loads) {
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
          if (outcome.claim() != ElectionResult.OWNED || leader == null) {
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
    surroundings.after(LifecycleConstants.SHUTDOWN_DISPATCH_END_MS, this::stopFeeding);
    surroundings.after(LifecycleConstants.SHUTDOWN_NOTICE_MS, () -> stopTaking(whenDone));
  }

  /**
   * Items take longer than live requests: with none begun from here on, few are left to wait for.
   */
  private void stopFeeding() {
    if (!stopping) {
      feeder.drain();
      surroundings.after(LifecycleConstants.DRAIN_CHECK_INTERVAL_MS, this::stopFeeding);
    }
  }

  private void stopTaking(Runnable whenDone) {
    stopping = true;
    long left =
        bounds.graceMs()
            - LifecycleConstants.SHUTDOWN_NOTICE_MS
            - LifecycleConstants.SHUTDOWN_MARGIN_MS;
    long drainEndsAt =
        surroundings.now() + Math.max(0, Math.min(LifecycleConstants.DRAIN_TIMEOUT_MS, left));
    long itemsEndAt =
        Math.min(drainEndsAt, surroundings.now() + LifecycleConstants.SHUTDOWN_ITEM_GRACE_MS);
    surroundings.log(
        PART,
        "Takes nothing new: "
            + opaque.openRequests()
            + " requests and "
            + feeder.runningItems()
            + " batch items still run.");
    feeder.drain();
    leaveCore(() -> {});
    surroundings.after(ReplicationConstants.MAX_ELECTION_BACKOFF_MS, this::handOverLeaders);
    surroundings.after(
        ReplicationConstants.MAX_ELECTION_BACKOFF_MS + LifecycleConstants.DRAIN_CHECK_INTERVAL_MS,
        () -> drain(drainEndsAt, itemsEndAt, whenDone));
  }

  private void handOverLeaders() {
    for (BatchLeader leader : List.copyOf(leaders.values())) {
      String key = leader.key.key;
      NodeAddress successor = null;
      for (int attempt = 0; attempt < liveEdges().size() && successor == null; attempt++) {
        NodeAddress candidate = leaderPlacement().edge(key, attempt);
        successor = candidate.id().equals(place.id()) ? null : candidate;
      }
      leader.key.stop();
      leaders.remove(key);
      leader.lost();
      if (successor != null && leader.view.open()) {
        send(
            successor.address(),
            successor.id(),
            new LeadershipTransfer(key, leader.key.epoch(), leader.key.lastSequence()));
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
      surroundings.after(
          LifecycleConstants.DRAIN_CHECK_INTERVAL_MS,
          () -> drain(drainEndsAt, itemsEndAt, whenDone));
    }
  }
}
