package applespindle.corelogic.node;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Operation;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * One request to other nodes, sent in one or more attempts until a node gives a final response or
 * the time is up. Invariants: the callback runs exactly once; after an attempt that went unanswered
 * a rejection is never passed on as if nothing had been done.
 */
final class OutgoingRequest {
  /** The errors that say for certain that nothing was done: a retry is safe. */
  private static final List<Class<? extends ApiError>> NOTHING_DONE =
      List.of(
          ApiError.NotLeader.class,
          ApiError.NoQuorum.class,
          ApiError.NotReady.class,
          ApiError.NodeStopping.class,
          ApiError.Overloaded.class,
          ApiError.NodeIsolated.class);

  /** Sends one attempt and returns its correlation id. */
  interface AttemptSender {
    long send(OutgoingRequest request, NodeAddress target);
  }

  private final Environment environment;
  private final AttemptSender sender;
  private final PendingRequests pending;
  private final IntFunction<NodeAddress> targets;
  final Operation operation;
  final String key;
  final byte[] body;
  private final long attemptTimeoutMs;
  private final long expiresAt;
  private final Consumer<Response> callback;

  /** Of all attempts, since a response that comes after the next attempt was sent still counts. */
  private final List<Long> correlations = new ArrayList<>();

  private int attempts;
  private boolean finished;

  /**
   * Begins the next attempt, or ends the latest one unless its node makes progress; null before the
   * first. Cancelled at the end of the request, so that it doesn't keep the body.
   */
  private Environment.ScheduledTask timer;

  /** Whether some attempt went unanswered, so that it may have taken effect. */
  private boolean outcomeUnknown;

  private Response lastResponse = Response.of(new ApiError.NotReady("nobody to ask yet"));

  /**
   * @param targets the node for each attempt, counted from 0; null if none is known at present
   * @param attemptTimeoutMs how long to wait for one node before the next attempt
   * @param expiresAt when the request ends, on this node's clock
   */
  OutgoingRequest(
      Environment environment,
      AttemptSender sender,
      PendingRequests pending,
      IntFunction<NodeAddress> targets,
      Operation operation,
      String key,
      byte[] body,
      long attemptTimeoutMs,
      long expiresAt,
      Consumer<Response> callback) {
    this.environment = environment;
    this.sender = sender;
    this.pending = pending;
    this.targets = targets;
    this.operation = operation;
    this.key = key;
    this.body = body;
    this.attemptTimeoutMs = attemptTimeoutMs;
    this.expiresAt = expiresAt;
    this.callback = callback;
  }

  /** Sends the next attempt, or ends the request if its time is up. */
  void sendAttempt() {
    if (finished) {
      return;
    }
    long remainingMs = expiresAt - environment.nowMs();
    if (remainingMs <= 0) {
      finish(lastResponse);
      return;
    }
    NodeAddress target = targets.apply(attempts++);
    if (target == null) {
      restartTimer(Math.min(remainingMs, PeerRequestConstants.RETRY_DELAY_MS), this::sendAttempt);
      return;
    }
    long correlation = sender.send(this, target);
    awaitAnswer(correlation);
  }

  /** Called before an attempt is sent. */
  void addCorrelation(long correlation) {
    correlations.add(correlation);
  }

  private void awaitAnswer(long correlation) {
    long remainingMs = expiresAt - environment.nowMs();
    restartTimer(Math.max(0, Math.min(remainingMs, attemptTimeoutMs)), () -> timedOut(correlation));
  }

  private void restartTimer(long delayMs, Runnable task) {
    cancelTimer();
    timer = environment.schedule(delayMs, task);
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel();
    }
  }

  private void timedOut(long correlation) {
    if (!finished && isLatest(correlation) && pending.contains(correlation)) {
      outcomeUnknown = true;
      sendAttempt();
    }
  }

  /** The node of the latest attempt is still working on the request: it gets more time. */
  void handleProgress(long correlation) {
    if (!finished && isLatest(correlation)) {
      awaitAnswer(correlation);
    }
  }

  private boolean isLatest(long correlation) {
    return correlations.get(correlations.size() - 1) == correlation;
  }

  void handleResponse(long correlation, Response response) {
    if (NOTHING_DONE.stream().noneMatch(response::failedWith)) {
      finish(response);
    } else if (isLatest(correlation)) {
      lastResponse = response;
      restartTimer(PeerRequestConstants.RETRY_DELAY_MS, this::sendAttempt);
    }
  }

  private void finish(Response response) {
    if (finished) {
      return;
    }
    finished = true;
    cancelTimer();
    correlations.forEach(pending::remove);
    boolean saysNothingDone =
        response.status() == 429 || response.status() == 503 || response.status() == 413;
    callback.accept(
        outcomeUnknown && saysNothingDone
            ? Response.of(new ApiError.OutcomeUnknown(key))
            : response);
  }
}
