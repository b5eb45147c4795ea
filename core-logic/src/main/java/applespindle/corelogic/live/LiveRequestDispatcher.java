package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.configuration.CompiledRules;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.worker.EdgeContext;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerState;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Live requests on one edge: takes them, queues them by class, selects a worker, and streams the
 * response back.
 */
public final class LiveRequestDispatcher {

  private final class AdmittedRequest implements RequestHandle {
    final LiveRequest request;
    final LiveResponseListener listener;
    final RoutingConfiguration.RoutingAction way;
    final RoutingConfiguration.Pool pool;

    /**
     * Rank and queue limit of the bundle the request began with; a later bundle does not touch it.
     */
    final RoutingConfiguration.ClassLimit classLimit;

    final long takenAt = environment.nowMs();
    final long expiresAt;
    final Set<String> tried = new HashSet<>();
    final StringBuilder output = new StringBuilder();
    String token = "";
    int retriesLeft;
    WorkerState worker;
    WorkerCallHandle run;
    WorkerCallListener runListener;
    long lastTextAt;
    boolean passedOn;
    boolean handedOver;
    boolean over;

    AdmittedRequest(
        LiveRequest request,
        LiveResponseListener listener,
        RoutingConfiguration configuration,
        RoutingConfiguration.RoutingAction way) {
      this.request = request;
      this.listener = listener;
      this.way = way;
      this.pool = configuration.pools().get(way.pool());
      this.classLimit = configuration.limits().classes().get(way.trafficClass());
      this.expiresAt = takenAt + way.expiryMs();
      this.retriesLeft = way.retries();
    }

    @Override
    public void cancel() {
      if (!over) {
        edge.incrementCounter("live_cancelled");
        finish();
      }
    }

    void refuse(ApiError error) {
      if (over) {
        return;
      }
      edge.incrementCounter("live_refused_" + error.type());
      boolean unknownOnce = !request.onceId().isEmpty() && handedOver;
      int comeBack = comeBackSeconds(error, this);
      finish();
      listener.fail(
          unknownOnce
              ? Response.of(new ApiError.OutcomeUnknown(request.onceId()))
              : Response.of(error, comeBack),
          passedOn);
    }

    void finish() {
      over = true;
      queue(this).remove(this);
      leaveWorker();
      if (!token.isEmpty() && !handedOver) {
        edge.unclaimOnce(request.onceId(), token);
      }
    }

    void leaveWorker() {
      if (run != null) {
        run.cancel();
        run = null;
        registry.recordCallEnd(worker, false);
        atWorkers.remove(this);
      }
    }
  }

  private final Environment environment;
  private final String nodeId;
  private final EdgeContext edge;
  private final WorkerRegistry registry;

  /** By rank, then class: short checks stand before notes and are never behind them. */
  private final TreeMap<String, ArrayDeque<AdmittedRequest>> queues = new TreeMap<>();

  private final Map<String, Double> startIntervals = new HashMap<>();
  private final Map<String, Long> lastStartAt = new HashMap<>();
  private CompiledRules rules;
  private RoutingConfiguration rulesOf;
  private long tokens;
  private final Set<AdmittedRequest> atWorkers = new LinkedHashSet<>();

