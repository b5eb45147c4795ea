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

  private final class Taken implements RequestHandle {
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

    Taken(
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
  private final TreeMap<String, ArrayDeque<Taken>> queues = new TreeMap<>();

  private final Map<String, Double> startIntervals = new HashMap<>();
  private final Map<String, Long> lastStartAt = new HashMap<>();
  private CompiledRules rules;
  private RoutingConfiguration rulesOf;
  private long tokens;
  private final Set<Taken> atWorkers = new LinkedHashSet<>();

  public LiveRequestDispatcher(
      Environment environment, String nodeId, EdgeContext edge, WorkerRegistry registry) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.edge = edge;
    this.registry = registry;
  }

  private ArrayDeque<Taken> queue(Taken taken) {
    return queues.computeIfAbsent(
        String.format("%03d %s", taken.classLimit.rank(), taken.way.trafficClass()),
        unseen -> new ArrayDeque<>());
  }

  public RequestHandle take(LiveRequest request, LiveResponseListener listener) {
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
    Taken taken = new Taken(request, listener, configuration, way);
    ApiError refusal = refusalAtOnce(taken);
    if (refusal != null) {
      taken.refuse(refusal);
      return taken;
    }
    edge.incrementCounter("live_taken");
    if (request.onceId().isEmpty()) {
      enqueue(taken);
    } else {
      claimThenEnqueue(taken);
    }
    return taken;
  }

  /** What can not start within its expiry hears so now, not at the end of it. */
  private ApiError refusalAtOnce(Taken taken) {
    ArrayDeque<Taken> queue = queue(taken);
    if (queue.size() >= taken.classLimit.queueMost()
        && (queue.size() > 0 || select(taken) == null)) {
      return new ApiError.QueueFull(taken.way.trafficClass());
    }
    if (registry.all().stream()
        .noneMatch(
            worker -> ofPool(worker, taken) && registry.comesBackBy(worker, taken.expiresAt))) {
      return new ApiError.NoWorker(taken.way.pool());
    }
    double interval = startIntervals.getOrDefault(taken.way.trafficClass(), 0.0);
    return queue.size() * interval > taken.way.expiryMs() ? new ApiError.DeadlineExceeded() : null;
  }

  /**
   * From what is known now: the pace of the queue, or when the first worker's rest ends; else the
   * fault's own.
   */
  private int comeBackSeconds(ApiError error, Taken taken) {
    long waitMs;
    if (error instanceof ApiError.QueueFull || error instanceof ApiError.DeadlineExceeded) {
      waitMs =
          (long) (queue(taken).size() * startIntervals.getOrDefault(taken.way.trafficClass(), 0.0));
    } else if (error instanceof ApiError.NoWorker
        || error instanceof ApiError.WorkerRejected
        || error instanceof ApiError.WorkerUnreachable) {
      waitMs =
          registry.all().stream()
              .filter(worker -> ofPool(worker, taken))
              .mapToLong(registry::restMs)
              .min()
              .orElse(WorkerConstants.LOAD_STALE_AFTER_MS);
    } else {
      return error.description().retryAfterSeconds();
    }
    return (int)
        Math.max(1, Math.min(LiveRequestConstants.MAX_RETRY_AFTER_S, (waitMs + 999) / 1_000));
  }

  private void claimThenEnqueue(Taken taken) {
    String token = nodeId + "-" + ++tokens;
    edge.claimOnce(
        taken.request.onceId(),
        token,
        error -> {
          if (taken.over) {
            if (error == null) {
              edge.unclaimOnce(taken.request.onceId(), token);
            }
            return;
          }
          if (error != null) {
            taken.refuse(error);
          } else {
            taken.token = token;
            enqueue(taken);
          }
        });
  }

  private void enqueue(Taken taken) {
    queue(taken).add(taken);
    environment.schedule(
        Math.max(0, taken.expiresAt - environment.nowMs()),
        () -> {
          if (!taken.over && taken.run == null) {
            taken.refuse(new ApiError.DeadlineExceeded());
          }
        });
    pump();
  }

  public void pump() {
    for (ArrayDeque<Taken> queue : queues.values()) {
      for (Taken taken : List.copyOf(queue)) {
        if (taken.over || taken.run != null) {
          continue;
        }
        WorkerState worker = select(taken);
        if (worker == null) {
          if (registry.all().stream()
              .noneMatch(
                  each ->
                      ofPool(each, taken)
                          && registry.comesBackBy(each, taken.expiresAt)
                          && !taken.tried.contains(each.worker.id()))) {
            taken.refuse(new ApiError.NoWorker(taken.way.pool()));
            continue;
          }
          break;
        }
        handOver(taken, worker);
      }
      queue.removeIf(taken -> taken.over || taken.run != null);
    }
  }

  private boolean ofPool(WorkerState worker, Taken taken) {
    return worker.worker.pool().equals(taken.way.pool());
  }

  /**
   * The first worker in the prompt prefix's order that is usable, has room, and is not loaded
   * beyond the bound; so the same prefix meets the same cache from every edge without any talk
   * between them.
   */
  private WorkerState select(Taken taken) {
    Map<String, WorkerState> usable = new TreeMap<>();
    int load = 0;
    for (WorkerState each : registry.all()) {
      if (ofPool(each, taken)
          && registry.isUsable(each)
          && !taken.tried.contains(each.worker.id())) {
        usable.put(each.worker.id(), each);
        load += each.runningCalls();
      }
    }
    if (usable.isEmpty()) {
      return null;
    }
    double bound = Math.ceil(taken.pool.loadFactor() * (load + 1) / usable.size());
    WorkerState fallback = null;
    for (String id :
        RendezvousHashing.order(prefix(taken.request.prompt(), taken.pool), usable.keySet())) {
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
  private void handOver(Taken taken, WorkerState worker) {
    ApiError hindrance = edge.rejectionOfAdmittedWork();
    if (hindrance == null && environment.nowMs() >= taken.expiresAt) {
      hindrance = new ApiError.DeadlineExceeded();
    }
    if (hindrance != null) {
      taken.refuse(hindrance);
      return;
    }
    noteStart(taken);
    taken.worker = worker;
    taken.handedOver = true;
    taken.output.setLength(0);
    registry.recordCallStart(worker, false);
    long expiry =
        Math.max(1, taken.expiresAt - environment.nowMs())
            + LiveRequestConstants.STREAM_SILENCE_TIMEOUT_MS;
    taken.lastTextAt = environment.nowMs();
    taken.runListener = listener(taken, worker);
    taken.run =
        environment.callWorker(
            new WorkerCall(worker.worker.address(), Json.bytes(taken.request.body()), expiry),
            taken.runListener);
    atWorkers.add(taken);
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
          .forEach(taken -> taken.refuse(hindrance));
    }
  }

  /** Ends runs at workers that have gone dark, long before their connections would. */
  public void tick() {
    refuseIfHindered();
    for (Taken taken : List.copyOf(atWorkers)) {
      if (taken.run != null && registry.lost(taken.worker, taken.lastTextAt)) {
        taken.run.cancel();
        taken.runListener.fail(new ApiError.WorkerTimeout(taken.worker.worker.id()), true);
      }
    }
    pump();
  }

  private void noteStart(Taken taken) {
    String trafficClass = taken.way.trafficClass();
    long now = environment.nowMs();
    Long before = lastStartAt.put(trafficClass, now);
    if (queue(taken).size() > 1 && before != null) {
      startIntervals.merge(
          trafficClass, (double) (now - before), (old, latest) -> old * 0.9 + latest * 0.1);
    } else {
      startIntervals.remove(trafficClass);
    }
  }

  private WorkerCallListener listener(Taken taken, WorkerState worker) {
    return new WorkerCallListener() {
      private boolean stands() {
        return !taken.over && taken.worker == worker && taken.run != null;
      }

      @Override
      public void text(String text) {
        if (!stands()) {
          return;
        }
        taken.lastTextAt = environment.nowMs();
        if (taken.request.stream()) {
          taken.passedOn = true;
          taken.listener.text(text);
        } else {
          if (taken.output.isEmpty()) {
            taken.listener.running();
          }
          taken.output.append(text);
        }
      }

      @Override
      public void end(String finishReason) {
        if (!stands()) {
          return;
        }
        release();
        registry.recordSuccess(worker);
        taken.finish();
        edge.incrementCounter("live_served");
        taken.listener.end(taken.output.toString(), finishReason);
        pump();
      }

      @Override
      public void fail(ApiError error, boolean mayHaveRun) {
        if (!stands()) {
          return;
        }
        release();
        if (WorkerRegistry.isCapacityRejection(error)) {
          registry.recordRejection(worker);
          taken.handedOver = false;
          queue(taken).addFirst(taken);
          pump();
          return;
        }
        if (!(error instanceof ApiError.WorkerRejected)) {
          registry.recordConnectionFailure(worker);
        }
        edge.incrementCounter("live_worker_faults");
        taken.tried.add(worker.worker.id());
        boolean once = !taken.request.onceId().isEmpty();
        if (taken.passedOn || once && mayHaveRun || taken.retriesLeft-- <= 0) {
          taken.handedOver = mayHaveRun;
          taken.refuse(error);
        } else {
          taken.handedOver = taken.handedOver && mayHaveRun;
          queue(taken).addFirst(taken);
        }
        pump();
      }

      private void release() {
        taken.run = null;
        registry.recordCallEnd(worker, false);
        atWorkers.remove(taken);
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
