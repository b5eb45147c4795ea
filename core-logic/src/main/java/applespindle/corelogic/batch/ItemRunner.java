package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.live.StreamText;
import applespindle.corelogic.protocol.Message.AssignedItem;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerState;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;

/**
 * Runs batch items at workers: sends an item, listens to its run, and decides whether the run ends
 * the item, counts against it, or says nothing of it.
 */
final class ItemRunner {
  /** Looks for further work once a run has made room. */
  interface DispatchTrigger {
    void dispatch();

    void dispatch(WorkerState worker);
  }

  private final Environment environment;
  private final String nodeId;
  private final BatchDispatcher.Context edge;
  private final WorkerRegistry registry;
  private final WorkerBatchCapacity capacity;
  private final RangeReporter reporter;
  private final DispatchTrigger dispatchTrigger;
  private long runs;

  ItemRunner(
      Environment environment,
      String nodeId,
      BatchDispatcher.Context edge,
      WorkerRegistry registry,
      WorkerBatchCapacity capacity,
      RangeReporter reporter,
      DispatchTrigger feeding) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.edge = edge;
    this.registry = registry;
    this.capacity = capacity;
    this.reporter = reporter;
    this.dispatchTrigger = feeding;
  }

  // ---- sending

  /**
   * Sends the range's next item; false if it may not be sent. The range's lease, the age of what
   * this node knows and the worker's state are checked here, right before the item is sent.
   */
  boolean start(AssignedRange range, WorkerState worker) {
    if (range.returning
        || range.dropped
        || environment.nowMs() >= range.leaseEndsAt
        || edge.rejectionOfNewWork() != null
        || !registry.isUsable(worker)) {
      return false;
    }
    AssignedItem item = range.unsent.peek();
    JsonNode body = Json.tree(item.body());
    ProxiedItemAssignment opaque =
        body.has("path") ? JSON.convertValue(body, ProxiedItemAssignment.class) : null;
    Route route = opaque == null ? null : edge.routes().findBatch(opaque.host(), opaque.path());
    if (opaque != null && (route == null || !route.sendsTo(worker.worker.pool()))) {
      reporter.returnRange(range);
      return false;
    }
    range.unsent.poll();
    ItemRun run = new ItemRun(range, item, nodeId + "-" + ++runs, worker, environment.nowMs());
    range.running.put(item.index(), run);
    if (opaque != null) {
      run.unreadPromptTokens = opaque.item().tokens() * BatchConstants.MAX_UNREAD_PROMPT_SHARE;
      worker.unreadPromptTokens += run.unreadPromptTokens;
    }
    registry.recordCallStart(worker, true);
    if (opaque == null) {
      sendPrompt(run, body);
    } else {
      sendProxied(run, opaque, route);
    }
    return true;
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
            new WorkerCall(run.worker.worker.address(), Json.bytes(body), timeoutMs),
            new PromptListener(run));
  }

  private void sendProxied(ItemRun run, ProxiedItemAssignment assignment, Route route) {
    StreamText earlier = run.range.partialStreams.remove(run.item.index());
    if (earlier == null) {
      earlier = new StreamText(assignment.resumeAfter(), assignment.text());
    }
    run.stream = earlier.resumeAfter().isEmpty() ? new StreamText() : earlier;
    run.route = route;
    ProxiedBatch.Item item = assignment.item();
    long timeoutMs =
        Math.max(1, assignment.expiresInMs() - (environment.nowMs() - run.range.assignedAt));
    var request =
        new ProxiedRequest(
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
    run.exchange =
        environment.exchange(
            new WorkerExchange(
                run.worker.worker.address(),
                run.worker.worker.id(),
                request,
                Math.max(1, route.rank()),
                timeoutMs,
                run.stream.resumeAfter()),
            new ProxiedListener(run));
  }

  // ---- listening

  private final class ProxiedListener implements ExchangeListener {
    private final ItemRun run;

    ProxiedListener(ItemRun run) {
      this.run = run;
    }

    @Override
    public void head(ResponseHead head) {
      recordActivity(run);
      boolean first = run.status == 0;
      run.status = head.status();
      run.isEventStream = isEventStream(head);
      if (first && run.succeeds()) {
        capacity.recordFirstByteTime(environment.nowMs() - run.sentAt);
      }
      dispatchTrigger.dispatch(run.worker);
    }

    @Override
    public void chunk(ResponseChunk piece) {
      recordActivity(run);
      if (!run.ended && run.succeeds() && run.isEventStream) {
        run.stream.add(piece);
      }
    }

    @Override
    public void end() {
      recordActivity(run);
      handleResponse(run);
    }

    @Override
    public void load(WorkerLoad load) {
      registry.recordLoad(run.worker, load);
    }

    @Override
    public void fail(ApiError error, boolean mayHaveRun) {
      handleFailure(run, error);
    }
  }

  private final class PromptListener implements WorkerCallListener {
    private final ItemRun run;

    PromptListener(ItemRun run) {
      this.run = run;
    }

    @Override
    public void text(String text) {
      run.lastActivityAt = environment.nowMs();
      run.output.append(text);
    }

    @Override
    public void end(String finishReason) {
      if (endRun(run)) {
        registry.recordSuccess(run.worker);
        run.range.markFinished(run.item.index());
        reportOutcome(run, finishReason, "", run.output.toString());
      }
    }

    @Override
    public void fail(ApiError error, boolean mayHaveRun) {
      handleFailure(run, error);
    }
  }

  /** A head without a type is taken at its events' word. */
  private static boolean isEventStream(ResponseHead head) {
    return head.headers().stream()
        .filter(header -> header.name().equalsIgnoreCase("Content-Type"))
        .allMatch(
            header -> header.value().toLowerCase(Locale.ROOT).startsWith("text/event-stream"));
  }

  private void recordActivity(ItemRun run) {
    run.clearUnreadPrompt();
    run.lastActivityAt = environment.nowMs();
    registry.recordActivity(run.worker);
  }

  // ---- ends

  /**
   * A whole response. Only 500 counts against the item's attempts, and only 422 ends it; any other
   * says nothing of it.
   */
  private void handleResponse(ItemRun run) {
    if (run.ended) {
      return;
    }
    endRun(run);
    if (run.succeeds() && run.isEventStream) {
      registry.recordSuccess(run.worker);
      capacity.recordItemDuration(environment.nowMs() - run.sentAt);
      run.range.markFinished(run.item.index());
      reportOutcome(run, "", "", run.stream.text());
    } else if (run.status == 422) {
      registry.recordSuccess(run.worker);
      run.range.markFinished(run.item.index());
      reportOutcome(run, "", ItemErrorTypes.NOT_EXECUTABLE, "");
    } else if (run.status == 500) {
      registry.recordSuccess(run.worker);
      reportOutcome(run, "", new ApiError.ItemFailed(run.status).type(), "");
      reporter.returnRange(run.range);
    } else {
      registry.recordErrorResponse(run.worker);
      requeueAfterBackoff(run);
    }
  }

  private void handleFailure(ItemRun run, ApiError error) {
    if (!endRun(run)) {
      return;
    }
    boolean full = WorkerRegistry.isCapacityRejection(error);
    if (full) {
      registry.recordRejection(run.worker);
    } else {
      registry.recordConnectionFailure(run.worker);
    }
    if (run.isProxied()) {
      requeueAfterBackoff(run);
      return;
    }
    if (full) {
      run.range.requeue(run);
      return;
    }
    reportOutcome(run, "", error.type(), "");
    reporter.returnRange(run.range);
  }

  /**
   * The run says nothing against the item: it goes on behind the last whole event, or elsewhere if
   * the worker is at fault.
   */
  private void requeueAfterBackoff(ItemRun run) {
    reporter.reportPartialStream(run);
    run.range.backOff(run.item.index(), environment.nowMs());
    run.range.requeue(run);
    dispatchTrigger.dispatch();
  }

  private void reportOutcome(ItemRun run, String finishReason, String faultType, String output) {
    reporter.reportOutcome(run, finishReason, faultType, output);
    dispatchTrigger.dispatch();
  }

  /** False if the run had ended before. */
  private boolean endRun(ItemRun run) {
    if (run.ended) {
      return false;
    }
    run.ended = true;
    run.clearUnreadPrompt();
    registry.recordCallEnd(run.worker, true);
    run.range.running.remove(run.item.index());
    return true;
  }

  void cancel(ItemRun run) {
    if (endRun(run)) {
      run.exchange.cancel();
    }
  }

  /**
   * A worker that was cut off takes its connections down with it late; its silence is believed
   * sooner.
   */
  void failIfLost(ItemRun run) {
    boolean lost = run.isProxied() ? isSilent(run) : registry.lost(run.worker, run.lastActivityAt);
    if (lost) {
      run.exchange.cancel();
      handleFailure(run, new ApiError.WorkerTimeout(run.range.worker));
    }
  }

  /**
   * Nothing from this run for long and nothing from any other there; or nothing from it for far
   * longer.
   */
  private boolean isSilent(ItemRun run) {
    long now = environment.nowMs();
    long limit =
        Math.max(
            BatchConstants.MIN_SILENCE_TIMEOUT_MS,
            BatchConstants.SILENCE_TIMEOUT_GAPS * run.route.gapTargetMs());
    long workerSilentFor = now - run.worker.lastHeardAt;
    return now - run.lastActivityAt > limit
        && (workerSilentFor > limit || now - run.lastActivityAt > 4 * limit);
  }
}
