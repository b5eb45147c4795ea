package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.RoutingConfiguration.BatchLimits;
import applespindle.corelogic.configuration.RoutingConfiguration.ClassLimit;
import applespindle.corelogic.configuration.RoutingConfiguration.Limits;
import applespindle.corelogic.configuration.RoutingConfiguration.Match;
import applespindle.corelogic.configuration.RoutingConfiguration.Pool;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RoutingAction;
import applespindle.corelogic.configuration.RoutingConfiguration.Rule;
import applespindle.corelogic.configuration.TenantAccess;
import applespindle.corelogic.configuration.WorkerRanks;
import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.worker.EdgeContext;
import applespindle.corelogic.worker.WorkerRegistry;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One dispatcher of live requests on simulated time; the test acts as its workers, its clients and
 * the storage nodes that grant claims.
 */
final class LiveRequestDispatcherFixture extends FakeEnvironment implements EdgeContext {
  static final String POOL = "p";
  static final String URGENT = "urgent";
  static final String NORMAL = "normal";
  static final int EXPIRY_MS = 2_000;
  static final int MAX_QUEUED = 2;
  private static final int RETRIES = 1;

  final List<SentCall> calls = new ArrayList<>();
  final List<Claim> claims = new ArrayList<>();
  final List<String> releasedIds = new ArrayList<>();
  final WorkerRegistry registry = new WorkerRegistry(this, () -> {});
  final LiveRequestDispatcher dispatcher =
      new LiveRequestDispatcher(this, "edge-1", this, registry);
  RoutingConfiguration configuration = ruleForEachClass();
  ApiError newWorkRejection;
  ApiError admittedWorkRejection;

  /** Ids of the listed workers by address. */
  private final Map<String, String> workerIds = new LinkedHashMap<>();

  private final Map<String, WorkerRegistration> workers = new LinkedHashMap<>();

  LiveRequestDispatcherFixture() {
    super(1_000);
  }

  static LiveRequestDispatcherFixture withWorkers(int workers, int slots) {
    LiveRequestDispatcherFixture fixture = new LiveRequestDispatcherFixture();
    for (int index = 1; index <= workers; index++) {
      fixture.addWorker("w" + index, slots);
    }
    return fixture;
  }

  private void addWorker(String id, int slots) {
    String address = "10.0.0.1:" + (1_000 + workers.size());
    workerIds.put(address, id);
    workers.put(
        id, new WorkerRegistration(id, address, POOL, WorkerRegistration.READY, "zone-a", slots));
    registry.updateWorkers(workers);
  }

  /** A rule for each class; requests of other classes match none. */
  private static RoutingConfiguration ruleForEachClass() {
    Limits limits =
        new Limits(
            Map.of(URGENT, new ClassLimit(0, MAX_QUEUED), NORMAL, new ClassLimit(1, MAX_QUEUED)),
            new BatchLimits(POOL, 100, 1, 0, false, 1_000, null));
    return new RoutingConfiguration(
        1, Map.of(POOL, new Pool(16, 4, 1.5)), List.of(rule(URGENT), rule(NORMAL)), limits);
  }

  private static Rule rule(String trafficClass) {
    return new Rule(
        trafficClass,
        new Match(null, null, trafficClass, null, null, null),
        null,
        new RoutingAction(POOL, trafficClass, EXPIRY_MS, RETRIES));
  }

  Client submit(String trafficClass, String prompt) {
    return submit(trafficClass, prompt, true, "");
  }

  /** Submits a request that may run once at most. */
  Client submitOnce(String idempotencyId) {
    return submit(NORMAL, "prompt", true, idempotencyId);
  }

  Client submit(String trafficClass, String prompt, boolean stream, String idempotencyId) {
    Client client = new Client();
    client.handle =
        dispatcher.submit(
            new LiveRequest(
                "sender",
                "m",
                trafficClass,
                Map.of(),
                prompt,
                Json.JSON.createObjectNode().put("prompt", prompt),
                stream,
                idempotencyId),
            client);
    return client;
  }

  SentCall lastCall() {
    return calls.get(calls.size() - 1);
  }

  Claim lastClaim() {
    return claims.get(claims.size() - 1);
  }

  @Override
  public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
    SentCall sentCall = new SentCall(workerIds.get(call.workerAddress()), listener);
    calls.add(sentCall);
    return () -> sentCall.cancelled = true;
  }

  @Override
  public ApiError rejectionOfNewWork() {
    return newWorkRejection == null ? admittedWorkRejection : newWorkRejection;
  }

  @Override
  public ApiError rejectionOfAdmittedWork() {
    return admittedWorkRejection;
  }

  @Override
  public RoutingConfiguration configuration() {
    return configuration;
  }

  @Override
  public RouteTable routes() {
    return RouteTable.EMPTY;
  }

  @Override
  public TenantAccess tenantAccess(Route route, String apiKey) {
    return TenantAccess.NONE;
  }

  @Override
  public WorkerRanks workerRanks() {
    return configuration == null ? WorkerRanks.OF_ROUTES : WorkerRanks.compile(configuration);
  }

  @Override
  public void claimIdempotencyId(String id, String token, Consumer<ApiError> then) {
    claims.add(new Claim(id, token, then));
  }

  @Override
  public void releaseIdempotencyId(String id, String token) {
    releasedIds.add(id);
  }

  @Override
  public void recordRequestBegun(String tenant) {
    throw new AssertionError("prompts have no tenant");
  }

  @Override
  public void incrementCounter(String counter) {}

  /** A claim that the test grants or refuses. */
  record Claim(String id, String token, Consumer<ApiError> callback) {
    void grant() {
      callback.accept(null);
    }

    void refuse(ApiError error) {
      callback.accept(error);
    }
  }

  /** A call as its worker sees it. */
  static final class SentCall {
    final String workerId;
    final WorkerCallListener listener;
    boolean cancelled;

    SentCall(String workerId, WorkerCallListener listener) {
      this.workerId = workerId;
      this.listener = listener;
    }
  }

  /** Records the callbacks it gets. */
  static final class Client implements LiveResponseListener {
    final List<String> events = new ArrayList<>();
    RequestHandle handle;

    @Override
    public void text(String text) {
      events.add("text " + text);
    }

    @Override
    public void running() {
      events.add("running");
    }

    @Override
    public void end(String completeOutput, String finishReason) {
      events.add("end " + completeOutput);
    }

    @Override
    public void fail(Response response, boolean truncated) {
      events.add((truncated ? "truncated " : "rejected ") + response.errorType());
    }
  }
}
