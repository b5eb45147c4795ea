package applespindle.corelogic.edge;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchDispatcher;
import applespindle.corelogic.batch.BatchFormat;
import applespindle.corelogic.batch.BatchInput;
import applespindle.corelogic.batch.BatchLeader;
import applespindle.corelogic.batch.BatchReference;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.batch.SubmissionReader;
import applespindle.corelogic.batch.SubmissionWarmUp;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.TenantAccess;
import applespindle.corelogic.configuration.TenantKeys;
import applespindle.corelogic.configuration.WorkerRanks;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.constants.TenantConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.dataplane.DataPlaneNode;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Invariant;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.live.LiveRequest;
import applespindle.corelogic.live.LiveRequestDispatcher;
import applespindle.corelogic.live.LiveResponseListener;
import applespindle.corelogic.live.ProxiedResponseListener;
import applespindle.corelogic.live.ProxyDispatcher;
import applespindle.corelogic.live.RequestHandle;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.BatchEnded;
import applespindle.corelogic.protocol.Message.BatchOffer;
import applespindle.corelogic.protocol.Message.EntryChunk;
import applespindle.corelogic.protocol.Message.LeaderlessBatches;
import applespindle.corelogic.protocol.Message.LeadershipTransfer;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.PeerLoadReport;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Message.RangeAssignment;
import applespindle.corelogic.protocol.Message.RangeReport;
import applespindle.corelogic.protocol.Message.RangeReportResponse;
import applespindle.corelogic.protocol.Message.RangeRequest;
import applespindle.corelogic.protocol.Message.RangeSize;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.protocol.Operation;
import applespindle.corelogic.worker.EdgeContext;
import applespindle.corelogic.worker.PeerLoadReporter;
import applespindle.corelogic.worker.WorkerRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The edge: the node that takes clients' requests and batches. It wires the parts that do the work,
 * routes messages to them, and implements the services that they use: {@link LiveRequestDispatcher}
 * and {@link ProxyDispatcher} for live requests, {@link BatchRequests} for clients' requests about
 * batches, {@link BatchRequestHandler} and {@link BatchLeaders} for the batches led here, and
 * {@link BatchDispatcher} for the items that run at this edge's workers. It holds no state on disk.
 */
