package applespindle.testfleet.clients;

import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import applespindle.testfleet.clients.RouteOperators.Route;
import applespindle.testfleet.simulation.SimulatedPlatform;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Starts the clients of proxied requests and of proxied batches, and counts what they got. */
public final class ProxyClients {
  /** How long a client waits for its response, all attempts together. */
  static final long DEADLINE_MS = SimulatedPlatform.REQUEST_TIMEOUT_MS;

  private static final int PROMPT_FAMILIES = 12;

  final SimulatedFleet fleet;
  final Simulation simulation;
  final BatchStranger stranger;
  private final RouteOperators operators;
  private long ids;

  /** The longest that a batch took to be read to its end once all clients closed. */
  public long slowestCloseMs;

  /** Least size of the body of a batch's item. */
  public int itemBytes;

  /** By type of route: the number of requests, and of those served in the end. */
  public final Map<String, int[]> servedOf = new TreeMap<>();

  /** By error type, the number of refusals. */
  final Map<String, Integer> refusals = new TreeMap<>();

  final List<Long> latencies = new ArrayList<>();
  public final List<ProxiedBatchClient> batches = new ArrayList<>();

  ProxyClients(SimulatedFleet fleet, RouteOperators operators) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
    this.operators = operators;
    this.stranger = new BatchStranger(fleet);
  }

  /** An id that no other client has, after a prefix for its kind. */
  String nextId(String prefix) {
    return prefix + ++ids;
  }

  /** Sends requests on random routes of a type, as a Poisson process of a rate. */
  public void live(String type, double perSecond, long fromMs, long untilMs) {
    if (perSecond > 0) {
      simulation.atMs(fromMs, () -> next(type, perSecond, untilMs));
    }
  }

  private void next(String type, double perSecond, long untilMs) {
    if (simulation.simulatedNowMs() >= untilMs) {
      return;
    }
    List<Route> choice = operators.inUse(type);
    if (!choice.isEmpty()) {
      Route route = choice.get(simulation.random.nextInt(choice.size()));
      new ProxiedRequestClient(this, route).attempt(null);
    }
    simulation.afterMs(
        -Math.log(1 - simulation.random.nextDouble()) * 1000 / perSecond,
        () -> next(type, perSecond, untilMs));
  }

  /** Sends one request on each route just added or removed to each node, without a retry. */
  public void probeRoutes() {
    for (SimulatedProcess edge : fleet.readyOrAll()) {
      for (Route route : List.copyOf(operators.probed)) {
        ProxiedRequestClient.probe(this, route).attempt(edge);
      }
    }
  }

  /** Null where no tenants are configured. */
  SimulatedTenants tenants() {
    return operators.tenants;
  }

  /** The key of the next client; null where no tenants are configured. */
  SimulatedTenants.ClientKey nextKey() {
    return operators.tenants == null ? null : operators.tenants.next();
  }

  /** A prompt whose first parts are shared with other requests. */
  List<PromptPart> prompt(String ownPart) {
    int family = simulation.random.nextInt(PROMPT_FAMILIES);
    return List.of(
        new PromptPart("f" + family, 200 + 10 * family),
        new PromptPart("s" + simulation.random.nextInt(5 * PROMPT_FAMILIES), 60),
        new PromptPart(ownPart, 20));
  }

  /** Submits batches of itemsLeast to itemsMost items at a fixed interval. */
  public void batches(
      double everySeconds, int itemsLeast, int itemsMost, long fromMs, long untilMs) {
    for (long at = fromMs; everySeconds > 0 && at < untilMs; at += (long) (1000 * everySeconds)) {
      simulation.atMs(at, () -> submitOne(itemsBetween(itemsLeast, itemsMost)));
    }
  }

  private int itemsBetween(int least, int most) {
    return most <= least ? least : least + simulation.random.nextInt(most - least + 1);
  }

  void submitOne(int items) {
    submitOne(items, tenants() == null ? null : tenants().anyName());
  }

  /** Submits so many batches of one tenant at once. */
  public void crowd(int count, int items, String tenant) {
    for (int number = 0; number < count; number++) {
      submitOne(items, tenant);
    }
  }

  private void submitOne(int items, String tenant) {
    List<Route> choice = operators.inUse("batch");
    if (!choice.isEmpty()) {
      ProxiedBatchClient client = new ProxiedBatchClient(this, choice.get(0), items, tenant);
      batches.add(client);
      client.submit();
    }
  }

  /** Ends the oldest accepted batch that is not complete. */
  public void endOne() {
    batches.stream()
        .filter(client -> client.accepted && !client.endAsked && !client.isComplete())
        .findFirst()
        .ifPresent(ProxiedBatchClient::end);
  }

  /**
   * All batches are read from the start, with the bodies of the items that are not listed. Done
   * when the last batch has been read or its client gave up.
   */
  public void close(long untilMs) {
    batches.forEach(client -> client.close(untilMs));
  }

  /** Whether every accepted batch has all its results. */
  public boolean closed() {
    return batches.stream().allMatch(client -> client.isClosed() || !client.accepted);
  }

  String summary() {
    StringBuilder line = new StringBuilder();
    servedOf.forEach(
        (type, counts) ->
            line.append(type)
                .append(' ')
                .append(counts[1])
                .append('/')
                .append(counts[0])
                .append(", "));
    long done = batches.stream().filter(client -> client.doneMs >= 0).count();
    return line
        + "median "
        + SimulatedFleet.percentile(latencies, 50)
        + " p99 "
        + SimulatedFleet.percentile(latencies, 99)
        + "; batches "
        + batches.size()
        + ", taken "
        + acceptedBatches()
        + ", done "
        + done
        + ", items "
        + itemsDone()
        + "/"
        + itemsTaken()
        + "; refusals "
        + refusals
        + "; changes "
        + operators.acknowledged
        + ", first yes "
        + operators.firstYesMs
        + " ms, slowest "
        + operators.slowestYesMs
        + " ms";
  }

  long acceptedBatches() {
    return batches.stream().filter(client -> client.accepted).count();
  }

  /**
   * The tenant that was served least: the part of its batches that were done within a time, in
   * percent of that part of all batches.
   */
  public long leastServedTenantPercent(long withinMs) {
    double ofAll = shareDoneWithin(batches, withinMs);
    Map<String, List<ProxiedBatchClient>> byTenant =
        batches.stream().collect(Collectors.groupingBy(client -> client.owner));
    double least =
        byTenant.values().stream()
            .mapToDouble(own -> shareDoneWithin(own, withinMs))
            .min()
            .orElse(0);
    return ofAll == 0 ? 0 : Math.round(100 * least / ofAll);
  }

  private static double shareDoneWithin(List<ProxiedBatchClient> clients, long withinMs) {
    return clients.stream().filter(client -> client.isDoneWithin(withinMs)).count()
        / (double) clients.size();
  }

  /** The number of items of accepted batches that were not ended early. */
  public long itemsTaken() {
    return batches.stream()
        .filter(client -> client.accepted && !client.endAsked)
        .mapToLong(client -> client.batch.items().size())
        .sum();
  }

  /** The number of results of these items. */
  public long itemsDone() {
    return batches.stream()
        .filter(client -> client.accepted && !client.endAsked)
        .mapToLong(ProxiedBatchClient::itemsDone)
        .sum();
  }
}