  public LiveRequestDispatcher(
      Environment environment, String nodeId, EdgeContext edge, WorkerRegistry registry) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.edge = edge;
    this.registry = registry;
  }

  private ArrayDeque<AdmittedRequest> queue(AdmittedRequest admitted) {
    return queues.computeIfAbsent(
        String.format("%03d %s", admitted.classLimit.rank(), admitted.way.trafficClass()),
        unseen -> new ArrayDeque<>());
  }

  public RequestHandle submit(LiveRequest request, LiveResponseListener listener) {
    ApiError hindrance = edge.rejectionOfNewWork();
    RoutingConfiguration configuration = edge.configuration();
    if (hindrance == null && configuration == null) {
      hindrance = new ApiError.NoConfiguration();
    }
    if (hindrance != null) {
      edge.incrementCounter("live_refused_" + hindrance.type());
      listener.fail(Response.of(hindrance), false);
      return () -> {};
    }
    if (rulesOf != configuration) {
      rules = CompiledRules.compile(configuration);
      rulesOf = configuration;
    }
    RoutingConfiguration.RoutingAction way =
        rules.run(
            new CompiledRules.Subject(
                request.model(),
                request.sender(),
                request.trafficClass(),
                request.headers(),
                request.prompt().length()));
    if (way == null) {
      listener.fail(Response.of(new ApiError.NoMatchingRule()), false);
      return () -> {};
    }
    AdmittedRequest admitted = new AdmittedRequest(request, listener, configuration, way);
    ApiError refusal = refusalAtOnce(admitted);
    if (refusal != null) {
      admitted.refuse(refusal);
      return admitted;
    }
    edge.incrementCounter("live_taken");
    if (request.onceId().isEmpty()) {
      enqueue(admitted);
    } else {
      claimThenEnqueue(admitted);
    }
    return admitted;
  }

  /** What can not start within its expiry hears so now, not at the end of it. */
  private ApiError refusalAtOnce(AdmittedRequest admitted) {
    ArrayDeque<AdmittedRequest> queue = queue(admitted);
    if (queue.size() >= admitted.classLimit.queueMost()
        && (queue.size() > 0 || select(admitted) == null)) {
      return new ApiError.QueueFull(admitted.way.trafficClass());
    }
    if (registry.all().stream()
        .noneMatch(
            worker ->
                ofPool(worker, admitted) && registry.isUsableBefore(worker, admitted.expiresAt))) {
      return new ApiError.NoWorker(admitted.way.pool());
    }
    double interval = startIntervals.getOrDefault(admitted.way.trafficClass(), 0.0);
    return queue.size() * interval > admitted.way.expiryMs()
        ? new ApiError.DeadlineExceeded()
        : null;
  }

  /**
   * From what is known now: the pace of the queue, or when the first worker's rest ends; else the
   * fault's own.
   */
  private int comeBackSeconds(ApiError error, AdmittedRequest admitted) {
    long waitMs;
    if (error instanceof ApiError.QueueFull || error instanceof ApiError.DeadlineExceeded) {
      waitMs =
          (long)
              (queue(admitted).size()
                  * startIntervals.getOrDefault(admitted.way.trafficClass(), 0.0));
    } else if (error instanceof ApiError.NoWorker
        || error instanceof ApiError.WorkerRejected
        || error instanceof ApiError.WorkerUnreachable) {
      waitMs =
          registry.all().stream()
              .filter(worker -> ofPool(worker, admitted))
              .mapToLong(registry::unavailableMs)
              .min()
              .orElse(WorkerConstants.LOAD_STALE_AFTER_MS);
    } else {
      return error.description().retryAfterSeconds();
    }
    return (int)
        Math.max(1, Math.min(LiveRequestConstants.MAX_RETRY_AFTER_S, (waitMs + 999) / 1_000));
  }

  private void claimThenEnqueue(AdmittedRequest admitted) {
    String token = nodeId + "-" + ++tokens;
    edge.claimOnce(
        admitted.request.onceId(),
        token,
        error -> {
          if (admitted.over) {
            if (error == null) {
              edge.unclaimOnce(admitted.request.onceId(), token);
            }
            return;
          }
          if (error != null) {
            admitted.refuse(error);
          } else {
            admitted.token = token;
            enqueue(admitted);
          }
        });
  }

  private void enqueue(AdmittedRequest admitted) {
    queue(admitted).add(admitted);
    environment.schedule(
        Math.max(0, admitted.expiresAt - environment.nowMs()),
        () -> {
          if (!admitted.over && admitted.run == null) {
            admitted.refuse(new ApiError.DeadlineExceeded());
          }
        });
    dispatchQueued();
  }

  public void dispatchQueued() {
    for (ArrayDeque<AdmittedRequest> queue : queues.values()) {
      for (AdmittedRequest admitted : List.copyOf(queue)) {
        if (admitted.over || admitted.run != null) {
          continue;
        }
        WorkerState worker = select(admitted);
        if (worker == null) {
          if (registry.all().stream()
              .noneMatch(
                  each ->
                      ofPool(each, admitted)
                          && registry.isUsableBefore(each, admitted.expiresAt)
                          && !admitted.tried.contains(each.registration.id()))) {
            admitted.refuse(new ApiError.NoWorker(admitted.way.pool()));
            continue;
          }
          break;
        }
        handOver(admitted, worker);
      }
      queue.removeIf(admitted -> admitted.over || admitted.run != null);
    }
  }

  private boolean ofPool(WorkerState worker, AdmittedRequest admitted) {
    return worker.registration.pool().equals(admitted.way.pool());
  }

  /**
   * The first worker in the prompt prefix's order that is usable, has room, and is not loaded
   * beyond the bound; so the same prefix meets the same cache from every edge without any talk
   * between them.
   */
  private WorkerState select(AdmittedRequest admitted) {
    Map<String, WorkerState> usable = new TreeMap<>();
    int load = 0;
    for (WorkerState each : registry.all()) {
      if (ofPool(each, admitted)
          && registry.isUsable(each)
          && !admitted.tried.contains(each.registration.id())) {
        usable.put(each.registration.id(), each);
        load += each.runningCalls();
      }
    }
    if (usable.isEmpty()) {
      return null;
    }
    double bound = Math.ceil(admitted.pool.loadFactor() * (load + 1) / usable.size());
    WorkerState fallback = null;
    for (String id :
        RendezvousHashing.order(
            prefix(admitted.request.prompt(), admitted.pool), usable.keySet())) {
      WorkerState each = usable.get(id);
      if (each.free() <= 0) {
        continue;
      }
      if (each.runningCalls() + 1 <= bound) {
        return each;
      }
      if (fallback == null || each.runningCalls() < fallback.runningCalls()) {
        fallback = each;
      }
    }
    return fallback;
  }

  static String prefix(String prompt, RoutingConfiguration.Pool pool) {
    int blocks = Math.min(pool.prefixBlocks(), prompt.length() / pool.prefixBlockChars());
    return blocks == 0 ? prompt : prompt.substring(0, blocks * pool.prefixBlockChars());
  }

  /**
   * Expiry and staleness are checked here, right before the hand-over: what was refused never runs.
   */
  private void handOver(AdmittedRequest admitted, WorkerState worker) {
    ApiError hindrance = edge.rejectionOfAdmittedWork();
    if (hindrance == null && environment.nowMs() >= admitted.expiresAt) {
      hindrance = new ApiError.DeadlineExceeded();
    }
    if (hindrance != null) {
      admitted.refuse(hindrance);
      return;
    }
    noteStart(admitted);
    admitted.worker = worker;
    admitted.handedOver = true;
    admitted.output.setLength(0);
    registry.recordCallStart(worker, false);
    long expiry =
        Math.max(1, admitted.expiresAt - environment.nowMs())
            + LiveRequestConstants.STREAM_SILENCE_TIMEOUT_MS;
    admitted.lastTextAt = environment.nowMs();
    admitted.runListener = listener(admitted, worker);
    admitted.run =
        environment.callWorker(
            new WorkerCall(
                worker.registration.address(), Json.bytes(admitted.request.body()), expiry),
            admitted.runListener);
    atWorkers.add(admitted);
  }

  /**
   * Whoever waits in a queue of an edge that may begin nothing hears so now, not when a worker
   * would have been free.
   */
  private void refuseIfHindered() {
    ApiError hindrance = edge.rejectionOfAdmittedWork();
    if (hindrance != null) {
      queues.values().stream()
          .flatMap(queue -> List.copyOf(queue).stream())
          .toList()
          .forEach(admitted -> admitted.refuse(hindrance));
    }
  }

  /** Ends runs at workers that have gone dark, long before their connections would. */
  public void tick() {
    refuseIfHindered();
    for (AdmittedRequest admitted : List.copyOf(atWorkers)) {
      if (admitted.run != null && registry.isPresumedLost(admitted.worker, admitted.lastTextAt)) {
        admitted.run.cancel();
        admitted.runListener.fail(
            new ApiError.WorkerTimeout(admitted.worker.registration.id()), true);
      }
    }
    dispatchQueued();
  }

  private void noteStart(AdmittedRequest admitted) {
    String trafficClass = admitted.way.trafficClass();
    long now = environment.nowMs();
    Long before = lastStartAt.put(trafficClass, now);
    if (queue(admitted).size() > 1 && before != null) {
      startIntervals.merge(
          trafficClass, (double) (now - before), (old, latest) -> old * 0.9 + latest * 0.1);
    } else {
      startIntervals.remove(trafficClass);
    }
  }

  private WorkerCallListener listener(AdmittedRequest admitted, WorkerState worker) {
    return new WorkerCallListener() {
      private boolean stands() {
        return !admitted.over && admitted.worker == worker && admitted.run != null;
      }

      @Override
      public void text(String text) {
        if (!stands()) {
          return;
        }
        admitted.lastTextAt = environment.nowMs();
        if (admitted.request.stream()) {
          admitted.passedOn = true;
          admitted.listener.text(text);
        } else {
          if (admitted.output.isEmpty()) {
            admitted.listener.running();
          }
          admitted.output.append(text);
        }
      }

      @Override
      public void end(String finishReason) {
        if (!stands()) {
          return;
        }
        release();
        registry.recordSuccess(worker);
        admitted.finish();
        edge.incrementCounter("live_served");
        admitted.listener.end(admitted.output.toString(), finishReason);
        dispatchQueued();
      }

      @Override
      public void fail(ApiError error, boolean mayHaveRun) {
        if (!stands()) {
          return;
        }
        release();
        if (WorkerRegistry.isCapacityRejection(error)) {
          registry.recordRejection(worker);
          admitted.handedOver = false;
          queue(admitted).addFirst(admitted);
          dispatchQueued();
          return;
        }
        if (!(error instanceof ApiError.WorkerRejected)) {
          registry.recordConnectionFailure(worker);
        }
        edge.incrementCounter("live_worker_faults");
        admitted.tried.add(worker.registration.id());
        boolean once = !admitted.request.onceId().isEmpty();
        if (admitted.passedOn || once && mayHaveRun || admitted.retriesLeft-- <= 0) {
          admitted.handedOver = mayHaveRun;
          admitted.refuse(error);
        } else {
          admitted.handedOver = admitted.handedOver && mayHaveRun;
          queue(admitted).addFirst(admitted);
        }
        dispatchQueued();
      }

      private void release() {
        admitted.run = null;
        registry.recordCallEnd(worker, false);
        atWorkers.remove(admitted);
      }
    };
  }

  public int runningRequests() {
    return atWorkers.size();
  }

  public int queuedRequests() {
    return queues.values().stream().mapToInt(ArrayDeque::size).sum();
  }
}
