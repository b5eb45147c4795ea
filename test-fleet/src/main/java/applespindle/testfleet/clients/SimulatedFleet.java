package applespindle.testfleet.clients;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.StorageNodeState;
import applespindle.corelogic.protocol.Operation;
import applespindle.operatortool.Signing;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.SimulatedPlatform;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import applespindle.testfleet.simulation.Simulation.Caller;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** One simulated deployment with its clients, its operators and its platform. */
public final class SimulatedFleet {
  static final List<String> CONTROL_PLANE_NODES = List.of("core-1", "core-2", "core-3");
  public static final int SUBMIT_TRIES = 6;
  static final long CLIENT_TIMEOUT_MS = 8_000;

  /** More families than one worker's cache holds, fewer than all caches together. */
  public static final int FAMILIES = 200;

  private static final int FAMILY_CHARS = 320;
  static final long POLL_MS = 400;
  private static final long READY_MS = 500;
  static final String SHARED =
      "In the usual form of the office, with greeting, place and hour of the event. ".repeat(4);
  private static final Signing.Keys KEYS = Signing.generate();

  public final Simulation simulation;
  public final Deployment deployment;
  public final List<BatchClient> senders = new ArrayList<>();
  final List<SimulatedProcess> edges = new ArrayList<>();
  private final List<SimulatedProcess> all = new ArrayList<>();
  private List<SimulatedProcess> readyEdges = List.of();

  /**
   * Notified the moment a client receives a success: of an acceptance or an end (how many so far),
   * or of a configuration (its revision).
   */
  public BiConsumer<String, Long> clientEventListener = (event, number) -> {};

  /** If not empty, clients call these edges whether the platform finds them ready or not. */
  public List<SimulatedProcess> fixedEdges = List.of();

  /** Clients whose checks are refused retry after the delay they are given. */
  public boolean clientsRetryWhenRefused;

  /** By fault type, the longest time from sending a live request to its refusal. */
  public final Map<String, Long> refusedAfterMs = new TreeMap<>();

  public int submitTries = SUBMIT_TRIES;
  public long storageRefusals;

  /** Workers listed in the pool "spare" instead of "main". */
  public List<String> spares = List.of();

  private final LiveClients liveClients;
  private final FleetOperator operator;
  private final FaultTargets faultTargets;
  private long acceptances;
  private long ends;
  private long batchNumber;
  public final List<Long> checkLatencies = new ArrayList<>();
  final List<Long> noteLatencies = new ArrayList<>();

  /**
   * The platform on which the fleet runs, its operators and its clients; all null if the fleet runs
   * without a platform.
   */
  public SimulatedPlatform platform;

  public RouteOperators operators;
  public ProxyClients clients;

  /** A sentence for each timed expectation of a scenario that was not met. */
  public final List<String> unmetExpectations = new ArrayList<>();

  /** Measures the control plane; null if the scenario does not ask for it. */
  public ControlPlaneProbe controlPlaneProbe;

  /** A fleet on a platform with proxied workers, whose nodes tolerate so many losses at once. */
  public static SimulatedFleet withPlatform(
      Deployment deployment,
      long seed,
      int losses,
      long lagMs,
      double listCallsPerS,
      long waitingTokensMost) {
    SimulatedFleet fleet = new SimulatedFleet(deployment, seed);
    for (int more = CONTROL_PLANE_NODES.size() + 1; more <= 2 * losses + 1; more++) {
      fleet.addWithDisk("core-" + more, "core", more - 1);
      fleet.addWithDisk("storage-" + more, "storage", more - 1);
    }
    fleet.platform = new SimulatedPlatform(fleet.simulation, losses, lagMs, listCallsPerS);
    fleet.simulation.platform = fleet.platform;
    fleet.operators = new RouteOperators(fleet, waitingTokensMost);
    fleet.clients = new ProxyClients(fleet, fleet.operators);
    for (int index = 0; index < deployment.workers; index++) {
      fleet.platform.join(index % 2 == 0 ? "alpha" : "beta", "zone-" + index % 3);
    }
    return fleet;
  }

