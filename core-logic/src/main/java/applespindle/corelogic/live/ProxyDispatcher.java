package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.RoutingConfiguration.PoolWeight;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.worker.EdgeContext;
import applespindle.corelogic.worker.PrefixCache;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerSelection;
import applespindle.corelogic.worker.WorkerState;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Opaque live requests on one edge: finds the route, weighs the workers, passes the response on as
 * it comes, and goes on at another worker where the route allows it. Nothing is queued here:
 * workers queue, by rank, and what fits nowhere in time is refused at once.
 */
public final class ProxyDispatcher {
  /** How long first bytes take on a route. */
  private static final class FirstByteLatency {
    double firstMs;
    double deviationMs;

    void note(double ms) {
      if (firstMs == 0) {
        firstMs = ms;
        deviationMs = ms / 2;
      } else {
        deviationMs +=
            (Math.abs(ms - firstMs) - deviationMs) * WorkerConstants.MOVING_AVERAGE_WEIGHT;
        firstMs += (ms - firstMs) * WorkerConstants.MOVING_AVERAGE_WEIGHT;
      }
    }
  }

  private final class AdmittedRequest implements RequestHandle {
    final ProxiedRequest request;
    final ProxiedResponseListener listener;
    final Route route;
    final String pool;
    final long takenAt = environment.nowMs();
    final long expiresAt;
    final double targetMs;
    final WorkerSelection.Demand demand;
    final Set<String> tried = new HashSet<>();
    int sendsLeft;
    WorkerAttempt run;

    /** A worker may have run it or may yet: no status that promises the contrary any more. */
    boolean mayHaveRun;

    boolean headPassed;

    /**
     * Every piece passed on so far was an event with an id, so that another run can go on behind
     * the last one.
     */
    boolean resumesExactly = true;

    String lastEventId;
    boolean over;

    AdmittedRequest(
        ProxiedRequest request,
        ProxiedResponseListener listener,
        RoutingConfiguration configuration,
        Route route,
        String pool,
        long arrivedAt) {
      this.request = request;
      this.listener = listener;
      this.route = route;
      this.pool = pool;
      long routeTimeoutAt = arrivedAt + route.timeoutMs();
      this.expiresAt =
          request.deadlineMs() > 0
              ? Math.min(takenAt + request.deadlineMs(), routeTimeoutAt)
              : routeTimeoutAt;
      this.targetMs =
          route.targetMs() > 0 ? route.targetMs() : WorkerConstants.DEFAULT_LATENCY_TARGET_MS;
      this.demand = demand(configuration.pools().get(pool));
      this.sendsLeft = Math.max(1, route.attempts());
      this.lastEventId = request.resumeAfter();
    }

    private WorkerSelection.Demand demand(RoutingConfiguration.Pool limits) {
      Long keptTokensMost = limits == null ? null : limits.keptTokensMost();
      return new WorkerSelection.Demand(
          pool,
          targetMs,
          route.sticky(),
          request.prompt(),
          PrefixCache.prefixHashes(request.prompt(), request.model()),
          request.promptTokens() + request.outputTokensMost(),
          keptTokensMost == null ? 0 : keptTokensMost);
    }

    /** Another run may take its place although a worker may have run it. */
    boolean repeatable() {
      return route.type() == RouteType.REPEATABLE && !headPassed
          || route.type() == RouteType.STREAM && route.resumable() && resumesExactly;
    }

    @Override
    public void cancel() {
      if (!over) {
        edge.incrementCounter("opaque_cancelled");
        finish();
      }
    }

    void finish() {
      over = true;
      open.remove(this);
      if (run != null) {
        run.leave();
      }
    }

    /**
     * The end for want of a whole response. Only what certainly never ran is answered with a
     * promise.
     */
    void conclude(ApiError error) {
      if (over) {
        return;
      }
      edge.incrementCounter("opaque_ended_" + error.type());
      mayHaveRun |= run != null;
      finish();
      if (headPassed) {
        listener.truncated(error);
      } else if (!mayHaveRun) {
        listener.rejected(Response.ofRetryAfterMs(error, comeBackMs(error, this)));
      } else {
        boolean open = error.description().status() == 502 || error.description().status() == 504;
        listener.rejected(Response.of(open ? error : new ApiError.OutcomeUnknown(request.id())));
      }
    }
  }

