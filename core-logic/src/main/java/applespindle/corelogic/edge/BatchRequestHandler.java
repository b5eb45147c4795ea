package applespindle.corelogic.edge;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.batch.BatchEvent.ProxiedRoute;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.batch.BatchLeader;
import applespindle.corelogic.batch.ItemBody;
import applespindle.corelogic.batch.SubmissionReader;
import applespindle.corelogic.batch.SubmissionsInProgress;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.edge.ReplicaRequests.RecordLookup;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.StageTimer;
import applespindle.corelogic.memory.MemoryHolder;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Message.PeerRequestProgress;
import applespindle.corelogic.protocol.Operation;
import applespindle.corelogic.replication.ElectionOutcome;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;

/**
 * Handles requests about batches at the edge that leads the batch or is to lead it. Invariants: a
 * request is served only by a leader in contact with a quorum; a submission reserves its capacity
 * before anything of it is written; one that is repeated while the first is in progress joins it.
 */
final class BatchRequestHandler {
  private final Environment environment;
  private final EdgeServices edge;
  private final BatchLeaders leaders;
  private final ReplicaRequests replicaRequests;
  private final SubmissionReader submissionReader;
  private final SubmissionsInProgress submissions;

  BatchRequestHandler(
      Environment environment,
      EdgeServices edge,
      BatchLeaders leaders,
      ReplicaRequests replicaRequests,
      SubmissionReader submissionReader) {
    this.environment = environment;
    this.edge = edge;
    this.leaders = leaders;
    this.replicaRequests = replicaRequests;
    this.submissionReader = submissionReader;
    this.submissions =
        new SubmissionsInProgress(environment.memory().open(MemoryHolder.SUBMISSIONS));
  }

  void handle(PeerRequest request) {
    boolean submission = request.operation() == Operation.SUBMIT_BATCH;
    if (submission && submissions.join(request)) {
      edge.incrementCounter("submissions_joined");
      return;
    }
    BatchLeader leader = leaders.get(request.key());
    if (leader != null && leader.logLeader.isLeading()) {
      handleAsLeader(request, submission, leader);
    } else if (edge.isStopping()) {
      respond(request, new ApiError.NodeStopping());
    } else if (edge.isIsolated()) {
      respond(request, new ApiError.NodeIsolated(edge.feedAge()));
    } else if (submission) {
      readSubmission(
          request, (accepted, timer) -> reserveCapacityThenLead(request, accepted, timer));
    } else {
      findLeaderThenServe(request);
    }
  }

  private void handleAsLeader(PeerRequest request, boolean submission, BatchLeader leader) {
    if (submission) {
      readSubmission(request, (accepted, timer) -> serveSubmission(request, leader, accepted));
    } else {
      serve(request, leader);
    }
  }

  private void respond(PeerRequest request, ApiError error) {
    edge.respond(request, Response.of(error));
  }

  /** The bytes of the submissions in progress. */
  long submissionBytes() {
    return submissions.bytes();
  }

  /** Ends a submission; returns the requests that joined it and get the same response. */
  List<PeerRequest> endSubmission(PeerRequest request) {
    return submissions.end(request);
  }

  // ---- submissions

  /** Continues with a submission that was read without an error. */
  private interface ReadContinuation {
    void proceed(Accepted accepted, StageTimer timer);
  }

  private void readSubmission(PeerRequest request, ReadContinuation continuation) {
    if (!leaders.hasRoomForSubmissions() || !submissions.begin(request)) {
      edge.incrementCounter("submissions_refused_for_memory");
      respond(request, new ApiError.Overloaded("batches being accepted"));
      return;
    }
    scheduleProgressReport(request);
    if (!edge.leaderPlacement().mayLead(edge.identity().id())) {
      edge.incrementCounter("submissions_at_unfit_edge");
    }
    StageTimer timer = new StageTimer(environment);
    SubmissionReader.ReadResult result =
        submissionReader.read(request.body(), edge.configuration(), edge.routes());
    timer.mark("read");
    if (result.error() != null) {
      respond(request, result.error());
    } else {
      continuation.proceed(result.accepted(), timer);
    }
  }

  private void scheduleProgressReport(PeerRequest submission) {
    environment.schedule(
        PeerRequestConstants.PROGRESS_INTERVAL_MS, () -> reportProgress(submission));
  }

  /**
   * Reports progress to the sender of a submission, unless this edge is isolated, so that the
   * sender does not try another leader in the meantime.
   */
  private void reportProgress(PeerRequest submission) {
    List<PeerRequest> waiting = submissions.waitingFor(submission);
    if (waiting.isEmpty() || edge.isTerminated() || edge.isIsolated()) {
      return;
    }
    for (PeerRequest each : waiting) {
      edge.send(each.originAddress(), each.originId(), new PeerRequestProgress(each.correlation()));
    }
    scheduleProgressReport(submission);
  }

  private void serveSubmission(PeerRequest request, BatchLeader leader, Accepted accepted) {
    if (leader.logLeader.isInContactWithQuorum()) {
      leader.submit(accepted, response -> edge.respond(request, response));
    } else {
      respond(request, new ApiError.NoQuorum(request.key()));
    }
  }

  /** Reserves first, so that a batch without capacity is rejected before any of it is written. */
  private void reserveCapacityThenLead(PeerRequest request, Accepted accepted, StageTimer timer) {
    edge.requestControlPlane(
        Operation.UPDATE_BATCH_CAPACITY,
        MetadataKeys.BATCH_CAPACITY,
        reservation(BatchKeys.batchOf(request.key()), accepted),
        PeerRequestConstants.CAPACITY_RESERVATION_TIMEOUT_MS,
        response -> {
          timer.mark("reserve");
          handleReservation(request, accepted, timer, response);
        });
  }

