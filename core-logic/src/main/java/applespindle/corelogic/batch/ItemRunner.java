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
  interface RangeSource {
    void pump();

    void pump(WorkerState worker);
  }

  private final Environment environment;
  private final String nodeId;
  private final BatchDispatcher.Context edge;
  private final WorkerRegistry registry;
  private final WorkerBatchCapacity capacity;
  private final RangeReporter reporter;
  private final RangeSource feeding;
  private long runs;

  ItemRunner(
      Environment environment,
      String nodeId,
      BatchDispatcher.Context edge,
      WorkerRegistry registry,
      WorkerBatchCapacity capacity,
      RangeReporter reporter,
      RangeSource feeding) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.edge = edge;
    this.registry = registry;
    this.capacity = capacity;
    this.reporter = reporter;
    this.feeding = feeding;
  }

  // ---- sending

  /**
   * Sends the range's next item; false if it may not be sent. The range's lease, the age of what
   * this node knows and the worker's state are checked here, right before the item is sent.
   */
  boolean begin(AssignedRange range, WorkerState worker) {
    if (range.givingBack
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
    if (opaque != null && (route == null || !route.sendsTo(worker.registration.pool()))) {
      reporter.giveBack(range);
      return false;
    }
    range.unsent.poll();
    ItemRun run = new ItemRun(range, item, nodeId + "-" + ++runs, worker, environment.nowMs());
    range.running.put(item.index(), run);
    if (opaque != null) {
      run.reading = opaque.item().tokens() * BatchConstants.MAX_UNREAD_PROMPT_SHARE;
      worker.pendingPrefillTokens += run.reading;
    }
    registry.recordCallStart(worker, true);
    if (opaque == null) {
      sendPrompt(run, body);
    } else {
      sendOpaque(run, opaque, route);
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
            new WorkerCall(run.worker.registration.address(), Json.bytes(body), timeoutMs),
            new PromptListener(run));
  }

  private void sendOpaque(ItemRun run, ProxiedItemAssignment assignment, Route route) {
    StreamText earlier = run.range.texts.remove(run.item.index());
    if (earlier == null) {
      earlier = new StreamText(assignment.resumeAfter(), assignment.text());
    }
    run.text = earlier.resumeAfter().isEmpty() ? new StreamText() : earlier;
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
                run.worker.registration.address(),
                run.worker.registration.id(),
                request,
                Math.max(1, route.rank()),
                timeoutMs,
                run.text.resumeAfter()),
            new OpaqueListener(run));
  }

  // ---- listening

  private final class OpaqueListener implements ExchangeListener {
    private final ItemRun run;

    OpaqueListener(ItemRun run) {
      this.run = run;
    }

    @Override
    public void head(ResponseHead head) {
      heard(run);
      boolean first = run.status == 0;
      run.status = head.status();
      run.streams = streams(head);
      if (first && run.succeeds()) {
        capacity.noteFirst(environment.nowMs() - run.sentAt);
      }
      feeding.pump(run.worker);
    }

    @Override
    public void chunk(ResponseChunk piece) {
      heard(run);
      if (!run.over && run.succeeds() && run.streams) {
        run.text.add(piece);
      }
    }

    @Override
    public void end() {
      heard(run);
      ended(run);
    }

    @Override
    public void load(WorkerLoad load) {
      registry.recordLoad(run.worker, load);
    }

    @Override
    public void fail(ApiError error, boolean mayHaveRun) {
      faulted(run, error);
    }
  }

  private final class PromptListener implements WorkerCallListener {
    private final ItemRun run;

    PromptListener(ItemRun run) {
      this.run = run;
    }

    @Override
    public void text(String text) {
      run.lastTextAt = environment.nowMs();
      run.output.append(text);
    }

    @Override
    public void end(String finishReason) {
      if (leave(run)) {
        registry.recordSuccess(run.worker);
        run.range.finished(run.item.index());
        outcome(run, finishReason, "", run.output.toString());
      }
    }

    @Override
    public void fail(ApiError error, boolean mayHaveRun) {
      faulted(run, error);
    }
  }

  /** A head without a type is taken at its events' word. */
  private static boolean streams(ResponseHead head) {
    return head.headers().stream()
        .filter(header -> header.name().equalsIgnoreCase("Content-Type"))
        .allMatch(
            header -> header.value().toLowerCase(Locale.ROOT).startsWith("text/event-stream"));
  }

  private void heard(ItemRun run) {
    run.hasRead();
    run.lastTextAt = environment.nowMs();
    registry.recordActivity(run.worker);
  }

  // ---- ends

  /**
   * A whole response. Only 500 counts against the item's attempts, and only 422 ends it; any other
   * says nothing of it.
   */
  private void ended(ItemRun run) {
    if (run.over) {
      return;
    }
    leave(run);
    if (run.succeeds() && run.streams) {
      registry.recordSuccess(run.worker);
      capacity.noteWhole(environment.nowMs() - run.sentAt);
      run.range.finished(run.item.index());
      outcome(run, "", "", run.text.text());
    } else if (run.status == 422) {
      registry.recordSuccess(run.worker);
      run.range.finished(run.item.index());
      outcome(run, "", new ApiError.ItemNotExecutable().type(), "");
    } else if (run.status == 500) {
      registry.recordSuccess(run.worker);
      outcome(run, "", new ApiError.ItemFailed(run.status).type(), "");
      reporter.giveBack(run.range);
    } else {
      registry.recordErrorResponse(run.worker);
      putBackLater(run);
    }
  }

  private void faulted(ItemRun run, ApiError error) {
    if (!leave(run)) {
      return;
    }
    boolean full = WorkerRegistry.isCapacityRejection(error);
    if (full) {
      registry.recordRejection(run.worker);
    } else {
      registry.recordConnectionFailure(run.worker);
    }
    if (run.isOpaque()) {
      putBackLater(run);
      return;
    }
    if (full) {
      run.range.putBack(run);
      return;
    }
    outcome(run, "", error.type(), "");
    reporter.giveBack(run.range);
  }

  /**
   * The run says nothing against the item: it goes on behind the last whole event, or elsewhere if
   * the worker is at fault.
   */
  private void putBackLater(ItemRun run) {
    reporter.giveBackText(run);
    run.range.interrupted(run.item.index(), environment.nowMs());
    run.range.putBack(run);
    feeding.pump();
  }

  private void outcome(ItemRun run, String finishReason, String faultType, String output) {
    reporter.outcome(run, finishReason, faultType, output);
    feeding.pump();
  }

  /** False if the run had ended before. */
  private boolean leave(ItemRun run) {
    if (run.over) {
      return false;
    }
    run.over = true;
    run.hasRead();
    registry.recordCallEnd(run.worker, true);
    run.range.running.remove(run.item.index());
    return true;
  }

  void cancel(ItemRun run) {
    if (leave(run)) {
      run.exchange.cancel();
    }
  }

  /**
   * A worker that was cut off takes its connections down with it late; its silence is believed
   * sooner.
   */
  void giveUpIfLost(ItemRun run) {
    boolean lost =
        run.isOpaque() ? silent(run) : registry.isPresumedLost(run.worker, run.lastTextAt);
    if (lost) {
      run.exchange.cancel();
      faulted(run, new ApiError.WorkerTimeout(run.range.worker));
    }
  }

  /**
   * Nothing from this run for long and nothing from any other there; or nothing from it for far
   * longer.
   */
  private boolean silent(ItemRun run) {
    long now = environment.nowMs();
    long limit =
        Math.max(
            BatchConstants.MIN_SILENCE_TIMEOUT_MS,
            BatchConstants.SILENCE_TIMEOUT_GAPS * run.route.gapTargetMs());
    long workerSilentFor = now - run.worker.lastActivityAt;
    return now - run.lastTextAt > limit
        && (workerSilentFor > limit || now - run.lastTextAt > 4 * limit);
  }
}