  /** One send to one worker. */
  private final class WorkerAttempt implements ExchangeListener {
    final AdmittedRequest admitted;
    final WorkerState worker;
    final long sentAt = environment.nowMs();
    final double expectedWaitMs;

    /**
     * Prompt tokens the worker still reads for it, as far as is known; 0 once something has come.
     */
    double reading;

    /**
     * What the worker had to read when this was sent, itself included; less than 0 once that says
     * nothing of its pace.
     */
    private double toRead;

    long heardAt = sentAt;
    WorkerCallHandle exchange;

    /**
     * Held until something follows it, so that a run which brings nothing can still be replaced.
     */
    ResponseHead head;

    /**
     * The response is not shown to the client, as another worker is to run the request or as the
     * status would promise that it has not run: what still comes is read away.
     */
    boolean dropped;

    WorkerAttempt(
        AdmittedRequest admitted, WorkerState worker, double expectedWaitMs, double reading) {
      this.admitted = admitted;
      this.worker = worker;
      this.expectedWaitMs = expectedWaitMs;
      this.reading = reading;
      this.toRead = expectedWaitMs > 0 ? -1 : worker.pendingPrefillTokensAt(sentAt) + reading;
      worker.pendingPrefillTokens += reading;
    }

    private void releaseUnreadTokens() {
      worker.pendingPrefillTokens -= reading;
      reading = 0;
    }

    private boolean isCurrent() {
      return !admitted.over && admitted.run == this;
    }

    private void recordActivity() {
      heardAt = environment.nowMs();
      registry.recordActivity(worker);
      worker.recordPrefill(toRead, heardAt - sentAt);
      toRead = -1;
      releaseUnreadTokens();
    }

    void release() {
      releaseUnreadTokens();
      admitted.run = null;
      registry.recordCallEnd(worker, false);
      worker.tokens -= admitted.demand.tokens();
    }

    void leave() {
      release();
      if (exchange != null) {
        exchange.cancel();
      }
    }

    @Override
    public void head(ResponseHead head) {
      if (!isCurrent()) {
        return;
      }
      recordActivity();
      boolean good = head.status() < 300;
      if (admitted.headPassed && !good
          || ApiError.promisesNotRun(head.status())
          || head.status() >= 500 && admitted.repeatable() && mayMove(admitted, worker)) {
        dropped = true;
      }
      if (this.head == null && good) {
        pace(admitted.route).note(heardAt - sentAt);
      }
      this.head = head;
    }

    @Override
    public void chunk(ResponseChunk piece) {
      if (!isCurrent()) {
        return;
      }
      recordActivity();
      if (dropped) {
        return;
      }
      passHead();
      if (isAfter(piece.eventId(), admitted.lastEventId)) {
        admitted.resumesExactly &= !piece.eventId().isEmpty();
        admitted.lastEventId = piece.eventId().isEmpty() ? admitted.lastEventId : piece.eventId();
        admitted.listener.chunk(piece);
      }
    }

    private void passHead() {
      if (!admitted.headPassed) {
        admitted.headPassed = true;
        admitted.listener.head(head);
      }
    }

    @Override
    public void end() {
      if (!isCurrent()) {
        return;
      }
      recordActivity();
      release();
      if (dropped) {
        registry.recordErrorResponse(worker);
        endUncertain(new ApiError.WorkerFailed(head.status()));
        return;
      }
      if (head.status() >= 500) {
        registry.recordErrorResponse(worker);
      } else if (head.status() >= 300) {
        registry.recordSuccess(worker);
      } else {
        registry.recordSuccess(worker, environment.nowMs() - sentAt);
      }
      passHead();
      admitted.finish();
      edge.incrementCounter("opaque_served");
      admitted.listener.end();
    }

