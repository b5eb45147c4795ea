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

  private final WorkerRegistry registry;
  private final LiveRequestDispatcher liveRequests;
  private final ProxyDispatcher proxiedRequests;
  private final BatchDispatcher batchDispatcher;
  private final SubmissionReader submissionReader;
  private final SubmissionWarmUp warmUp;
  private final SubmissionsInProgress submissionsInWork = new SubmissionsInProgress();
  private final PendingSubmissions submissions = new PendingSubmissions();
  private boolean stopAnnounced;

  /** Of the bundle in force. */
  private RouteTable routes = RouteTable.EMPTY;

  /** Requests that came before the core's first news; in their order. */
  private final List<HeldRequest> early = new ArrayList<>();

  private Consumer<RoutingConfiguration> whenBundleChanges = unheard -> {};
  private final Map<String, BatchLeader> leaders = new TreeMap<>();
  private final Elections elections;

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

  public EdgeNode(Environment environment, NodeIdentity identity) {
    this(environment, identity, NodeSettings.DEFAULT);
  }

  public EdgeNode(Environment environment, NodeIdentity identity, NodeSettings settings) {
    this(environment, identity, settings, BatchFormat.OWN);
  }

  public EdgeNode(
      Environment environment, NodeIdentity identity, NodeSettings settings, BatchFormat format) {
    super(environment, identity, settings);
    submissionReader = new SubmissionReader(format);
    warmUp = new SubmissionWarmUp(environment, identity, format, submissionReader);
    elections =
        new Elections(
            environment,
            identity.id(),
            this::send,
            this::replicaConfigurationOf,
            this::becomeLeader);
    registry = new WorkerRegistry(environment, this::pump);
    registry.onCallStart(
        new PeerLoadReporter(environment, registry, this::zonePeers, this::send)::reportCallStart);
    liveRequests = new LiveRequestDispatcher(environment, identity.id(), this, registry);
    proxiedRequests = new ProxyDispatcher(environment, identity.zone(), this, registry);
    batchDispatcher = new BatchDispatcher(environment, identity.id(), this, registry);
  }

  @Override
  public void start() {
    super.start();
    repeatEvery(WorkerConstants.LOAD_POLL_INTERVAL_MS, this::tick);
  }

  /** The other live edges of this one's zone, which mostly send to the same workers. */
  private List<NodeRegistration> zonePeers() {
    return liveEdges().stream()
        .filter(
            member -> member.zone().equals(identity.zone()) && !member.id().equals(identity.id()))
        .toList();
  }

  private void pump() {
    liveRequests.dispatchQueued();
    batchDispatcher.pump();
  }

  private void tick() {
    for (BatchLeader leader : List.copyOf(leaders.values())) {
      if (leader.tick()) {
        leader.leader.resign();
        leaders.remove(leader.leader.key);
        leader.leadershipLost();
      }
    }
    submissions
        .overdue(environment.nowMs())
        .forEach(batch -> reportViolation(Invariant.SUBMISSION_ANSWERED_IN_TIME, batch));
    batchDispatcher.tick();
    liveRequests.tick();
    warmUpWhenIdle();
  }

  /** Not before this edge is a member: only then is it known whether it is to lead batches. */
  private void warmUpWhenIdle() {
    boolean idle =
        leaders.isEmpty()
            && proxiedRequests.openRequests() == 0
            && batchDispatcher.runningItems() == 0
            && liveRequests.runningRequests() == 0;
    if (!idle || configuration == null || stopping || !members.containsKey(identity.id())) {
      return;
    }
    boolean leads = leaderPlacement().mayLead(identity.id());
    if (!warmUp.done(leads)) {
      warmUp.round(configuration, leads);
    }
  }

  @Override
  protected void metadataChanged(String key) {
    if (key.startsWith(MetadataKeys.WORKER_PREFIX) || key.equals(MetadataKeys.WORKER_LIST)) {
      feederOfWorker.clear();
      registry.updateWorkers(workers);
    } else if (key.equals(MetadataKeys.CONFIGURATION) && configuration != null) {
      routes = RouteTable.compile(configuration);
      whenBundleChanges.accept(configuration);
    } else if (key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      feederOfWorker.clear();
    } else if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      leaders.values().stream()
          .map(leader -> leader.leader)
          .filter(owned -> MetadataKeys.shardOf(owned.key).equals(key))
          .toList()
          .forEach(owned -> owned.reconfigure(replicaConfigurationOf(owned.key)));
      elections.reconfigure();
    }
  }

  // ---- what the interface calls

  @Override
  public void onConfigurationChange(Consumer<RoutingConfiguration> then) {
    whenBundleChanges = then;
  }

  public RequestHandle complete(LiveRequest request, LiveResponseListener listener) {
    return liveRequests.submit(request, listener);
  }

  /** Passes an opaque request on to a worker by the bundle's routes. */
  @Override
  public RequestHandle proxy(ProxiedRequest request, ProxiedResponseListener listener) {
    if (!isStarting() || early.size() >= LifecycleConstants.MAX_STARTUP_HELD_REQUESTS) {
      return proxiedRequests.submit(request, listener);
    }
    HeldRequest held = new HeldRequest(request, listener);
    early.add(held);
    environment.schedule(LifecycleConstants.STARTUP_HOLD_MS, held::goOn);
    return held;
  }

  /** A request that waits for the core's first news. */
  private final class HeldRequest implements RequestHandle {
    private final ProxiedRequest request;
    private final ProxiedResponseListener listener;
    private final long cameAt = environment.nowMs();
    private boolean gone;
    private RequestHandle taken;

    HeldRequest(ProxiedRequest request, ProxiedResponseListener listener) {
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
        listener.rejected(
            Response.ofRetryAfterMs(
                new ApiError.NoConfiguration(), LiveRequestConstants.MIN_RETRY_AFTER_MS));
      } else {
        taken =
            proxiedRequests.submit(request.after(environment.nowMs() - cameAt), listener, cameAt);
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
  protected void firstUpdateApplied() {
    List.copyOf(early).forEach(HeldRequest::goOn);
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
  public void submitProxiedBatch(BatchSubmission submission, Consumer<Response> then) {
    ApiError hindrance = rejectionOfNewWork();
    if (hindrance == null && configuration == null) {
      hindrance = new ApiError.NoConfiguration();
    }
    if (hindrance == null && routes.findBatch(submission.host(), submission.path()) == null) {
      hindrance = new ApiError.NoMatchingRule();
    }
    if (hindrance != null) {
      then.accept(Response.of(hindrance));
      return;
    }
    StageTimer trace = new StageTimer(environment);
    byte[] body = new BatchSubmission.Forwarded(submission, configuration.number()).encode();
    String batch = BatchKeys.proxiedBatchId(submission.id());
    long expiryMs = PeerRequestConstants.REQUEST_TIMEOUT_MS + replicationTimeMs(body.length);
    long open =
        submissions.begin(
            batch, environment.nowMs() + expiryMs + PeerRequestConstants.RESPONSE_SLACK_MS);
    askLeader(
        PeerRequest.SUBMIT,
        batch,
        body,
        PeerRequestConstants.ATTEMPT_TIMEOUT_MS + replicationTimeMs(body.length),
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
                  + response.errorType()
                  + " bytes="
                  + body.length
                  + trace
                  + ".");
          then.accept(response);
        });
  }

  /** How long a leader on a slow link takes to send so much to its replicas. */
  private long replicationTimeMs(long bytes) {
    return bytes
        * (2L * settings.faultTolerance() + 1)
        / ReplicationConstants.SLOW_LINK_BYTES_PER_MS;
  }

  @Override
  public void readProxiedResults(
      String batch, long from, long wantedHoldMs, Consumer<Response> then) {
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
      String operation, String batch, ObjectNode body, long holdMs, Consumer<Response> then) {
    askLeader(
        operation,
        BatchKeys.proxiedBatchId(batch),
        body,
        holdMs + BatchConstants.READ_ATTEMPT_TIMEOUT_MS,
        holdMs + BatchConstants.READ_TIMEOUT_MS,
        response ->
            then.accept(
                response.status() >= 500 ? Response.of(new ApiError.NoQuorum(batch)) : response));
  }

  @Override
  public void readProxiedItem(String batch, String item, Consumer<Response> then) {
    readOpaque("opaque-item", batch, JSON.createObjectNode().put("item", item), 0, then);
  }

  @Override
  public void endProxiedBatch(String batch, Consumer<Response> then) {
    endBatch(BatchKeys.proxiedBatchId(batch), then);
  }

  public void submit(
      String sender, String idempotencyKey, BatchInput input, Consumer<Response> then) {
    ApiError hindrance = rejectionOfNewWork();
    if (hindrance == null && configuration == null) {
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

  private void askLeader(String operation, String batch, Object body, Consumer<Response> then) {
    askLeader(
        operation,
        batch,
        body,
        PeerRequestConstants.ATTEMPT_TIMEOUT_MS,
        PeerRequestConstants.REQUEST_TIMEOUT_MS,
        then);
  }

  private void askLeader(
      String operation,
      String batch,
      Object body,
      long tryMs,
      long expiryMs,
      Consumer<Response> then) {
    String key = BatchKeys.keyOf(batch);
    sendRequest(
        attempt -> leaderOf(key, operation, attempt), operation, key, body, tryMs, expiryMs, then);
  }

  /**
   * Whom to ask: the edge that leads the batch as far as is known; else, where it is handed in, the
   * first of those that are fit to lead it, seen from here; else the first in the agreed order.
   * Whoever is asked finds the true leader.
   */
  private NodeAddress leaderOf(String key, String operation, int attempt) {
    if (leaders.containsKey(key)) {
      return new NodeAddress(identity.id(), identity.peerAddress());
    }
    NodeAddress known = leaderOfBatch.get(BatchKeys.batchOf(key));
    if (known != null
        && attempt == 0
        && members.containsKey(known.id())
        && !known.id().equals(identity.id())) {
      return known;
    }
    int rank = known == null ? attempt : Math.max(0, attempt - 1);
    if (!operation.equals(PeerRequest.SUBMIT) || !BatchKeys.isProxied(key)) {
      return leaderPlacement().edge(key, rank);
    }
    return leaderPlacement().edgeFrom(identity, key, rank);
  }

  // ---- asks to the leader of a batch

  @Override
  protected void handleRequest(PeerRequest request) {
    BatchLeader leader = leaders.get(request.key());
    boolean leads = leader != null && leader.leader.isLeading();
    if (request.operation().equals(PeerRequest.SUBMIT) && submissionsInWork.join(request)) {
      incrementCounter("submissions_joined");
    } else if (leads && !request.operation().equals(PeerRequest.SUBMIT)) {
      serve(request, leader);
    } else if (leads) {
      readSubmission(request, (accepted, trace) -> serveSubmission(request, leader, accepted));
    } else if (stopping) {
      respond(request, Response.of(new ApiError.NodeStopping()));
    } else if (isIsolated()) {
      respond(request, Response.of(new ApiError.NodeIsolated(feedAge())));
    } else if (request.operation().equals(PeerRequest.SUBMIT)) {
      readSubmission(
          request, (accepted, trace) -> reserveCapacityThenLead(request, accepted, trace));
    } else {
      lookUpRecord(
          request.key(),
          peeked ->
              serveAfterLookup(
                  request,
                  peeked,
                  Response.of(new ApiError.NoSuchBatch(BatchKeys.batchOf(request.key()))),
                  led -> serve(request, led)));
    }
  }

  /** Reads the batch that is handed in; one that can't be taken is refused at once. */
  private void readSubmission(PeerRequest request, BiConsumer<Accepted, StageTimer> then) {
    if (submissionsInWork.bytes() > BatchConstants.MAX_SUBMISSION_BYTES_IN_PROGRESS) {
      respond(request, Response.of(new ApiError.Overloaded("batches being accepted")));
      return;
    }
    submissionsInWork.begin(request);
    environment.schedule(PeerRequestConstants.PROGRESS_INTERVAL_MS, () -> reportProgress(request));
    if (!leaderPlacement().mayLead(identity.id())) {
      incrementCounter("submissions_at_unfit_edge");
    }
    StageTimer trace = new StageTimer(environment);
    SubmissionReader.ReadResult taken =
        submissionReader.read(request.body(), configuration, routes);
    trace.mark("read");
    if (taken.error() != null) {
      respond(request, Response.of(taken.error()));
    } else {
      then.accept(taken.accepted(), trace);
    }
  }

  /**
   * Says that this edge still works on a batch, as long as it hears the core: whoever asked sends
   * the body to no second leader meanwhile.
   */
  private void reportProgress(PeerRequest submission) {
    List<PeerRequest> waiting = submissionsInWork.waitingFor(submission);
    if (waiting.isEmpty() || isTerminated() || isIsolated()) {
      return;
    }
    for (PeerRequest each : waiting) {
      send(each.originAddress(), each.originId(), new PeerRequestProgress(each.correlation()));
    }
    environment.schedule(
        PeerRequestConstants.PROGRESS_INTERVAL_MS, () -> reportProgress(submission));
  }

  /** Whoever joined the ask while it was at work is told the same. */
  @Override
  public void respond(PeerRequest request, Response response) {
    super.respond(request, response);
    submissionsInWork.end(request).forEach(joined -> super.respond(joined, response));
  }

  @Override
  protected void forward(PeerRequest request, String toId, String toAddress) {
    super.forward(request, toId, toAddress);
    submissionsInWork.end(request).forEach(joined -> super.forward(joined, toId, toAddress));
  }

  /** What the replicas say of a key: whether there is such a record, and who holds it just now. */
  private record RecordLookup(Boolean present, NodeAddress holder) {
    static final RecordLookup UNCERTAIN = new RecordLookup(null, NodeAddress.NONE);
  }

  /**
   * Whoever owns the record or is claiming it serves the ask: a second claim would only overtake
   * the first one. Else this edge claims it.
   */
  private void serveAfterLookup(
      PeerRequest request,
      RecordLookup peeked,
      Response whenAbsent,
      Consumer<BatchLeader> whenLed) {
    NodeAddress holder = peeked.holder();
    if (peeked.present() == null) {
      respond(request, Response.of(new ApiError.NoQuorum(request.key())));
    } else if (!peeked.present()) {
      respond(request, whenAbsent);
    } else if (request.hops() > 0 && !holder.id().isEmpty() && !holder.id().equals(identity.id())) {
      forward(request, holder.id(), holder.address());
    } else {
      electThen(request, new StageTimer(environment), whenLed);
    }
  }

  private void serve(PeerRequest request, BatchLeader leader) {
    if (!leader.leader.isInContactWithQuorum()) {
      respond(request, Response.of(new ApiError.NoQuorum(request.key())));
      return;
    }
    JsonNode body = Json.tree(request.body());
    switch (request.operation()) {
      case "get" -> leader.read(response -> respond(request, response));
      case "results" ->
          leader.readPromptResults(
              body.path("after").asLong(),
              body.path("limit").asInt(),
              response -> respond(request, response));
      case "remove" -> leader.remove(response -> respond(request, response));
      case "end" -> leader.end(response -> respond(request, response));
      case "opaque-results" ->
          leader.readProxiedResults(
              body.path("from").asLong(),
              body.path("holdMs").asLong(),
              response -> respond(request, response));
      case "opaque-item" ->
          leader.readProxiedItem(
              body.path("item").asText(), response -> respond(request, response));
      default -> respond(request, Response.of(new ApiError.UnknownRequest(request.operation())));
    }
  }

  private void serveSubmission(PeerRequest request, BatchLeader leader, Accepted accepted) {
    if (leader.leader.isInContactWithQuorum()) {
      leader.submit(accepted, response -> respond(request, response));
    } else {
      respond(request, Response.of(new ApiError.NoQuorum(request.key())));
    }
  }

  /**
   * Room first, then the record: a refusal for want of room is said before anything of the batch is
   * written.
   */
  private void reserveCapacityThenLead(PeerRequest request, Accepted accepted, StageTimer trace) {
    Consumer<BatchLeader> whenLed = leader -> serveSubmission(request, leader, accepted);
    requestControlPlane(
        "room",
        MetadataKeys.BATCH_CAPACITY,
        reservation(BatchKeys.batchOf(request.key()), accepted),
        PeerRequestConstants.CAPACITY_RESERVATION_TIMEOUT_MS,
        response -> {
          trace.mark("reserve");
          if (response.isSuccess()) {
            electThen(request, trace, whenLed);
          } else if (response.errorType().equals("NoRoom")
              || response.errorType().equals("BatchOverCeiling")) {
            lookUpRecord(
                request.key(), peeked -> serveAfterLookup(request, peeked, response, whenLed));
          } else {
            respond(request, Response.of(new ApiError.NoQuorum(MetadataKeys.BATCH_CAPACITY)));
          }
        });
  }

  private ObjectNode reservation(String batch, Accepted accepted) {
    ObjectNode reservation = JSON.createObjectNode().put("batch", batch).put("reserve", true);
    BatchEvent.ProxiedRoute proxiedRoute = accepted.opaque();
    if (proxiedRoute == null) {
      return reservation
          .put("items", accepted.items().size())
          .put(
              "ceiling",
              configuration == null ? 0 : configuration.limits().batch().waitingItemsMost());
    }
    long tokens =
        accepted.items().stream()
            .mapToLong(item -> Math.max(1, item.path("tokens").asLong()))
            .sum();
    return reservation
        .put("items", tokens)
        .put("ceiling", proxiedRoute.ceiling())
        .put("group", proxiedRoute.route());
  }

  private void electThen(PeerRequest request, StageTimer trace, Consumer<BatchLeader> whenLed) {
    elect(
        request.key(),
        false,
        outcome -> {
          trace.mark("claim");
          log(
              "Leadership asked for: duty="
                  + request.operation()
                  + " batch="
                  + BatchKeys.batchOf(request.key())
                  + " outcome="
                  + outcome.result()
                  + trace
                  + ".");
          switch (outcome.result()) {
            case ELECTED -> {
              BatchLeader leader = leaders.get(request.key());
              if (leader == null) {
                respond(request, Response.of(new ApiError.NotLeader(request.key())));
              } else {
                whenLed.accept(leader);
              }
            }
            case LEADER_ALIVE -> forward(request, outcome.leaderId(), outcome.leaderAddress());
            case NO_QUORUM -> respond(request, Response.of(new ApiError.NoQuorum(request.key())));
          }
        });
  }

  private void elect(String key, boolean handedOver, Consumer<ElectionOutcome> then) {
    BatchLeader present = leaders.get(key);
    if (present != null && present.leader.isLeading()) {
      then.accept(
          new ElectionOutcome(ElectionResult.ELECTED, identity.id(), identity.peerAddress()));
      return;
    }
    elections.elect(key, handedOver, then);
  }

  private void becomeLeader(ReplicatedLogLeader logLeader) {
    String key = logLeader.key;
    leaders.put(key, new BatchLeader(environment, this, BatchKeys.batchOf(key), logLeader));
    traceLog.add("leads", key, "epoch " + logLeader.epoch().counter());
    logLeader.onLeadershipLost(
        () -> {
          BatchLeader lost = leaders.remove(key);
          if (lost != null) {
            lost.leadershipLost();
          }
          traceLog.add("lost", key, "");
          environment.log(PART, "Leadership lost: " + key + ".");
        });
  }

  /**
   * Asks each replica of a key's shard once; the callback hears of each answer, and whether it was
   * the last.
   */
  private void askReplicas(
      ReplicaConfiguration replicaConfiguration,
      String operation,
      String key,
      ObjectNode body,
      BiConsumer<String, Response> then) {
    body.put("setNumber", replicaConfiguration.version());
    for (NodeAddress replica : replicaConfiguration.allReplicas()) {
      sendRequest(
          attempt -> attempt == 0 ? new NodeAddress(replica.id(), replica.address()) : null,
          operation,
          key,
          body,
          PeerRequestConstants.ATTEMPT_TIMEOUT_MS,
          response -> then.accept(replica.id(), response));
    }
  }

  /** True or false on a majority's evidence, else null. Writes nothing anywhere. */
  private void lookUpRecord(String key, Consumer<RecordLookup> then) {
    ReplicaConfiguration replicaConfiguration = replicaConfigurationOf(key);
    if (replicaConfiguration.isEmpty()) {
      then.accept(RecordLookup.UNCERTAIN);
      return;
    }
    Set<String> absent = new HashSet<>();
    int[] heard = new int[1];
    boolean[] told = new boolean[1];
    askReplicas(
        replicaConfiguration,
        "peek",
        key,
        JSON.createObjectNode(),
        (replica, response) -> {
          heard[0]++;
          boolean present = response.isSuccess() && response.body().path("present").asBoolean();
          if (response.isSuccess() && !present) {
            absent.add(replica);
          }
          boolean certain = present || replicaConfiguration.isQuorum(absent);
          if (!told[0] && (certain || heard[0] == replicaConfiguration.allReplicas().size())) {
            told[0] = true;
            then.accept(
                certain ? new RecordLookup(present, holder(response)) : RecordLookup.UNCERTAIN);
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
  public void broadcastToEdges(Message message) {
    liveEdges().forEach(member -> send(member.peerAddress(), member.id(), message));
  }

  private void releaseCapacity(String batch) {
    reportCapacity(batch, 0, waiting -> {});
  }

  @Override
  public void reportCapacity(String batch, long room, LongConsumer then) {
    requestControlPlane(
        "room",
        MetadataKeys.BATCH_CAPACITY,
        JSON.createObjectNode().put("batch", batch).put("items", room),
        ReplicationConstants.COMMIT_TIMEOUT_MS,
        response -> {
          if (response.isSuccess()) {
            then.accept(response.body().path("waiting").asLong());
          }
        });
  }

  @Override
  public boolean isMetadataFresh() {
    return !isFeedStale();
  }

  @Override
  public void log(String sentence) {
    environment.log("batch", sentence);
  }

  @Override
  public void reportViolation(Invariant invariant, String detail) {
    super.reportViolation(invariant, detail);
  }

  @Override
  public void recordOffsetAhead(String batch) {
    incrementCounter("batch_offsets_ahead");
  }

  @Override
  public Long lastKnownDueAt(String batch) {
    return dueAtOfBatch.get(batch);
  }

  @Override
  public boolean dispatchesTo(String worker) {
    return identity
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
  public ApiError rejectionOfNewWork() {
    if (stopping) {
      return new ApiError.NodeStopping();
    }
    return rejectionOfAdmittedWork();
  }

  @Override
  public ApiError rejectionOfAdmittedWork() {
    return isIsolated() ? new ApiError.NodeIsolated(feedAge()) : null;
  }

  @Override
  public RoutingConfiguration configuration() {
    return configuration;
  }

  @Override
  public RouteTable routes() {
    return routes;
  }

  @Override
  public boolean isStopping() {
    return stopping;
  }

  @Override
  public void incrementCounter(String counter) {
    super.incrementCounter(counter);
  }

  @Override
  public void claimOnce(String id, String token, Consumer<ApiError> then) {
    String key = MetadataKeys.ONCE_PREFIX + id;
    ReplicaConfiguration replicaConfiguration = replicaConfigurationOf(key);
    if (replicaConfiguration.isEmpty()) {
      then.accept(new ApiError.NoQuorum(key));
      return;
    }
    Set<String> won = new HashSet<>();
    Set<String> open = new HashSet<>();
    replicaConfiguration.allReplicas().forEach(replica -> open.add(replica.id()));
    boolean[] claimedByOther = new boolean[1];
    boolean[] told = new boolean[1];
    askReplicas(
        replicaConfiguration,
        "claim",
        key,
        JSON.createObjectNode().put("token", token),
        (replica, response) -> {
          if (response.isSuccess()) {
            won.add(replica);
          } else {
            open.remove(replica);
            claimedByOther[0] |= response.errorType().equals("AlreadyClaimed");
          }
          boolean lost = !replicaConfiguration.isQuorum(open);
          if (told[0] || !lost && !replicaConfiguration.isQuorum(won)) {
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
    replicaConfigurationOf(key)
        .allReplicas()
        .forEach(
            replica ->
                sendRequest(
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
      elections.handleVoteResponse(promised, fromId);
    } else if (message instanceof LogFetchResponse part) {
      elections.handleLogFetchResponse(part);
    } else if (message instanceof AppendResponse appended) {
      BatchLeader leader = leaders.get(appended.key());
      ReplicatedLogLeader logLeader =
          leader != null ? leader.leader : elections.inProgress(appended.key());
      if (logLeader != null) {
        logLeader.handleAppendResponse(appended, fromId);
      }
    } else if (message instanceof LeadershipTransfer handedOver) {
      if (!stopping && !leaders.containsKey(handedOver.key())) {
        elect(handedOver.key(), true, outcome -> {});
      }
    } else if (message instanceof LeaderlessBatches unfinished) {
      unfinished.keys().forEach(this::recoverLeaderlessBatch);
    } else if (message instanceof BatchOffer offer) {
      dueAtOfBatch.put(offer.batch(), environment.nowMs() + offer.dueInMs());
      leaderOfBatch.put(offer.batch(), new NodeAddress(fromId, fromAddress));
      batchDispatcher.handleOffer(offer, fromId, fromAddress);
    } else if (message instanceof RangeRequest pull) {
      BatchLeader leader = leaders.get(BatchKeys.keyOf(pull.batch()));
      if (leader != null) {
        leader.handleRangeRequest(pull, fromId, fromAddress);
      }
    } else if (message instanceof RangeAssignment handout) {
      batchDispatcher.handleAssignment(handout, fromId, fromAddress);
    } else if (message instanceof RangeReport report) {
      BatchLeader leader = leaders.get(BatchKeys.keyOf(report.batch()));
      if (leader != null) {
        leader.handleRangeReport(report, fromId, fromAddress);
      }
    } else if (message instanceof RangeReportResponse answer) {
      batchDispatcher.handleReportResponse(answer);
    } else if (message instanceof PeerLoadReport loads) {
      registry.recordPeerLoad(fromId, loads);
    } else if (message instanceof BatchEnded ended) {
      dueAtOfBatch.remove(ended.batch());
      batchDispatcher.batchEnded(ended.batch());
    } else {
      super.handle(message, fromId, fromAddress);
    }
  }

  /**
   * A batch without a leader, or a ledger entry nobody spoke of: looks, leads it on, or makes its
   * absence lasting.
   */
  private void recoverLeaderlessBatch(String key) {
    if (stopping || isIsolated()) {
      return;
    }
    elect(
        key,
        false,
        outcome -> {
          BatchLeader leader = leaders.get(key);
          if (outcome.result() != ElectionResult.ELECTED || leader == null) {
            return;
          }
          if (leader.batchState.accepted == null) {
            leader.refuse(
                error -> {
                  if (error == null) {
                    releaseCapacity(leader.batch);
                  }
                });
          } else if (!leader.batchState.isOpen()) {
            releaseCapacity(leader.batch);
          }
        });
  }

  // ---- readiness and end

  @Override
  public ObjectNode status() {
    ObjectNode status = super.status();
    status
        .put("opaqueOpen", proxiedRequests.openRequests())
        .put("liveRunning", liveRequests.runningRequests())
        .put("liveQueued", liveRequests.queuedRequests())
        .put("heldRanges", batchDispatcher.heldRanges())
        .put("batchRunning", batchDispatcher.runningItems());
    ObjectNode leading = status.putObject("leads");
    leaders.forEach(
        (key, leader) ->
            leading.put(
                leader.batch,
                leader.batchState.state()
                    + ", epoch "
                    + leader.leader.epoch().counter()
                    + ", recorded "
                    + leader.batchState.results.size()
                    + " of "
                    + leader.batchState.items()));
    registry.describe(status.putArray("workers"));
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
    environment.schedule(LifecycleConstants.SHUTDOWN_DISPATCH_END_MS, this::stopDispatching);
    environment.schedule(LifecycleConstants.SHUTDOWN_NOTICE_MS, () -> rejectNewWork(whenDone));
  }

  /**
   * Items take longer than live requests: with none begun from here on, few are left to wait for.
   */
  private void stopDispatching() {
    if (!stopping) {
      batchDispatcher.drain();
      environment.schedule(LifecycleConstants.DRAIN_CHECK_INTERVAL_MS, this::stopDispatching);
    }
  }

  private void rejectNewWork(Runnable whenDone) {
    stopping = true;
    long left =
        settings.shutdownGraceMs()
            - LifecycleConstants.SHUTDOWN_NOTICE_MS
            - LifecycleConstants.SHUTDOWN_MARGIN_MS;
    long drainEndsAt =
        environment.nowMs() + Math.max(0, Math.min(LifecycleConstants.DRAIN_TIMEOUT_MS, left));
    long itemsEndAt =
        Math.min(drainEndsAt, environment.nowMs() + LifecycleConstants.SHUTDOWN_ITEM_GRACE_MS);
    environment.log(
        PART,
        "Takes nothing new: "
            + proxiedRequests.openRequests()
            + " requests and "
            + batchDispatcher.runningItems()
            + " batch items still run.");
    batchDispatcher.drain();
    releaseLease(() -> {});
    environment.schedule(ReplicationConstants.MAX_ELECTION_BACKOFF_MS, this::transferLeadership);
    environment.schedule(
        ReplicationConstants.MAX_ELECTION_BACKOFF_MS + LifecycleConstants.DRAIN_CHECK_INTERVAL_MS,
        () -> drain(drainEndsAt, itemsEndAt, whenDone));
  }

  private void transferLeadership() {
    for (BatchLeader leader : List.copyOf(leaders.values())) {
      String key = leader.leader.key;
      NodeAddress successor = null;
      for (int attempt = 0; attempt < liveEdges().size() && successor == null; attempt++) {
        NodeAddress candidate = leaderPlacement().edge(key, attempt);
        successor = candidate.id().equals(identity.id()) ? null : candidate;
      }
      leader.leader.resign();
      leaders.remove(key);
      leader.leadershipLost();
      if (successor != null && leader.batchState.isOpen()) {
        send(
            successor.address(),
            successor.id(),
            new LeadershipTransfer(key, leader.leader.epoch(), leader.leader.lastSequence()));
        batchDispatcher.leaderMoved(leader.batch, successor.id(), successor.address());
        environment.log("batch", "Batch handed over: " + leader.batch + ".");
      }
    }
  }

  private void drain(long drainEndsAt, long itemsEndAt, Runnable whenDone) {
    boolean drained =
        (batchDispatcher.drain() || environment.nowMs() >= itemsEndAt)
            && liveRequests.runningRequests() == 0
            && liveRequests.queuedRequests() == 0
            && proxiedRequests.openRequests() == 0
            && submissions.size() == 0;
    if (drained || environment.nowMs() >= drainEndsAt) {
      terminate();
      whenDone.run();
    } else {
      environment.schedule(
          LifecycleConstants.DRAIN_CHECK_INTERVAL_MS,
          () -> drain(drainEndsAt, itemsEndAt, whenDone));
    }
  }
}
