package applespindle.corelogic.batch;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.RoutingConfiguration.PoolWeight;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.RouteType;
import applespindle.corelogic.configuration.RoutingConfiguration.Tenant;
import applespindle.corelogic.configuration.WorkerRanks;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AssignedItem;
import applespindle.corelogic.protocol.Message.BatchOffer;
import applespindle.corelogic.protocol.Message.ItemOutcome;
import applespindle.corelogic.protocol.Message.RangeAssignment;
import applespindle.corelogic.protocol.Message.RangeReport;
import applespindle.corelogic.protocol.Message.RangeReportResponse;
import applespindle.corelogic.worker.WorkerRegistry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One dispatcher on simulated time; the test acts as a batch's leader and as the workers. */
final class BatchDispatcherFixture extends FakeEnvironment implements BatchDispatcher.Context {
  static final String HOST = "letters.example";

  final List<Message> sentToLeader = new ArrayList<>();
  final Map<String, WorkerRegistration> workers = new LinkedHashMap<>();
  BatchDispatcher batchDispatcher;
  final WorkerRegistry registry = new WorkerRegistry(this, () -> batchDispatcher.dispatch());

  /** Whether the leader responds to reports. */
  boolean respondsToReports = true;

  RoutingConfiguration configuration;
  ApiError rejectionOfNewWork;

  BatchDispatcherFixture() {
    super(10_000);
    batchDispatcher = new BatchDispatcher(this, "near", this, registry);
    routes(route("p", 1));
    scheduleTicks();
  }

  private void scheduleTicks() {
    schedule(
        WorkerConstants.LOAD_POLL_INTERVAL_MS,
        () -> {
          batchDispatcher.tick();
          scheduleTicks();
        });
  }

  static Route route(String pool, int attempts) {
    return new Route(
        "letters",
        HOST,
        "/l/",
        RouteType.BATCH,
        1_000,
        500,
        150,
        attempts,
        3,
        true,
        true,
        List.of(new PoolWeight("none", 0), new PoolWeight(pool, 1)),
        10_000,
        60_000,
        0);
  }

  BatchDispatcherFixture routes(Route... routes) {
    var pool = new RoutingConfiguration.Pool(64, 4, 1.5);
    var limits =
        new RoutingConfiguration.Limits(
            Map.of("c", new RoutingConfiguration.ClassLimit(0, 0)),
            new RoutingConfiguration.BatchLimits("q", 0, 0, 0, false, 1_000, null));
    configuration =
        new RoutingConfiguration(
            1,
            Map.of("p", pool, "q", pool, "none", pool),
            List.of(),
            limits,
            Arrays.asList(routes),
            null,
            null);
    return this;
  }

  BatchDispatcherFixture tenants(Tenant... tenants) {
    configuration =
        new RoutingConfiguration(
            configuration.number() + 1,
            configuration.pools(),
            configuration.rules(),
            configuration.limits(),
            configuration.routes(),
            configuration.clients(),
            configuration.origin(),
            List.of(tenants));
    return this;
  }

  BatchDispatcherFixture worker(String id, String pool, int slots) {
    workers.put(
        id,
        new WorkerRegistration(
            id, "10.0.0.1:" + (1000 + workers.size()), pool, WorkerRegistration.READY, "z", slots));
    registry.updateWorkers(workers);
    return this;
  }

  void setWorkerState(String id, String state) {
    WorkerRegistration old = workers.get(id);
    workers.put(
        id, new WorkerRegistration(id, old.address(), old.pool(), state, old.zone(), old.slots()));
    registry.updateWorkers(workers);
  }

  BatchDispatcherFixture offer(String batch) {
    batchDispatcher.handleOffer(
        new BatchOffer(batch, 10_000, 5, HOST, "/l/b"), "leader", "10.0.0.9:1");
    return this;
  }

  void assign(String worker, int range, int... items) {
    List<AssignedItem> assigned =
        Arrays.stream(items).mapToObj(index -> item(index, "", "")).toList();
    assign(worker, range, assigned);
  }

  void assign(String worker, int range, List<AssignedItem> items) {
    assign(worker, range, 10_000, items);
  }

  void assign(String worker, int range, long dueInMs, List<AssignedItem> items) {
    batchDispatcher.handleAssignment(
        new RangeAssignment("o-1", worker, range, 1, false, dueInMs, nowMs(), items),
        "leader",
        "10.0.0.9:1");
  }

  static AssignedItem item(int index, String resumeAfter, String text) {
    return item(index, resumeAfter, text, null);
  }

  static AssignedItem item(int index, String resumeAfter, String text, String tenant) {
    var item =
        new ProxiedBatch.Item(
            "i" + index,
            "/l/item" + index + "?x=1",
            List.of(new Header("A", "b")),
            ("body" + index).getBytes(UTF_8),
            70);
    return new AssignedItem(
        index,
        Json.bytes(
            new ProxiedItemAssignment(HOST, "/l/b", 60_000, item, resumeAfter, text, tenant)));
  }

  /** The newest outcomes that were reported for an item, in order. */
  List<ItemOutcome> outcomes(int index) {
    List<ItemOutcome> found = new ArrayList<>();
    sentToLeader.stream()
        .filter(RangeReport.class::isInstance)
        .map(RangeReport.class::cast)
        .flatMap(report -> report.results().stream())
        .filter(item -> item.index() == index)
        .filter(
            item ->
                found.stream()
                    .noneMatch(
                        each ->
                            each.run().equals(item.run())
                                && each.errorType().equals(item.errorType())))
        .forEach(found::add);
    return found;
  }

  boolean returnedRange() {
    return sentToLeader.stream()
        .anyMatch(message -> message instanceof RangeReport report && report.returned());
  }

  @Override
  public void send(String toAddress, String toId, Message message) {
    sentToLeader.add(message);
    if (message instanceof RangeReport report && respondsToReports) {
      schedule(
          1,
          () ->
              batchDispatcher.handleReportResponse(
                  new RangeReportResponse(
                      report.batch(),
                      report.range(),
                      report.rangeEpoch(),
                      report.worker(),
                      report.reportNumber(),
                      !report.returned())));
    }
  }

  @Override
  public boolean dispatchesTo(String worker) {
    return true;
  }

  @Override
  public ApiError rejectionOfNewWork() {
    return rejectionOfNewWork;
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
  public WorkerRanks workerRanks() {
    return configuration == null ? WorkerRanks.OF_ROUTES : WorkerRanks.compile(configuration);
  }

  @Override
  public boolean isStopping() {
    return false;
  }
}