  /** From now on configurations hold so many tenants, and clients carry keys. */
  public void tenants(int count) {
    if (count > 0) {
      platform.boundWithdrawnKeys();
      operators.tenants = new SimulatedTenants(simulation, count);
    }
  }

  private void addWithDisk(String name, String role, int zone) {
    all.add(simulation.add(name, "zone-" + zone % 3, role, CONTROL_PLANE_NODES, true));
  }

  /**
   * A fleet whose processes are not started yet.
   *
   * @param seed of all random draws: the same seed gives the same run
   */
  public SimulatedFleet(Deployment deployment, long seed) {
    this.deployment = deployment;
    simulation = new Simulation(seed, Map.of("operator", KEYS.publicKey()), deployment.pace);
    liveClients = new LiveClients(this);
    operator = new FleetOperator(this);
    faultTargets = new FaultTargets(this);
    for (int zone = 0; zone < 3; zone++) {
      addWithDisk(CONTROL_PLANE_NODES.get(zone), "core", zone);
      addWithDisk("storage-" + (zone + 1), "storage", zone);
    }
    for (int index = 0; index < deployment.edges; index++) {
      SimulatedProcess edge =
          simulation.add(
              "edge-" + (index + 1), "zone-" + index % 3, "edge", CONTROL_PLANE_NODES, false);
      edges.add(edge);
      all.add(edge);
    }
    for (int index = 0; index < deployment.workers; index++) {
      simulation.workers.add("w" + (index + 1));
    }
  }

  /** Starts all processes within some tenths of a second, in random order. */
  public void start() {
    all.forEach(process -> simulation.atMs(simulation.random.nextInt(300), process::start));
    if (platform != null) {
      platform.recordBounds();
      operators.start();
      simulation.atMs(3_000, this::refreshReadyEdges);
      return;
    }
    simulation.atMs(
        1_500,
        () ->
            simulation.workers.all().values().stream()
                .map(worker -> worker.id)
                .sorted()
                .forEach(operator::listWorker));
    simulation.atMs(
        1_500, () -> operator.sendConfiguration(1, deployment.configuration(1), "core-1"));
    simulation.atMs(2_000, operator::observeConfigurations);
    simulation.atMs(3_000, this::refreshReadyEdges);
    simulation.history.add(
        0,
        Kind.CEILING,
        "",
        "",
        "",
        Simulation.tree(deployment.configuration(1).getBytes(UTF_8))
            .at("/limits/batch/waitingItemsMost")
            .asLong());
  }

  /** Sets the bandwidth of every edge, each way; 0: unlimited. */
  public void edgeLinks(double mbits) {
    edges.forEach(edge -> edge.link.megabits(mbits));
  }

  /** Sets the share of a core that every edge has; 0: the work of an edge takes no time. */
  public void edgeProcessors(double share) {
    edges.forEach(edge -> edge.processor.share(share));
  }

  /** Sets another share of a core and another bandwidth for the last so many edges. */
  public void largerEdges(int count, double share, double mbits) {
    edges
        .subList(edges.size() - count, edges.size())
        .forEach(
            edge -> {
              edge.processor.share(share);
              edge.link.megabits(mbits);
            });
  }

  // ---- calls

  /** A random edge that was ready when the platform last asked; any edge if none was. */
  SimulatedProcess anyEdge() {
    List<SimulatedProcess> choice = fixedEdges.isEmpty() ? readyOrAll() : fixedEdges;
    return choice.get(simulation.random.nextInt(choice.size()));
  }

  /** Edges that receive requests of clients. */
  List<SimulatedProcess> readyOrAll() {
    return readyEdges.isEmpty() ? edges : readyEdges;
  }

