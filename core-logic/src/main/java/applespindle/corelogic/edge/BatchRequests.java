package applespindle.corelogic.edge;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.batch.BatchInput;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.batch.BatchReference;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.batch.ItemBody;
import applespindle.corelogic.batch.PendingSubmissions;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.TenantAccess;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.environment.StageTimer;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Operation;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Iterator;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Sends clients' requests about batches from the edge where they arrive to the edge that leads the
 * batch, which may be the same; {@link BatchRequestHandler} handles them there. Invariant: every
 * submission is answered by its deadline.
 */
final class BatchRequests {
  private final Environment environment;
  private final EdgeServices edge;
  private final Supplier<NodeSettings> settings;
  private final BatchLeaders leaders;
  private final BatchHints hints;
  private final BatchAccess access;
  private final PendingSubmissions pendingSubmissions = new PendingSubmissions();

  BatchRequests(
      Environment environment,
      EdgeServices edge,
      Supplier<NodeSettings> settings,
      BatchLeaders leaders,
      BatchHints hints) {
    this.environment = environment;
    this.edge = edge;
    this.settings = settings;
    this.leaders = leaders;
    this.hints = hints;
    this.access = new BatchAccess(edge);
  }

  int pendingSubmissions() {
    return pendingSubmissions.size();
  }

  /** Batches whose submission was not answered by its deadline. */
  List<String> overdueSubmissions() {
    return pendingSubmissions.overdue(environment.nowMs());
  }

  // ---- submissions

  /** Null if a batch may be submitted here, else why not. */
  private ApiError rejection() {
    ApiError rejection = edge.rejectionOfNewWork();
    if (rejection == null && edge.configuration() == null) {
      return new ApiError.NoConfiguration();
    }
    return rejection;
  }

  /**
   * Admits a batch of proxied requests by its route and its API key, and forwards it to the edge
   * that is to lead it. The body is neither read nor checked here: on a small machine that alone
   * takes longer than the client waits. Of the key nothing but the name of its tenant goes on.
   */
  void submitProxied(BatchSubmission submission, String apiKey, Consumer<Response> callback) {
    ApiError rejection = rejection();
    Route route =
        rejection == null ? edge.routes().findBatch(submission.host(), submission.path()) : null;
    if (route == null) {
      callback.accept(Response.of(rejection == null ? new ApiError.NoMatchingRule() : rejection));
      return;
    }
    TenantAccess admission = edge.tenantAccess(route, apiKey);
    if (admission.rejection() != null) {
      callback.accept(Response.of(admission.rejection()));
      return;
    }
    forwardToLeader(
        submission,
        admission.tenant() == null ? null : admission.tenant().name(),
        BatchAccess.idOfSubmission(route, admission, submission.id()),
        callback);
  }

  private void forwardToLeader(
      BatchSubmission submission, String tenant, String batch, Consumer<Response> callback) {
    StageTimer timer = new StageTimer(environment);
    byte[] body =
        new BatchSubmission.Forwarded(submission, tenant, edge.configuration().number()).encode();
    timer.mark("encode");
    long replicationMs = replicationTimeMs(body.length);
    long timeoutMs = PeerRequestConstants.REQUEST_TIMEOUT_MS + replicationMs;
    long deadline = environment.nowMs() + timeoutMs + PeerRequestConstants.RESPONSE_SLACK_MS;
    long pending = pendingSubmissions.begin(batch, deadline);
    sendToLeader(
        Operation.SUBMIT_BATCH,
        batch,
        body,
        PeerRequestConstants.ATTEMPT_TIMEOUT_MS + replicationMs,
        timeoutMs,
        response -> {
          pendingSubmissions.end(pending);
          timer.mark("leader");
          logAnswered(submission, batch, body.length, response, timer);
          callback.accept(response);
        });
    timer.mark("send");
  }

  private void logAnswered(
      BatchSubmission submission, String batch, int bytes, Response response, StageTimer timer) {
    environment.log(
        "batch",
        "Submission answered: batch="
            + batch
            + " client_id="
            + submission.id()
            + " status="
            + response.status()
            + " fault="
            + response.errorType()
            + " bytes="
            + bytes
            + timer
            + ".");
  }

  /** How long a leader on a slow link takes to send so many bytes to its replicas. */
  private long replicationTimeMs(long bytes) {
    return bytes * settings.get().replicas() / ReplicationConstants.SLOW_LINK_BYTES_PER_MS;
  }