public final class EdgeNode extends DataPlaneNode
    implements EdgeServices,
        BatchLeader.Context,
        BatchDispatcher.Context,
        EdgeContext,
        EdgeGateway {
  private static final String LOG_PART = "edge";
  private static final String BATCH_LOG_PART = "batch";

  private final WorkerRegistry registry;
  private final LiveRequestDispatcher liveRequests;
  private final ProxyDispatcher proxiedRequests;
  private final StartupHold startupHold;
  private final BatchDispatcher batchDispatcher;
  private final DispatcherAssignment dispatcherAssignment;
  private final BatchLeaders leaders;
  private final BatchHints batchHints = new BatchHints();
  private final BatchRequests batchRequests;
  private final BatchRequestHandler batchRequestHandler;
  private final OnceClaims onceClaims;
  private final SubmissionWarmUp warmUp;
  private final DutyReports dutyReports;
  private final GracefulShutdown shutdown;

  /** The compiled routes of the configuration in force. */
  private RouteTable routes = RouteTable.EMPTY;

  /** The keys of the tenants of the configuration in force. */
  private TenantKeys tenantKeys = TenantKeys.NONE;

  private WorkerRanks workerRanks = WorkerRanks.OF_ROUTES;

  private Consumer<RoutingConfiguration> configurationListener = configuration -> {};

  /** An edge with the default settings and the own format of batches. */
  public EdgeNode(Environment environment, NodeIdentity identity) {
    this(environment, identity, NodeSettings.DEFAULT);
  }

  /** An edge with the own format of batches. */
  public EdgeNode(Environment environment, NodeIdentity identity, NodeSettings settings) {
    this(environment, identity, settings, BatchFormat.OWN);
  }

  /** An edge that is not started yet; {@code format} is that of proxied batches. */
  public EdgeNode(
      Environment environment, NodeIdentity identity, NodeSettings settings, BatchFormat format) {
    super(environment, identity, settings);
    SubmissionReader submissionReader = new SubmissionReader(format);
    ReplicaRequests replicaRequests = new ReplicaRequests(this);
    warmUp = new SubmissionWarmUp(environment, identity, format, submissionReader);
    leaders = new BatchLeaders(environment, this, this);
    registry = new WorkerRegistry(environment, this::dispatchQueued);
    registry.onCallStart(
        new PeerLoadReporter(environment, registry, this::zonePeers, this::send)::reportCallStart);
    liveRequests = new LiveRequestDispatcher(environment, identity.id(), this, registry);
    proxiedRequests = new ProxyDispatcher(environment, identity.zone(), this, registry);
    startupHold = new StartupHold(environment, proxiedRequests, this::routes);
    batchDispatcher = new BatchDispatcher(environment, identity.id(), this, registry);
    dispatcherAssignment = new DispatcherAssignment(identity.id(), this::liveEdges, this::workers);
    batchRequests = new BatchRequests(environment, this, () -> this.settings, leaders, batchHints);
    batchRequestHandler =
        new BatchRequestHandler(environment, this, leaders, replicaRequests, submissionReader);
    onceClaims = new OnceClaims(this, replicaRequests);
    dutyReports = new DutyReports(environment, identity, settings.duties(), registry, this);
    shutdown =
        new GracefulShutdown(
            environment, new ShutdownSteps(), batchDispatcher, this::requestsDrained);
  }

  // ---- timers

  @Override
  public void start() {
    super.start();
    repeatEvery(WorkerConstants.LOAD_POLL_INTERVAL_MS, this::tick);
  }

  private void tick() {
    leaders.tick();
    batchRequests
        .overdueSubmissions()
        .forEach(batch -> reportViolation(Invariant.SUBMISSION_ANSWERED_IN_TIME, batch));
    batchDispatcher.tick();
    liveRequests.tick();
    dutyReports.tick();
    warmUpWhenIdle();
  }

  private void dispatchQueued() {
    liveRequests.dispatchQueued();
    batchDispatcher.dispatch();
  }

  /** Waits until this edge is a member: only then is it known whether it may lead batches. */
  private void warmUpWhenIdle() {
    boolean idle =
        leaders.isEmpty()
            && proxiedRequests.openRequests() == 0
            && batchDispatcher.runningItems() == 0
            && liveRequests.runningRequests() == 0;
    boolean member = members().containsKey(identity.id());
    if (!idle || configuration() == null || stopping || !member) {
      return;
    }
    boolean leads = leaderPlacement().mayLead(identity.id());
    if (!warmUp.isDone(leads)) {
      warmUp.runRound(configuration(), leads);
    }
  }

  // ---- metadata

  @Override
  protected void metadataChanged(String key) {
    if (key.startsWith(MetadataKeys.WORKER_PREFIX) || key.equals(MetadataKeys.WORKER_LIST)) {
      dispatcherAssignment.invalidate();
      registry.updateWorkers(workers());
    } else if (key.equals(MetadataKeys.CONFIGURATION) && configuration() != null) {
      routes = RouteTable.compile(configuration());
      tenantKeys = TenantKeys.compile(configuration());
      workerRanks = WorkerRanks.compile(configuration());
      dutyReports.configurationChanged(configuration());
      configurationListener.accept(configuration());
    } else if (key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      dispatcherAssignment.invalidate();
    } else if (key.startsWith(MetadataKeys.SHARD_PREFIX)) {
      leaders.reconfigure(key);
    }
  }

  @Override
  protected void firstUpdateApplied() {
    startupHold.releaseAll();
  }

  /** The other live edges of this one's zone, which mostly send to the same workers. */
  private List<NodeRegistration> zonePeers() {
    return liveEdges().stream()
        .filter(
            member -> member.zone().equals(identity.zone()) && !member.id().equals(identity.id()))
        .toList();
  }

  // ---- clients' requests

  @Override
  public void onConfigurationChange(Consumer<RoutingConfiguration> listener) {
    configurationListener = listener;
  }

  /** Dispatches a live prompt. */
  public RequestHandle complete(LiveRequest request, LiveResponseListener listener) {
    return liveRequests.submit(request, listener);
  }

  @Override
  public RequestHandle proxy(ProxiedRequest request, ProxiedResponseListener listener) {
    if (isStarting() && !startupHold.isFull()) {
      return startupHold.hold(request, listener);
    }
    return proxiedRequests.submit(request, listener);
  }

  @Override
  public RoutingConfiguration.Route route(String host, String path) {
    return routes.find(host, path);
  }

  @Override
  public void submitProxiedBatch(
      BatchSubmission submission, String apiKey, Consumer<Response> callback) {
    batchRequests.submitProxied(submission, apiKey, callback);
  }

  @Override
  public void readProxiedResults(
      BatchReference batch, long from, long holdMs, Consumer<Response> callback) {
    batchRequests.readProxiedResults(batch, from, holdMs, callback);
  }

  @Override
  public void readProxiedItem(
      BatchReference batch, String item, FetchAdmission admission, Consumer<Response> callback) {
    batchRequests.readProxiedItem(batch, item, admission, callback);
  }

  @Override
  public void endProxiedBatch(BatchReference batch, Consumer<Response> callback) {
    batchRequests.endProxied(batch, callback);
  }

  /** Submits a batch of prompts; a repeat with the same key is the same batch. */
  public void submit(
      String sender, String idempotencyKey, BatchInput input, Consumer<Response> callback) {
    batchRequests.submitPrompts(sender, idempotencyKey, input, callback);
  }

  /** Reads the state of a batch. */
  public void readBatch(String batch, Consumer<Response> callback) {
    batchRequests.read(batch, callback);
  }

  /** Reads results of a batch of prompts after a position. */
  public void readResults(String batch, long after, int limit, Consumer<Response> callback) {
    batchRequests.readPromptResults(batch, after, limit, callback);
  }

  /** Ends a batch; no item of it begins any more. */
  public void endBatch(String batch, Consumer<Response> callback) {
    batchRequests.end(batch, callback);
  }

  // ---- requests of other nodes

  @Override
  protected void handleRequest(PeerRequest request) {
    batchRequestHandler.handle(request);
  }

  /** Responds to a request and to those that joined it. */
  @Override
  public void respond(PeerRequest request, Response response) {
    super.respond(request, response);
    batchRequestHandler.endSubmission(request).forEach(joined -> super.respond(joined, response));
  }

  /** Forwards a request and those that joined it. */
  @Override
  public void forward(PeerRequest request, String toId, String toAddress) {
    super.forward(request, toId, toAddress);
    batchRequestHandler
        .endSubmission(request)
        .forEach(joined -> super.forward(joined, toId, toAddress));
  }

  // ---- messages

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof VoteResponse response) {
      leaders.handleVoteResponse(response, fromId);
    } else if (message instanceof LogFetchResponse response) {
      leaders.handleLogFetchResponse(response);
    } else if (message instanceof EntryChunk chunk) {
      leaders.handleEntryChunk(chunk, fromId);
    } else if (message instanceof AppendResponse response) {
      leaders.handleAppendResponse(response, fromId);
    } else if (message instanceof LeadershipTransfer transfer) {
      leaders.acceptTransfer(transfer);
    } else if (message instanceof LeaderlessBatches leaderless) {
      leaderless.keys().forEach(leaders::recoverLeaderless);
    } else if (message instanceof PeerLoadReport report) {
      registry.recordPeerLoad(fromId, report);
    } else if (!handleBatchMessage(message, fromId, fromAddress)) {
      super.handle(message, fromId, fromAddress);
    }
  }

  /** False if the message is not one between a batch's leader and the dispatchers of its items. */
  private boolean handleBatchMessage(Message message, String fromId, String fromAddress) {
    if (message instanceof BatchOffer offer) {
      batchHints.record(
          offer.batch(),
          environment.nowMs() + offer.dueInMs(),
          new NodeAddress(fromId, fromAddress));
      batchDispatcher.handleOffer(offer, fromId, fromAddress);
    } else if (message instanceof RangeSize size) {
      batchDispatcher.handleRangeSize(size);
    } else if (message instanceof RangeRequest request) {
      BatchLeader leader = leaders.ofBatch(request.batch());
      if (leader != null) {
        leader.handleRangeRequest(request, fromId, fromAddress);
      }
    } else if (message instanceof RangeAssignment assignment) {
      batchDispatcher.handleAssignment(assignment, fromId, fromAddress);
    } else if (message instanceof RangeReport report) {
      BatchLeader leader = leaders.ofBatch(report.batch());
      if (leader != null) {
        leader.handleRangeReport(report, fromId, fromAddress);
      }
    } else if (message instanceof RangeReportResponse response) {
      batchDispatcher.handleReportResponse(response);
    } else if (message instanceof BatchEnded ended) {
      batchHints.batchEnded(ended.batch());
      batchDispatcher.batchEnded(ended.batch());
    } else {
      return false;
    }
    return true;
  }

  // ---- services for the parts

  @Override
  public RoutingConfiguration configuration() {
    return currentConfiguration();
  }

  @Override
  public RouteTable routes() {
    return routes;
  }

  @Override
  public TenantAccess tenantAccess(RoutingConfiguration.Route route, String apiKey) {
    ApiError stale = new ApiError.NodeIsolated(feedAge());
    return TenantAccess.check(
        tenantKeys, route, apiKey, areKeysOutdated() ? stale : null, isFeedStale() ? stale : null);
  }

  /**
   * Whether a key that is known here may have been taken away so long ago that it must admit
   * nobody. An edge that reaches a majority of the edges goes on without the control plane, but the
   * age of its metadata grows.
   */
  private boolean areKeysOutdated() {
    return settings.revokeMs() > 0 && feedAge() >= TenantConstants.maxKeyAgeMs(settings.revokeMs());
  }

  @Override
  public WorkerRanks workerRanks() {
    return workerRanks;
  }

  @Override
  public boolean isMetadataFresh() {
    return !isFeedStale();
  }

  @Override
  public ApiError rejectionOfNewWork() {
    return stopping ? new ApiError.NodeStopping() : rejectionOfAdmittedWork();
  }

  @Override
  public ApiError rejectionOfAdmittedWork() {
    return isIsolated() ? new ApiError.NodeIsolated(feedAge()) : null;
  }

  @Override
  public boolean dispatchesTo(String worker) {
    return dispatcherAssignment.isOwn(worker);
  }

  @Override
  public void claimIdempotencyId(String id, String token, Consumer<ApiError> callback) {
    onceClaims.claim(id, token, callback);
  }

  @Override
  public void releaseIdempotencyId(String id, String token) {
    onceClaims.release(id, token);
  }

  @Override
  public void send(String toAddress, String toId, Message message) {
    super.send(toAddress, toId, message);
  }

  @Override
  public void broadcastToEdges(Message message) {
    liveEdges().forEach(member -> send(member.peerAddress(), member.id(), message));
  }

  @Override
  public void reportCapacity(String batch, long capacity, LongConsumer callback) {
    requestControlPlane(
        Operation.UPDATE_BATCH_CAPACITY,
        MetadataKeys.BATCH_CAPACITY,
        JSON.createObjectNode().put("batch", batch).put("items", capacity),
        ReplicationConstants.COMMIT_TIMEOUT_MS,
        response -> {
          if (response.isSuccess()) {
            callback.accept(response.body().path("waiting").asLong());
          }
        });
  }

  @Override
  public Long lastKnownDueAt(String batch) {
    return batchHints.dueAt(batch);
  }

  @Override
  public void recordOffsetAhead(String batch) {
    incrementCounter("batch_offsets_ahead");
  }

  @Override
  public void recordRequestBegun(String tenant) {
    dutyReports.recordRequestBegun(tenant);
  }

  @Override
  public void incrementCounter(String counter) {
    super.incrementCounter(counter);
  }

  @Override
  public void reportViolation(Invariant invariant, String detail) {
    super.reportViolation(invariant, detail);
  }

  @Override
  public void log(String sentence) {
    environment.log(BATCH_LOG_PART, sentence);
  }

  // ---- readiness, status and shutdown

  /** An edge is ready without a lease: live requests do not need one. */
  @Override
  public String notReadyReason() {
    return shutdown.isAnnounced() ? "stopping" : super.notServingReason();
  }

  @Override
  public ObjectNode status() {
    ObjectNode status = super.status();
    status
        .put("opaqueOpen", proxiedRequests.openRequests())
        .put("liveRunning", liveRequests.runningRequests())
        .put("liveQueued", liveRequests.queuedRequests())
        .put("heldRanges", batchDispatcher.heldRanges())
        .put("batchRunning", batchDispatcher.runningItems())
        .put("heldItemBytes", batchDispatcher.heldItemBytes())
        .put("submissionBytes", batchRequestHandler.submissionBytes());
    leaders.describeMemory(status);
    leaders.describe(status.putObject("leads"));
    registry.describe(status.putArray("workers"));
    return status;
  }

  @Override
  public void stop(Runnable whenDone) {
    shutdown.begin(whenDone);
  }

  private boolean requestsDrained() {
    return liveRequests.runningRequests() == 0
        && liveRequests.queuedRequests() == 0
        && proxiedRequests.openRequests() == 0
        && batchRequests.pendingSubmissions() == 0;
  }

  private final class ShutdownSteps implements GracefulShutdown.ShutdownSteps {
    @Override
    public boolean isStopping() {
      return stopping;
    }

    @Override
    public void rejectNewWork() {
      stopping = true;
      environment.log(
          LOG_PART,
          "New work is rejected: "
              + proxiedRequests.openRequests()
              + " requests and "
              + batchDispatcher.runningItems()
              + " batch items still run.");
      batchDispatcher.drain();
      releaseLease(() -> {});
    }

    @Override
    public void transferLeadership() {
      leaders.transferAll(batchDispatcher);
    }

    @Override
    public void flushReports(Runnable whenDone) {
      dutyReports.flush(whenDone);
    }

    @Override
    public void terminate() {
      EdgeNode.this.terminate();
    }

    @Override
    public long graceMs() {
      return settings.shutdownGraceMs();
    }
  }
}