  private void refreshReadyEdges() {
    List<SimulatedProcess> ready = new ArrayList<>();
    for (SimulatedProcess edge : edges) {
      waitFor(
          edge,
          READY_MS,
          (Consumer<String> then) -> then.accept(edge.node().notReadyReason()),
          reason -> {
            if ("".equals(reason)) {
              ready.add(edge);
            }
          });
    }
    simulation.afterMs(
        READY_MS,
        () -> {
          readyEdges = ready;
          refreshReadyEdges();
        });
  }

  /** Calls a process; a broken connection or the timeout gives null. */
  <T> void waitFor(
      SimulatedProcess process, long timeoutMs, Consumer<Consumer<T>> question, Consumer<T> then) {
    boolean[] done = new boolean[1];
    simulation.call(
        process,
        question,
        new Caller<T>() {
          @Override
          public void answered(T answer) {
            finish(answer);
          }

          @Override
          public void broken(boolean neverReached) {
            finish(null);
          }

          private void finish(T answer) {
            if (!done[0]) {
              done[0] = true;
              then.accept(answer);
            }
          }
        });
    simulation.afterMs(
        timeoutMs,
        () -> {
          if (!done[0]) {
            done[0] = true;
            then.accept(null);
          }
        });
  }

  /** Sends a command to a control plane node by its name, with the usual time limit. */
  public void command(
      String controlPlaneNode,
      Operation operation,
      String key,
      Object body,
      Consumer<Response> then) {
    command(
        simulation.processes.get(controlPlaneNode), CLIENT_TIMEOUT_MS, operation, key, body, then);
  }

  /** A random control plane node, whether it is alive or not. */
  public SimulatedProcess anyControlPlaneNode() {
    List<SimulatedProcess> cores =
        simulation.processes.values().stream()
            .filter(process -> process.role.equals("core") && !process.destroyed)
            .toList();
    return cores.get(simulation.random.nextInt(cores.size()));
  }

  /**
   * A configuration signed by the operator.
   *
   * @param buildsOn the revision that it was made from; null if that is not checked
   */
  public SignedConfiguration signed(byte[] bytes, Long buildsOn) {
    byte[] signature = Base64.getDecoder().decode(Signing.sign(bytes, KEYS.privateKey()));
    return new SignedConfiguration(0, bytes, "operator", signature, buildsOn);
  }

  /**
   * Sends a command to a control plane process.
   *
   * @param timeoutMs simulated time after which the client gives up
   */
  public void command(
      SimulatedProcess core,
      long timeoutMs,
      Operation operation,
      String key,
      Object body,
      Consumer<Response> then) {
    waitFor(
        core,
        timeoutMs,
        (Consumer<Response> answer) ->
            ((ControlPlaneNode) core.node()).command(operation, key, body, answer),
        then);
  }

  /** A random control plane node that is alive and not frozen; the first one if none is. */
  String liveControlPlaneNode() {
    List<String> live =
        CONTROL_PLANE_NODES.stream()
            .filter(
                name ->
                    simulation.processes.get(name).alive()
                        && !simulation.processes.get(name).frozen())
            .toList();
    return live.isEmpty()
        ? CONTROL_PLANE_NODES.get(0)
        : live.get(simulation.random.nextInt(live.size()));
  }

  /** Sends a configuration; retries with the same bytes while the outcome is unknown. */
  public void sendConfiguration(long revision, String content, String controlPlaneNode) {
    operator.sendConfiguration(revision, content, controlPlaneNode);
  }

  /** Marks a worker as leaving, and repeats that until it is acknowledged. */
  public void markLeaving(String workerId) {
    operator.markLeaving(workerId);
  }

  private static String roleOf(String name) {
    return Stream.of("edge", "core").filter(name::startsWith).findFirst().orElse("storage");
  }

  /** Adds and starts a machine in a zone; its name begins with its role. */
  public void add(String name, String zone) {
    boolean edge = name.startsWith("edge");
    SimulatedProcess process = simulation.add(name, zone, roleOf(name), CONTROL_PLANE_NODES, !edge);
    all.add(process);
    if (edge) {
      edges.add(process);
    }
    process.start();
  }

