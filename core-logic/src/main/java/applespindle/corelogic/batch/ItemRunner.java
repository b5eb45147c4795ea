package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.Tenant;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.live.StreamText;
import applespindle.corelogic.protocol.Message.AssignedItem;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerState;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Starts the runs of batch items at workers, cancels them, and fails those whose worker is silent.
 * What a run brings is taken by its listener, one for prompts and one for proxied items; {@link
 * RunCompletion} does what follows from its end.
 *
 * <p>Invariant: no item is sent after its range's lease has ended, nor while this node may not take
 * new work.
 */
final class ItemRunner {
  /** How much longer than its worker one run may be silent. */
  private static final int SILENT_RUN_FACTOR = 4;

  private final Environment environment;
  private final String nodeId;
  private final BatchDispatcher.Context edge;
  private final WorkerRegistry registry;
  private final WorkerBatchCapacity capacity;
  private final RangeReporter reporter;
  private final DispatchTrigger dispatchTrigger;
  private final RunCompletion completion;
  private long lastRun;

  ItemRunner(
      Environment environment,
      String nodeId,
      BatchDispatcher.Context edge,
      WorkerRegistry registry,
      WorkerBatchCapacity capacity,
      RangeReporter reporter,
      DispatchTrigger dispatchTrigger) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.edge = edge;
    this.registry = registry;
    this.capacity = capacity;
    this.reporter = reporter;
    this.dispatchTrigger = dispatchTrigger;
    this.completion = new RunCompletion(environment, registry, reporter, dispatchTrigger);
  }

  // ---- sending

  /**
   * Sends the range's next item; false if it may not be sent. The range's lease, whether this edge
   * may begin work (not while it is stopping or isolated) and the worker's state are checked here,
   * right before the item is sent.
   */
  boolean start(AssignedRange range, WorkerState worker) {
    if (range.returning
        || range.dropped
        || environment.nowMs() >= range.leaseEndsAt
        || edge.rejectionOfNewWork() != null
        || !registry.isUsable(worker)) {
      return false;
    }
    JsonNode body = Json.tree(range.unsent.peek().body());
    if (!isProxied(body)) {
      sendPrompt(startRun(range, worker, 0), body);
      return true;
    }
    ProxiedItemAssignment assignment = JSON.convertValue(body, ProxiedItemAssignment.class);
    Route route = edge.routes().findBatch(assignment.host(), assignment.path());
    if (route == null || !route.sendsTo(worker.registration.pool())) {
      reporter.returnRange(range);
      return false;
    }
    double unreadTokens = assignment.item().tokens() * BatchConstants.MAX_UNREAD_PROMPT_SHARE;
    sendProxied(startRun(range, worker, unreadTokens), assignment, route);
    return true;
  }

  /** Whether the assigned item is a proxied one, which carries its path; a prompt has none. */
  private static boolean isProxied(JsonNode body) {
    return body.has("path");
  }

  private ItemRun startRun(AssignedRange range, WorkerState worker, double unreadTokens) {
    AssignedItem item = range.unsent.poll();
    ItemRun run = new ItemRun(range, item, nodeId + "-" + ++lastRun, worker, environment.nowMs());
    range.running.put(item.index(), run);
    run.setUnreadPrompt(unreadTokens);
    registry.recordCallStart(worker, true);
    return run;
  }

  private void sendPrompt(ItemRun run, JsonNode item) {
    ObjectNode body = JSON.createObjectNode();
    item.fields()
        .forEachRemaining(
            field -> {
              if (!field.getKey().equals("id")) {
                body.set(field.getKey(), field.getValue());
              }
            });
    body.put("stream", true)
        .put("applespindle_item", run.range.batch + "/" + item.path("id").asText());
    long timeoutMs = edge.configuration().limits().batch().itemExpiryMs();
    run.exchange =
        environment.callWorker(
            new WorkerCall(run.worker.registration.address(), Json.bytes(body), timeoutMs),
            new PromptListener(environment, registry, completion, run));
  }

  private void sendProxied(ItemRun run, ProxiedItemAssignment assignment, Route route) {
    run.begin(assignment);
    run.stream = earlierStream(run, assignment);
    run.route = route;
    long timeoutMs =
        Math.max(1, assignment.expiresInMs() - (environment.nowMs() - run.range.assignedAt));
    run.exchange =
        environment.exchange(
            new WorkerExchange(
                run.worker.registration.address(),
                run.worker.registration.id(),
                createRequest(assignment, timeoutMs),
                edge.workerRanks().ofItem(tenantInForce(assignment), route),
                timeoutMs,
                run.stream.resumeAfter(),
                tenantToTell(assignment)),
            new ProxiedListener(environment, registry, capacity, completion, dispatchTrigger, run));
  }

  /**
   * The tenant that the worker is told: the one that owned the batch when it was accepted, also if
   * the configuration no longer has it. Of a batch without one, that there is none; null where
   * there are no tenants.
   */
  private String tenantToTell(ProxiedItemAssignment assignment) {
    if (assignment.tenant() != null) {
      return assignment.tenant();
    }
    return edge.configuration().tenants() == null ? null : "";
  }

  /** The tenant of that name in the configuration in force; null if there is none any more. */
  private Tenant tenantInForce(ProxiedItemAssignment assignment) {
    List<Tenant> tenants = edge.configuration().tenants();
    if (tenants == null || assignment.tenant() == null) {
      return null;
    }
    return tenants.stream()
        .filter(tenant -> tenant.name().equals(assignment.tenant()))
        .findFirst()
        .orElse(null);
  }

  /** The partial stream that this run resumes; an empty one if it starts anew. */
  private static StreamText earlierStream(ItemRun run, ProxiedItemAssignment assignment) {
    StreamText earlier = run.range.partialStreams.remove(run.item.index());
    if (earlier == null) {
      earlier = new StreamText(assignment.resumeAfter(), assignment.text());
    }
    return earlier.resumeAfter().isEmpty() ? new StreamText() : earlier;
  }

  private static ProxiedRequest createRequest(ProxiedItemAssignment assignment, long timeoutMs) {
    ProxiedBatch.Item item = assignment.item();
    return new ProxiedRequest(
        item.id(),
        "POST",
        item.target(),
        assignment.host(),
        item.headers(),
        item.body(),
        timeoutMs,
        "",
        item.tokens(),
        0,
        List.of(),
        "");
  }

  // ---- ends

  /** Ends the run without an outcome, and cancels its call at the worker. */
  void cancel(ItemRun run) {
    if (completion.end(run)) {
      run.exchange.cancel();
    }
  }

  /**
   * Fails the run if its worker is silent. The connections of a worker that was cut off break much
   * later than its silence shows.
   */
  void failIfLost(ItemRun run) {
    boolean lost =
        run.isProxied() ? isSilent(run) : registry.isPresumedLost(run.worker, run.lastActivityAt);
    if (lost) {
      run.exchange.cancel();
      completion.fail(run, new ApiError.WorkerTimeout(run.range.worker));
    }
  }

  /**
   * Whether neither this run nor any other at its worker has brought anything for the limit, or
   * this run has not for {@link #SILENT_RUN_FACTOR} times the limit.
   */
  private boolean isSilent(ItemRun run) {
    long now = environment.nowMs();
    long limit =
        Math.max(
            BatchConstants.MIN_SILENCE_TIMEOUT_MS,
            BatchConstants.SILENCE_TIMEOUT_GAPS * run.route.gapTargetMs());
    long workerSilentFor = now - run.worker.lastActivityAt;
    return now - run.lastActivityAt > limit
        && (workerSilentFor > limit || now - run.lastActivityAt > SILENT_RUN_FACTOR * limit);
  }
}
