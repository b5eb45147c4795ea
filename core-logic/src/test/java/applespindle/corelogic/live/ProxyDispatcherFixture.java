package applespindle.corelogic.live;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.RoutingConfiguration.PoolWeight;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.configuration.RoutingConfiguration.Tenant;
import applespindle.corelogic.configuration.TenantAccess;
import applespindle.corelogic.configuration.TenantKeys;
import applespindle.corelogic.configuration.WorkerRanks;
import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.environment.FakeEnvironment.Sent;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.worker.EdgeContext;
import applespindle.corelogic.worker.WorkerRegistry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One dispatcher of proxied requests on simulated time; the test acts as its workers and clients.
 */
final class ProxyDispatcherFixture extends FakeEnvironment implements EdgeContext {
  static final ResponseHead GOOD = new ResponseHead(200, List.of());
  static final String POOL = "p";

  final Map<String, WorkerRegistration> workers = new LinkedHashMap<>();
  final WorkerRegistry registry = new WorkerRegistry(this, () -> {});
  final ProxyDispatcher dispatcher = new ProxyDispatcher(this, "near", this, registry);
  RoutingConfiguration configuration;

  /** For all requests; null: by the configuration. */
  TenantAccess access;

  /** The tenants of the requests that were counted as begun. */
  final List<String> begun = new ArrayList<>();

  ApiError newWorkRejection;
  ApiError admittedWorkRejection;
  ApiError staleKeys;
  ApiError staleMetadata;

  ProxyDispatcherFixture() {
    super(1_000);
  }

  ProxyDispatcherFixture worker(String id, String pool, String zone, int slots) {
    workers.put(
        id,
        new WorkerRegistration(
            id,
            "10.0.0.1:" + (1000 + workers.size()),
            pool,
            WorkerRegistration.READY,
            zone,
            slots));
    registry.updateWorkers(workers);
    return this;
  }

  void setState(String id, String state) {
    WorkerRegistration old = workers.get(id);
    workers.put(
        id, new WorkerRegistration(id, old.address(), old.pool(), state, old.zone(), old.slots()));
    registry.updateWorkers(workers);
  }

  ProxyDispatcherFixture routes(Route... routes) {
    Map<String, RoutingConfiguration.Pool> pools =
        Map.of(
            POOL,
            new RoutingConfiguration.Pool(64, 4, 1.5),
            "q",
            new RoutingConfiguration.Pool(64, 4, 1.5));
    configuration =
        new RoutingConfiguration(1, pools, List.of(), null, Arrays.asList(routes), null, null);
    return this;
  }

  /** The same routes with tenants. */
  ProxyDispatcherFixture tenants(Tenant... tenants) {
    configuration =
        new RoutingConfiguration(
            configuration.number() + 1,
            configuration.pools(),
            List.of(),
            null,
            configuration.routes(),
            null,
            null,
            List.of(tenants));
    return this;
  }

  Sent last() {
    return sent.get(sent.size() - 1);
  }

  Client submit(ProxiedRequest request) {
    Client client = new Client();
    client.handle = dispatcher.submit(request, client);
    return client;
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
    return configuration == null ? RouteTable.EMPTY : RouteTable.compile(configuration);
  }

  @Override
  public TenantAccess tenantAccess(Route route, String apiKey) {
    if (access != null) {
      return access;
    }
    return configuration == null
        ? TenantAccess.NONE
        : TenantAccess.check(
            TenantKeys.compile(configuration), route, apiKey, staleKeys, staleMetadata);
  }

  @Override
  public WorkerRanks workerRanks() {
    return configuration == null ? WorkerRanks.OF_ROUTES : WorkerRanks.compile(configuration);
  }

  @Override
  public void claimIdempotencyId(String id, String token, Consumer<ApiError> then) {}

  @Override
  public void releaseIdempotencyId(String id, String token) {}

  @Override
  public void recordRequestBegun(String tenant) {
    begun.add(tenant);
  }

  @Override
  public void incrementCounter(String counter) {}

  /** Records the callbacks it gets. */
  static final class Client implements ProxiedResponseListener {
    final List<String> events = new ArrayList<>();
    Response rejection;
    ApiError truncation;
    RequestHandle handle;

    @Override
    public void head(ResponseHead head) {
      events.add("head " + head.status());
    }

    @Override
    public void chunk(ResponseChunk chunk) {
      events.add(new String(chunk.bytes(), UTF_8));
    }

    @Override
    public void end() {
      events.add("end");
    }

    @Override
    public void rejected(Response response) {
      rejection = response;
      events.add("rejected " + response.status());
    }

    @Override
    public void truncated(ApiError error) {
      truncation = error;
      events.add("truncated");
    }
  }

  static Route route(RouteType type, int attempts, boolean resumable, PoolWeight... split) {
    return new Route(
        "r-" + type,
        "a.example",
        "/a/",
        type,
        4_000,
        200,
        type == RouteType.STREAM ? 100 : 0,
        attempts,
        3,
        true,
        resumable,
        split.length == 0 ? List.of(new PoolWeight(POOL, 1)) : List.of(split),
        0,
        0,
        0);
  }

  static ProxiedRequest request(String id, String... parts) {
    return request(id, "A.Example:80", "/a/x?y=/b/", 2_000, parts);
  }

  static ProxiedRequest request(
      String id, String host, String target, long deadlineMs, String... parts) {
    List<PromptPart> prompt = Arrays.stream(parts).map(part -> new PromptPart(part, 400)).toList();
    return new ProxiedRequest(
        id,
        "POST",
        target,
        host,
        List.of(),
        new byte[0],
        deadlineMs,
        "m",
        400 * parts.length,
        80,
        prompt,
        "");
  }

  static ResponseChunk event(int id) {
    return new ResponseChunk(Integer.toString(id), ("e" + id).getBytes(UTF_8));
  }

  static ProxyDispatcherFixture fixture(Route route) {
    return new ProxyDispatcherFixture()
        .worker("w1", POOL, "near", 8)
        .worker("w2", POOL, "near", 8)
        .worker("w3", POOL, "near", 8)
        .routes(route);
  }
}