    /** The worker may have run the request: another run only where the route allows a second. */
    private void endUncertain(ApiError error) {
      admitted.mayHaveRun = true;
      admitted.tried.add(worker.registration.id());
      if (admitted.repeatable()) {
        sendOn(admitted, error);
      } else {
        admitted.conclude(error);
      }
    }

    @Override
    public void load(WorkerLoad load) {
      registry.recordLoad(worker, load);
    }

    @Override
    public void fail(ApiError error, boolean mayHaveRun) {
      if (!isCurrent()) {
        return;
      }
      release();
      edge.incrementCounter("opaque_worker_" + error.type());
      if (error instanceof ApiError.InvalidInput) {
        admitted.conclude(error);
        return;
      }
      if (mayHaveRun) {
        registry.recordConnectionFailure(worker);
        endUncertain(error);
        return;
      }
      admitted.tried.add(worker.registration.id());
      if (WorkerRegistry.isCapacityRejection(error)) {
        registry.recordActivity(worker);
        registry.recordRejection(worker);
      } else {
        registry.recordConnectionFailure(worker);
      }
      if (!(error instanceof ApiError.WorkerRejected)) {
        admitted.sendsLeft++;
      }
      sendOn(admitted, error);
    }
  }

  private final Environment environment;
  private final EdgeContext edge;
  private final WorkerRegistry registry;
  private final WorkerSelection selection;
  private final Set<AdmittedRequest> open = new LinkedHashSet<>();
  private final Map<String, FirstByteLatency> paces = new HashMap<>();

  /** The pending look at the open requests; null while there are none. */
  private Environment.ScheduledTask look;

  private long lookDueAt;
  private long lookedAt;

  public ProxyDispatcher(
      Environment environment, String zone, EdgeContext edge, WorkerRegistry registry) {
    this.environment = environment;
    this.edge = edge;
    this.registry = registry;
    this.selection = new WorkerSelection(environment, zone, edge, registry);
  }

  public RequestHandle submit(ProxiedRequest request, ProxiedResponseListener listener) {
    return submit(request, listener, environment.nowMs());
  }

  /** The route's timeout runs from arrivedAt on, which lies back if the request has waited. */
  public RequestHandle submit(
      ProxiedRequest request, ProxiedResponseListener listener, long arrivedAt) {
    ApiError hindrance = edge.rejectionOfNewWork();
    if (hindrance == null && edge.configuration() == null) {
      hindrance = new ApiError.NoConfiguration();
    }
    Route route = hindrance == null ? edge.routes().find(request.host(), request.path()) : null;
    if (hindrance == null && (route == null || route.type() == RouteType.BATCH)) {
      hindrance = new ApiError.NoMatchingRule();
    }
    if (hindrance != null) {
      edge.incrementCounter("opaque_refused_" + hindrance.type());
      boolean starting =
          hindrance instanceof ApiError.NodeIsolated
              || hindrance instanceof ApiError.NoConfiguration;
      listener.rejected(
          starting
              ? Response.ofRetryAfterMs(hindrance, LifecycleConstants.STARTUP_RETRY_AFTER_MS)
              : Response.of(hindrance));
      return () -> {};
    }
    edge.incrementCounter("opaque_taken");
    AdmittedRequest admitted =
        new AdmittedRequest(request, listener, edge.configuration(), route, pool(route), arrivedAt);
    open.add(admitted);
    sendOn(admitted, new ApiError.NoWorker(admitted.pool));
    return admitted;
  }

  /** One of the route's pools by weight; one without workers only if all are. */
  private String pool(Route route) {
    List<PoolWeight> shares = route.split();
    if (shares.size() > 1) {
      List<PoolWeight> manned =
          shares.stream()
              .filter(
                  share ->
                      share.weight() > 0
                          && registry.all().stream()
                              .anyMatch(
                                  worker ->
                                      worker.registration.pool().equals(share.pool())
                                          && !worker.isDraining()))
              .toList();
      shares = manned.isEmpty() ? shares : manned;
    }
    long total = 0;
    for (PoolWeight share : shares) {
      total += share.weight();
    }
    long drawn = total <= 1 ? 0 : environment.random().nextLong(total);
    for (PoolWeight share : shares) {
      drawn -= share.weight();
      if (drawn < 0) {
        return share.pool();
      }
    }
    return shares.get(0).pool();
  }

