package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.CompiledRules;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.worker.EdgeContext;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerState;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Live requests at one edge: admits them by the routing rules, queues them by traffic class, and
 * sends them to workers as these have free slots.
 *
 * <p>Owns the queues and the set of running calls. Invariant: an open call is waiting for its
 * idempotency claim, in exactly one queue, or running. Confined to the logic thread.
 */
public final class LiveRequestDispatcher {
  private final Environment environment;
  private final String nodeId;
  private final EdgeContext edge;
  private final PrefixAffinitySelection selection;
  private final LiveRequestQueues queues = new LiveRequestQueues();
  private final Set<LiveRequestCall> runningCalls = new LinkedHashSet<>();
  private final LiveContext context;

  /** The compiled rules of {@link #compiledConfiguration}; both null before the first request. */
  private CompiledRules rules;

  private RoutingConfiguration compiledConfiguration;

  /** Number of claim tokens issued; each is unique to this process of this node. */
  private long claimTokensIssued;

  /**
   * Creates a dispatcher without requests.
   *
   * @param nodeId makes claim tokens unique among edges
   */
  public LiveRequestDispatcher(
      Environment environment, String nodeId, EdgeContext edge, WorkerRegistry registry) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.edge = edge;
    this.selection = new PrefixAffinitySelection(registry);
    this.context =
        new LiveContext(
            environment,
            edge,
            registry,
            queues,
            new LiveRetryAfterEstimator(registry, queues),
            runningCalls,
            this::dispatchQueued);
  }

  /**
   * Submits a request. The listener may be called before this method returns.
   *
   * @return lets the client give the request up; never null, without effect after the end
   */
  public RequestHandle submit(LiveRequest request, LiveResponseListener listener) {
    ApiError rejection = edge.rejectionOfNewWork();
    RoutingConfiguration configuration = edge.configuration();
    if (rejection == null && configuration == null) {
      rejection = new ApiError.NoConfiguration();
    }
    if (rejection != null) {
      edge.incrementCounter("live_refused_" + rejection.type());
      listener.fail(Response.of(rejection), false);
      return () -> {};
    }
    RoutingConfiguration.RoutingAction action = route(request, configuration);
    if (action == null) {
      listener.fail(Response.of(new ApiError.NoMatchingRule()), false);
      return () -> {};
    }
    LiveRequestCall call = new LiveRequestCall(context, request, listener, configuration, action);
    admit(call);
    return call;
  }

  /** What the first matching rule says, or null if none matches. */
  private RoutingConfiguration.RoutingAction route(
      LiveRequest request, RoutingConfiguration configuration) {
    if (compiledConfiguration != configuration) {
      rules = CompiledRules.compile(configuration);
      compiledConfiguration = configuration;
    }
    return rules.run(
        new CompiledRules.Subject(
            request.model(),
            request.sender(),
            request.trafficClass(),
            request.headers(),
            request.prompt().length()));
  }

  private void admit(LiveRequestCall call) {
    ApiError rejection = admissionRejection(call);
    if (rejection != null) {
      call.reject(rejection);
      return;
    }
    edge.incrementCounter("live_taken");
    if (!call.hasIdempotencyId()) {
      enqueue(call);
    } else {
      claimThenEnqueue(call);
    }
  }

  /**
   * Why a request is rejected immediately, or null: a request that is not expected to start before
   * it expires is not left waiting for that.
   */
  private ApiError admissionRejection(LiveRequestCall call) {
    ArrayDeque<LiveRequestCall> queue = queues.of(call);
    if (queue.size() >= call.classLimit().maxQueuedRequests()
        && (queue.size() > 0 || selection.select(call) == null)) {
      return new ApiError.QueueFull(call.trafficClass());
    }
    if (!selection.mayFindWorker(call)) {
      return new ApiError.NoWorker(call.action().pool());
    }
    return queues.expectedWaitMs(call) > call.action().expiryMs()
        ? new ApiError.DeadlineExceeded()
        : null;
  }

  private void claimThenEnqueue(LiveRequestCall call) {
    String token = nodeId + "-" + ++claimTokensIssued;
    edge.claimIdempotencyId(
        call.request().idempotencyId(), token, error -> onClaimAnswered(call, token, error));
  }

  /** The claim was granted if error is null. */
  private void onClaimAnswered(LiveRequestCall call, String token, ApiError error) {
    if (call.isClosed()) {
      if (error == null) {
        edge.releaseIdempotencyId(call.request().idempotencyId(), token);
      }
    } else if (error != null) {
      call.reject(error);
    } else {
      call.setClaimToken(token);
      enqueue(call);
    }
  }

  private void enqueue(LiveRequestCall call) {
    queues.of(call).add(call);
    call.setExpiry(
        environment.schedule(
            Math.max(0, call.expiresAt() - environment.nowMs()),
            () -> {
              if (!call.isClosedOrRunning()) {
                call.reject(new ApiError.DeadlineExceeded());
              }
            }));
    dispatchQueued();
  }

  /**
   * Sends queued requests to workers with free slots, and rejects those that no worker can serve
   * before they expire. Called whenever a slot may have become free.
   */
  public void dispatchQueued() {
    for (ArrayDeque<LiveRequestCall> queue : queues.all()) {
      dispatch(queue);
      queue.removeIf(LiveRequestCall::isClosedOrRunning);
    }
  }

  private void dispatch(ArrayDeque<LiveRequestCall> queue) {
    for (LiveRequestCall call : List.copyOf(queue)) {
      if (call.isClosedOrRunning()) {
        continue;
      }
      WorkerState worker = selection.select(call);
      if (worker != null) {
        send(call, worker);
      } else if (selection.mayFindWorker(call)) {
        return;
      } else {
        call.reject(new ApiError.NoWorker(call.action().pool()));
      }
    }
  }

  /**
   * Sends a request to a worker. Expiry and this node's right to serve are checked here,
   * immediately before the send, so that a rejected request never runs.
   */
  private void send(LiveRequestCall call, WorkerState worker) {
    ApiError rejection = edge.rejectionOfAdmittedWork();
    if (rejection == null && environment.nowMs() >= call.expiresAt()) {
      rejection = new ApiError.DeadlineExceeded();
    }
    if (rejection != null) {
      call.reject(rejection);
      return;
    }
    queues.recordStart(call, environment.nowMs());
    call.beforeSend();
    context.registry().recordCallStart(worker, false);
    long timeoutMs =
        Math.max(1, call.expiresAt() - environment.nowMs())
            + LiveRequestConstants.STREAM_SILENCE_TIMEOUT_MS;
    LiveWorkerAttempt attempt = new LiveWorkerAttempt(context, call, worker);
    WorkerCall workerCall =
        new WorkerCall(worker.registration.address(), Json.bytes(call.request().body()), timeoutMs);
    attempt.start(environment.callWorker(workerCall, attempt));
  }

  /**
   * Rejects queued requests if this edge may start nothing, fails attempts at lost workers long
   * before their connections would, and dispatches. Called at regular intervals.
   */
  public void tick() {
    rejectQueuedIfNotServing();
    for (LiveRequestCall call : List.copyOf(runningCalls)) {
      if (call.isRunning()) {
        call.attempt().failIfWorkerLost();
      }
    }
    dispatchQueued();
  }

  private void rejectQueuedIfNotServing() {
    ApiError rejection = edge.rejectionOfAdmittedWork();
    if (rejection != null) {
      queues.all().stream()
          .flatMap(queue -> List.copyOf(queue).stream())
          .toList()
          .forEach(call -> call.reject(rejection));
    }
  }

  /** Number of requests that run at workers. */
  public int runningRequests() {
    return runningCalls.size();
  }

  /** Number of requests in the queues of all traffic classes. */
  public int queuedRequests() {
    return queues.size();
  }
}