  private void handleReservation(
      PeerRequest request, Accepted accepted, StageTimer timer, Response response) {
    Consumer<BatchLeader> serving = leader -> serveSubmission(request, leader, accepted);
    if (response.isSuccess()) {
      lead(request, timer, serving);
    } else if (response.failedWith(ApiError.CapacityExceeded.class)
        || response.failedWith(ApiError.BatchTooLarge.class)) {
      // An earlier attempt may have been accepted: then the batch must not be rejected.
      replicaRequests.lookUp(
          request.key(), lookup -> serveAfterLookup(request, lookup, response, serving));
    } else {
      respond(request, new ApiError.NoQuorum(MetadataKeys.BATCH_CAPACITY));
    }
  }

  private ObjectNode reservation(String batch, Accepted accepted) {
    ObjectNode reservation = JSON.createObjectNode().put("batch", batch).put("reserve", true);
    ProxiedRoute proxiedRoute = accepted.proxiedRoute();
    if (proxiedRoute == null) {
      RoutingConfiguration configuration = edge.configuration();
      return reservation
          .put("items", accepted.items().size())
          .put(
              "ceiling",
              configuration == null ? 0 : configuration.limits().batch().maxQueuedItems());
    }
    long tokens =
        accepted.items().stream()
            .mapToLong(item -> Math.max(1, item.path("tokens").asLong()))
            .sum();
    return reservation
        .put("items", tokens)
        .put("ceiling", proxiedRoute.maxWaitingTokens())
        .put("group", proxiedRoute.capacityGroup());
  }

  // ---- other requests

  private void findLeaderThenServe(PeerRequest request) {
    Response ifAbsent = Response.of(new ApiError.NoSuchBatch(BatchKeys.batchOf(request.key())));
    replicaRequests.lookUp(
        request.key(),
        lookup -> serveAfterLookup(request, lookup, ifAbsent, leader -> serve(request, leader)));
  }

  /**
   * Serves a request after the replicas were asked for the record. If another node leads the record
   * or stands for election, the request is forwarded to it, since a second election would only
   * disturb the first. Otherwise this edge stands for election.
   */
  private void serveAfterLookup(
      PeerRequest request, RecordLookup lookup, Response ifAbsent, Consumer<BatchLeader> serving) {
    switch (lookup.presence()) {
      case UNCERTAIN -> respond(request, new ApiError.NoQuorum(request.key()));
      case ABSENT -> edge.respond(request, ifAbsent);
      case PRESENT -> forwardOrLead(request, lookup.leader(), serving);
    }
  }

  private void forwardOrLead(
      PeerRequest request, NodeAddress leader, Consumer<BatchLeader> serving) {
    boolean ledElsewhere = !leader.id().isEmpty() && !leader.id().equals(edge.identity().id());
    if (request.hops() > 0 && ledElsewhere) {
      edge.forward(request, leader.id(), leader.address());
    } else {
      lead(request, new StageTimer(environment), serving);
    }
  }

  /** Stands for election for the request's key, and serves the request as its leader. */
  private void lead(PeerRequest request, StageTimer timer, Consumer<BatchLeader> serving) {
    leaders.elect(
        request.key(),
        false,
        outcome -> {
          timer.mark("claim");
          logElection(request, outcome, timer);
          switch (outcome.result()) {
            case ELECTED -> serveAsElected(request, serving);
            case LEADER_ALIVE -> edge.forward(request, outcome.leaderId(), outcome.leaderAddress());
            case NO_QUORUM -> respond(request, new ApiError.NoQuorum(request.key()));
          }
        });
  }

  private void logElection(PeerRequest request, ElectionOutcome outcome, StageTimer timer) {
    environment.log(
        "batch",
        "Leadership asked for: operation="
            + request.operationName()
            + " batch="
            + BatchKeys.batchOf(request.key())
            + " outcome="
            + outcome.result()
            + timer
            + ".");
  }

  private void serveAsElected(PeerRequest request, Consumer<BatchLeader> serving) {
    BatchLeader leader = leaders.get(request.key());
    if (leader == null) {
      respond(request, new ApiError.NotLeader(request.key()));
    } else {
      serving.accept(leader);
    }
  }

  private void serve(PeerRequest request, BatchLeader leader) {
    if (!leader.logLeader.isInContactWithQuorum()) {
      respond(request, new ApiError.NoQuorum(request.key()));
      return;
    }
    JsonNode body = Json.tree(request.body());
    Consumer<Response> responder = response -> edge.respond(request, response);
    switch (request.operation()) {
      case READ_BATCH -> leader.read(responder);
      case READ_PROMPT_RESULTS ->
          leader.readPromptResults(
              body.path("after").asLong(), body.path("limit").asInt(), responder);
      case REMOVE_BATCH -> leader.remove(responder);
      case END_BATCH -> leader.end(responder);
      case READ_PROXIED_RESULTS ->
          leader.readProxiedResults(
              body.path("from").asLong(), body.path("holdMs").asLong(), responder);
      case READ_PROXIED_ITEM ->
          leader.readProxiedItem(
              body.path("item").asText(), body.path(ItemBody.RAW_FIELD).asBoolean(), responder);
      default -> respond(request, new ApiError.UnknownRequest(request.operationName()));
    }
  }
}