  /**
   * To the next worker, or to the end. Whether this node and the worker may take it is looked at
   * here, right before the send; fault is what ended the last run.
   */
  private void sendOn(AdmittedRequest admitted, ApiError error) {
    ApiError hindrance = edge.rejectionOfAdmittedWork();
    if (hindrance == null && environment.nowMs() >= admitted.expiresAt) {
      hindrance = new ApiError.DeadlineExceeded();
    }
    if (hindrance != null) {
      admitted.conclude(hindrance);
      return;
    }
    WorkerState worker = admitted.sendsLeft <= 0 ? null : select(admitted, null);
    if (worker == null) {
      admitted.conclude(error);
      return;
    }
    long left = admitted.expiresAt - environment.nowMs();
    double waitMs = selection.waitMs(admitted.demand, worker);
    if (waitMs > left) {
      admitted.conclude(new ApiError.DeadlineExceeded());
      return;
    }
    admitted.sendsLeft--;
    WorkerAttempt run =
        new WorkerAttempt(
            admitted, worker, waitMs, WorkerSelection.unreadTokens(admitted.demand, worker));
    admitted.run = run;
    registry.recordCallStart(worker, false);
    worker.tokens += admitted.demand.tokens();
    worker.prefixCache.add(
        admitted.request.prompt(),
        admitted.demand.prefixHashes(),
        admitted.demand.cacheTokensPerWorker());
    WorkerCallHandle exchange =
        environment.exchange(
            new WorkerExchange(
                worker.registration.address(),
                worker.registration.id(),
                admitted.request,
                admitted.route.rank(),
                left,
                admitted.lastEventId),
            run);
    if (admitted.run == run) {
      run.exchange = exchange;
    } else {
      exchange.cancel();
    }
    look(admitted.expiresAt);
  }

  /** Whether another worker could take the request from this one. */
  private boolean mayMove(AdmittedRequest admitted, WorkerState from) {
    return admitted.sendsLeft > 0
        && edge.rejectionOfAdmittedWork() == null
        && select(admitted, from) != null;
  }

  /** Null if no worker is left; except: one that it is not to go to. */
  private WorkerState select(AdmittedRequest admitted, WorkerState except) {
    return selection.select(
        admitted.demand,
        worker -> worker != except && !admitted.tried.contains(worker.registration.id()),
        admitted.repeatable());
  }

  private long comeBackMs(ApiError error, AdmittedRequest admitted) {
    boolean ofWorkers =
        error instanceof ApiError.NoWorker
            || error instanceof ApiError.WorkerRejected
            || error instanceof ApiError.WorkerUnreachable
            || error instanceof ApiError.DeadlineExceeded;
    if (!ofWorkers) {
      return error.description().retryAfterSeconds() * 1_000L;
    }
    double waitMs = LiveRequestConstants.MAX_RETRY_AFTER_MS;
    for (WorkerState each : registry.all()) {
      if (each.registration.pool().equals(admitted.pool) && !each.isDraining()) {
        double slotMs = each.serviceMs / Math.max(1, each.capacity());
        waitMs =
            Math.min(
                waitMs,
                Math.max(
                    Math.max(slotMs, selection.waitMs(admitted.demand, each)),
                    each.ejectedUntil - environment.nowMs()));
      }
    }
    return Math.max(LiveRequestConstants.MIN_RETRY_AFTER_MS, Math.round(waitMs));
  }

  private FirstByteLatency pace(Route route) {
    return paces.computeIfAbsent(route.name(), unseen -> new FirstByteLatency());
  }