  /**
   * Marks a storage node by its name.
   *
   * @param state the state to set, as in the command
   */
  public void markStorage(String name, String state) {
    String core = liveControlPlaneNode();
    String id = ((ControlPlaneNode) simulation.processes.get(core).node()).storageId(name);
    command(
        core,
        Operation.SET_STORAGE_NODE_STATE,
        "storage/" + id,
        new StorageNodeState(id, name, state),
        response -> {
          if (response != null && response.status() == 409) {
            storageRefusals++;
          } else if (response == null || !response.isSuccess()) {
            simulation.afterMs(500, () -> markStorage(name, state));
          }
        });
  }

  /** The status of a control plane process that runs. */
  public JsonNode controlPlaneStatus() {
    return simulation.processes.values().stream()
        .filter(process -> process.role.equals("core") && process.alive())
        .map(process -> process.node())
        .filter(node -> node.notReadyReason().isEmpty())
        .findFirst()
        .map(node -> (JsonNode) node.status())
        .orElse(JSON.nullNode());
  }

  /** The names of the members of the control plane, as its nodes know them now. */
  public List<String> memberNames() {
    List<String> names = new ArrayList<>();
    controlPlaneStatus()
        .at("/roster/members")
        .forEach(member -> names.add(member.path("name").asText()));
    return names;
  }

  // ---- traffic

  /** Schedules live requests of a class, so many a second with random gaps. */
  public void live(String trafficClass, double perSecond, long fromMs, long untilMs) {
    liveClients.live(trafficClass, perSecond, fromMs, untilMs);
  }

  /** Percent of the clients that retried after a refusal and were served; 100 if none had to. */
  public long servedOnRetryPercent() {
    return liveClients.cameBackPercent();
  }

  /** Prompts of one family share a long prefix, which a worker can cache. */
  public static String familyPrompt(int family, String id) {
    return ("Case file " + family + ". " + SHARED).substring(0, FAMILY_CHARS) + "Ruling " + id;
  }

  /** Submits a batch at each interval between two simulated times, in milliseconds. */
  public void batches(long everyMs, long fromMs, long untilMs) {
    for (long at = fromMs; everyMs > 0 && at < untilMs; at += everyMs) {
      simulation.atMs(at, this::submitOne);
    }
  }

  /** A client was notified that its batch was accepted. */
  void batchAccepted() {
    clientEventListener.accept("accepted", ++acceptances);
  }

  /** A client was notified that its batch was ended. */
  void batchEnded() {
    clientEventListener.accept("ended", ++ends);
  }

  /** Submits a batch at an edge that runs; the client goes on until it is finished. */
  public BatchClient submitOne() {
    BatchClient sender =
        new BatchClient(
            this,
            "batch-" + ++batchNumber,
            deployment.batchItems,
            deployment.batchTokens,
            deployment.dueMs);
    senders.add(sender);
    sender.submit();
    return sender;
  }

  /** One line of figures, in simulated milliseconds. */
  public String summary() {
    return new FleetSummary(this).toString();
  }

  /** The percentage of prompts whose leading blocks a worker had in its cache. */
  public long cacheHitPercent() {
    return new FleetSummary(this).cacheHitPercent();
  }

  /** How many removed batches a majority of the storage nodes knows of. */
  public long removedBatches() {
    return simulation.processes.values().stream()
        .filter(process -> process.role.equals("storage") && process.alive())
        .mapToLong(process -> process.node().status().path("removed").asLong())
        .sorted()
        .skip(1)
        .findFirst()
        .orElse(0);
  }

  /** The smallest value that this percentage of the values does not exceed; 0 if there are none. */
  public static long percentile(List<Long> values, int percent) {
    List<Long> sorted = values.stream().sorted().toList();
    return sorted.isEmpty()
        ? -1
        : sorted.get(Math.min(sorted.size() - 1, sorted.size() * percent / 100));
  }

  /** A process by name or by its present work; null if there is none. */
  public SimulatedProcess target(String name) {
    return faultTargets.named(name);
  }
}