  void submitPrompts(
      String sender, String idempotencyKey, BatchInput input, Consumer<Response> callback) {
    ApiError rejection = rejection();
    if (rejection != null) {
      callback.accept(Response.of(rejection));
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
    sendToLeader(
        Operation.SUBMIT_BATCH, BatchKeys.batchId(sender, idempotencyKey), accepted, callback);
  }

  // ---- reads and ends

  void read(String batch, Consumer<Response> callback) {
    sendToLeader(Operation.READ_BATCH, batch, JSON.createObjectNode(), callback);
  }

  void readPromptResults(String batch, long after, int limit, Consumer<Response> callback) {
    ObjectNode body = JSON.createObjectNode().put("after", after).put("limit", limit);
    sendToLeader(Operation.READ_PROMPT_RESULTS, batch, body, callback);
  }

  /** Calls about the batch under the ids that it may have, until one of them is known. */
  private void callAbout(
      BatchReference batch,
      BiConsumer<String, Consumer<Response>> call,
      Consumer<Response> callback) {
    BatchAccess.BatchIds found = access.idsOfCall(batch);
    if (found.rejection() != null) {
      callback.accept(Response.of(found.rejection()));
    } else {
      callInTurn(found.ids().iterator(), call, callback);
    }
  }

  private static void callInTurn(
      Iterator<String> ids,
      BiConsumer<String, Consumer<Response>> call,
      Consumer<Response> callback) {
    call.accept(
        ids.next(),
        response -> {
          if (ids.hasNext() && response.failedWith(ApiError.NoSuchBatch.class)) {
            callInTurn(ids, call, callback);
          } else {
            callback.accept(response);
          }
        });
  }

  void readProxiedResults(
      BatchReference batch, long from, long holdMs, Consumer<Response> callback) {
    long boundedHoldMs = Math.min(holdMs, BatchConstants.MAX_LONG_POLL_MS);
    ObjectNode body = JSON.createObjectNode().put("from", from).put("holdMs", boundedHoldMs);
    callAbout(
        batch,
        (id, then) -> readProxied(Operation.READ_PROXIED_RESULTS, id, body, boundedHoldMs, then),
        callback);
  }

  void readProxiedItem(
      BatchReference batch,
      String item,
      EdgeGateway.FetchAdmission admission,
      Consumer<Response> callback) {
    ObjectNode body = JSON.createObjectNode().put("item", item).put(ItemBody.RAW_FIELD, true);
    callAbout(
        batch,
        (id, then) ->
            readProxied(
                Operation.READ_PROXIED_ITEM,
                id,
                body,
                0,
                response -> fetchIfElsewhere(id, response, admission, then)),
        callback);
  }

  /** A leader only says where a large body is: it is read from a replica here. */
  private void fetchIfElsewhere(
      String batch,
      Response response,
      EdgeGateway.FetchAdmission admission,
      Consumer<Response> callback) {
    ItemBody.Location location =
        response.isSuccess() ? ItemBody.locationIn(response, BatchKeys.keyOf(batch)) : null;
    if (location == null) {
      callback.accept(response);
      return;
    }
    admission.admit(location, () -> fetch(batch, location, callback));
  }

  private void fetch(String batch, ItemBody.Location location, Consumer<Response> callback) {
    leaders.fetchSection(
        location.section(),
        bytes ->
            callback.accept(
                bytes == null
                    ? Response.of(new ApiError.NoQuorum(batch))
                    : location.read(bytes).toResponse()));
  }

  /** A read has no effect, so that after any failure the client may simply repeat it. */
  private void readProxied(
      Operation operation,
      String batch,
      ObjectNode body,
      long holdMs,
      Consumer<Response> callback) {
    sendToLeader(
        operation,
        batch,
        body,
        holdMs + BatchConstants.READ_ATTEMPT_TIMEOUT_MS,
        holdMs + BatchConstants.READ_TIMEOUT_MS,
        response ->
            callback.accept(
                response.status() >= 500 ? Response.of(new ApiError.NoQuorum(batch)) : response));
  }

  void endProxied(BatchReference batch, Consumer<Response> callback) {
    callAbout(batch, this::end, callback);
  }

  void end(String batch, Consumer<Response> callback) {
    sendToLeader(Operation.END_BATCH, batch, JSON.createObjectNode(), callback);
  }

  // ---- finding the leader

  private void sendToLeader(
      Operation operation, String batch, Object body, Consumer<Response> callback) {
    sendToLeader(
        operation,
        batch,
        body,
        PeerRequestConstants.ATTEMPT_TIMEOUT_MS,
        PeerRequestConstants.REQUEST_TIMEOUT_MS,
        callback);
  }

  private void sendToLeader(
      Operation operation,
      String batch,
      Object body,
      long attemptTimeoutMs,
      long timeoutMs,
      Consumer<Response> callback) {
    String key = BatchKeys.keyOf(batch);
    edge.sendRequest(
        attempt -> target(key, operation, attempt),
        operation,
        key,
        body,
        attemptTimeoutMs,
        timeoutMs,
        callback);
  }

  /**
   * The edge for an attempt: the leader if it is known, or else the next edge in the order of
   * {@link DataPlaneNode#leaderPlacement}, which for submissions of proxied batches depends on this
   * edge. An edge that does not lead the batch finds the leader through the replicas.
   */
  private NodeAddress target(String key, Operation operation, int attempt) {
    if (leaders.leads(key)) {
      return new NodeAddress(edge.identity().id(), edge.identity().peerAddress());
    }
    NodeAddress hinted = hints.leader(BatchKeys.batchOf(key));
    if (hinted != null && attempt == 0 && isOtherLiveEdge(hinted)) {
      return hinted;
    }
    int rank = hinted == null ? attempt : Math.max(0, attempt - 1);
    boolean submission = operation == Operation.SUBMIT_BATCH && BatchKeys.isProxied(key);
    return submission
        ? edge.leaderPlacement().edgeFrom(edge.identity(), key, rank)
        : edge.leaderPlacement().edge(key, rank);
  }

  private boolean isOtherLiveEdge(NodeAddress address) {
    return edge.members().containsKey(address.id()) && !address.id().equals(edge.identity().id());
  }
}