  /**
   * Looks for silent workers and passed expiries as long as requests are open, and when the next of
   * them expires.
   */
  private void look(long nextExpiresAt) {
    long now = environment.nowMs();
    long dueAt =
        Math.min(
            now + LiveRequestConstants.SILENCE_CHECK_INTERVAL_MS,
            Math.max(now + LiveRequestConstants.MIN_EXPIRY_CHECK_INTERVAL_MS, nextExpiresAt));
    if (look != null && lookDueAt <= dueAt) {
      return;
    }
    if (look == null) {
      lookedAt = now;
    } else {
      look.cancel();
    }
    lookDueAt = dueAt;
    look = environment.schedule(dueAt - now, this::lookOnce);
  }

  private void lookOnce() {
    look = null;
    long now = environment.nowMs();
    boolean frozen = now - lookedAt > 4 * LiveRequestConstants.SILENCE_CHECK_INTERVAL_MS;
    for (AdmittedRequest admitted : List.copyOf(open)) {
      if (admitted.over || admitted.run == null) {
        continue;
      }
      if (now >= admitted.expiresAt) {
        admitted.conclude(new ApiError.WorkerTimeout(admitted.run.worker.registration.id()));
      } else if (frozen) {
        admitted.run.heardAt = now;
      } else {
        lookAt(admitted, now);
      }
    }
    long nextExpiresAt = Long.MAX_VALUE;
    for (AdmittedRequest admitted : open) {
      nextExpiresAt = Math.min(nextExpiresAt, admitted.expiresAt);
    }
    if (!open.isEmpty()) {
      look(nextExpiresAt);
    }
  }

  /**
   * One silence speaks against a worker only if nothing at all came from there meanwhile, and not
   * if most are silent.
   */
  private void lookAt(AdmittedRequest admitted, long now) {
    WorkerAttempt run = admitted.run;
    WorkerState worker = run.worker;
    long silentMs = now - Math.max(run.heardAt, worker.lastActivityAt);
    if (silentMs <= silenceMs(run)) {
      return;
    }
    if (!worker.unresponsive) {
      if (mostAreSuspect(admitted.pool)) {
        return;
      }
      worker.unresponsive = true;
      registry.recordConnectionFailure(worker);
      edge.incrementCounter("opaque_workers_suspected");
    }
    if (admitted.repeatable() && mayMove(admitted, worker)) {
      edge.incrementCounter("opaque_moved");
      admitted.mayHaveRun = true;
      admitted.tried.add(worker.registration.id());
      run.leave();
      sendOn(admitted, new ApiError.WorkerTimeout(worker.registration.id()));
    }
  }

  private double silenceMs(WorkerAttempt run) {
    Route route = run.admitted.route;
    if (run.head != null && route.gapTargetMs() > 0) {
      return Math.max(
          LiveRequestConstants.MIN_SILENCE_TIMEOUT_MS,
          (double) LiveRequestConstants.SILENCE_TIMEOUT_GAPS * route.gapTargetMs());
    }
    FirstByteLatency pace = pace(route);
    double expected = pace.firstMs + 2 * pace.deviationMs + run.expectedWaitMs;
    return Math.max(
        Math.max(LiveRequestConstants.MIN_SILENCE_TIMEOUT_MS, run.admitted.targetMs), 2 * expected);
  }

  private boolean mostAreSuspect(String pool) {
    int all = 0;
    int suspect = 0;
    for (WorkerState each : registry.all()) {
      if (each.registration.pool().equals(pool) && !each.isDraining()) {
        all++;
        suspect += each.unresponsive ? 1 : 0;
      }
    }
    return 2 * (suspect + 1) > all;
  }

  /**
   * Events are passed on once and in order; ids that are not numbers can not be compared and count
   * as later.
   */
  private static boolean isAfter(String eventId, String lastEventId) {
    Long id = number(eventId);
    Long last = number(lastEventId);
    return id == null || last == null || id > last;
  }

  private static Long number(String text) {
    if (text.isEmpty() || text.length() > 18) {
      return null;
    }
    for (int index = 0; index < text.length(); index++) {
      if (text.charAt(index) < '0' || text.charAt(index) > '9') {
        return null;
      }
    }
    return Long.valueOf(text);
  }

  public int openRequests() {
    return open.size();
  }
}
