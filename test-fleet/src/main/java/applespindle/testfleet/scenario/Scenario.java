package applespindle.testfleet.scenario;

import applespindle.testfleet.checker.Checker;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.clients.ControlPlaneProbe;
import applespindle.testfleet.clients.SimulatedFleet;
import applespindle.testfleet.history.History;
import applespindle.testfleet.history.InvariantViolationException;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * A scenario from a small text file: a fleet, its traffic, timed faults, expectations. Whatever the
 * file says, the rules of {@link Checker} and the invariants of the nodes are always checked. Each
 * line is one of:
 *
 * <ul>
 *   <li>about: a description
 *   <li>fleet: the kind of deployment
 *   <li>seeds: one run for each
 *   <li>run: seconds of traffic
 *   <li>checks, notes, once: requests a second of each kind of live traffic
 *   <li>batches: one every so many seconds
 *   <li>at: second, verb, words; a fault or operation at that time
 *   <li>on: accepted, ended or bundle, which one by count or number, verb, words; the same when a
 *       client is notified of that event
 *   <li>tries: how often a batch is submitted
 *   <li>honor-retry-after: clients whose checks are refused retry after the delay they are given
 *   <li>spare: workers of a second pool
 *   <li>beyond: from, to; more has failed than the fleet must survive, so the time to recover is
 *       not judged
 *   <li>tolerated-losses: losses to tolerate at once; the fleet runs on a simulated platform with
 *       proxied workers and a list of them
 *   <li>proxied: type of proxied traffic and requests a second, in pairs
 *   <li>proxied-batches: one every so many seconds, items, bytes of an item's body, and the most
 *       items where batches differ
 *   <li>tenants: how many there are; clients carry keys, known, withdrawn and unknown ones
 *   <li>edge-links: Mbit/s of each edge's link
 *   <li>edge-processor: share of a core that each edge has; work of an edge takes no time without
 *       it
 *   <li>larger-edges: how many edges have another share of a core, and another Mbit/s
 *   <li>list: lag of the list of workers in ms, calls a second
 *   <li>duties: the platform asks for reports of usage and for orders of workers
 *   <li>usage-of-edges: with duties; they report what the edges count, not made-up usage
 *   <li>waiting-tokens: the most on the batch route
 *   <li>watch-core: from, to; the period that {@link ControlPlaneProbe} measures
 *   <li>random: from, to; one random fault after the other, each repaired before the next
 *   <li>losses: random faults lose disks too
 *   <li>expect: measure, bound
 * </ul>
 */
public final class Scenario {
  private static final long TRAFFIC_FROM_MS = 15_000;
  private static final long SETTLE_MS = 60_000;

  /** Given to proxied batches after the traffic, and again to be read back. */
  private static final long COMPLETION_MS = 10_000;

  /** Steps of simulated time in which the end of a run is awaited. */
  private static final long POLL_MS = 500;

  private static final long LAST_ANSWERS_MS = 2_000;
  private static final int REPORTED_STACK_FRAMES = 6;

  /** How a scenario ended: its faults, and what is needed to judge and count the run. */
  public record Outcome(
      List<String> faults, History history, long steps, long messages, SimulatedFleet fleet) {}

  private final ScenarioSettings settings;

  private Scenario(ScenarioSettings settings) {
    this.settings = settings;
  }

  /** Parses a scenario file; throws {@link UnreadableLineException}. */
  public static Scenario parse(String text) {
    return new Scenario(ScenarioParser.parse(text));
  }

  /** The seeds that the file names. */
  public List<Long> seeds() {
    return settings.seeds;
  }

  /**
   * Runs the scenario with a seed.
   *
   * @param logging whether the log of the nodes goes to the standard output
   */
  public Outcome run(long seed, boolean logging) {
    return run(seed, logging, fleet -> {});
  }

  /** Runs the scenario; prepare may set up more in the fleet before anything runs. */
  Outcome run(long seed, boolean logging, Consumer<SimulatedFleet> prepare) {
    SimulatedFleet fleet = createFleet(seed);
    Simulation simulation = fleet.simulation;
    prepare.accept(fleet);
    simulation.logging = logging;
    start(fleet);
    scheduleTraffic(fleet);
    scheduleActions(fleet);
    List<String> faults = new ArrayList<>(runToEnd(fleet));
    for (Violation violation : Checker.check(simulation.history)) {
      faults.add(violation.rule() + " at " + violation.atMs() + ": " + violation.what());
    }
    faults.addAll(fleet.unmetExpectations);
    faults.addAll(ScenarioExpectations.unmet(fleet, settings.expected));
    return new Outcome(
        faults, simulation.history, simulation.steps(), simulation.messages(), fleet);
  }

  private boolean hasPlatform() {
    return settings.platformLosses > 0;
  }

  private SimulatedFleet createFleet(long seed) {
    return !hasPlatform()
        ? new SimulatedFleet(settings.deployment, seed)
        : SimulatedFleet.withPlatform(
            settings.deployment,
            seed,
            settings.platformLosses,
            settings.listLagMs,
            settings.listCallsPerS,
            settings.waitingTokensLimit);
  }

  private void start(SimulatedFleet fleet) {
    fleet.spares = settings.spares;
    fleet.submitTries = settings.submitTries;
    fleet.clientsRetryWhenRefused = settings.obedient;
    fleet.edgeLinks(settings.edgeLinkMbits);
    fleet.edgeProcessors(settings.edgeProcessorShare);
    fleet.largerEdges(settings.largerEdges, settings.largerEdgeShare, settings.largerEdgeMbits);
    fleet.tenants(settings.tenants);
    if (settings.duties) {
      fleet.platform.askForDuties();
      fleet.platform.duties.inputsOfEdges = settings.usageOfEdges;
    }
    fleet.start();
    if (settings.watchToMs > 0) {
      fleet.controlPlaneProbe =
          new ControlPlaneProbe(fleet, settings.watchFromMs, settings.watchToMs);
    }
  }

  private void scheduleTraffic(SimulatedFleet fleet) {
    long endMs = settings.runMs;
    if (hasPlatform()) {
      settings.proxiedRates.forEach(
          (type, perSecond) -> fleet.clients.live(type, perSecond, TRAFFIC_FROM_MS, endMs));
      fleet.clients.itemBytes = settings.proxiedItemBytes;
      fleet.clients.batches(
          settings.proxiedBatchEverySeconds,
          settings.proxiedBatchItems,
          settings.proxiedBatchItemsLimit,
          TRAFFIC_FROM_MS,
          endMs);
    } else {
      fleet.live("check", settings.checks, TRAFFIC_FROM_MS, endMs);
      fleet.live("note", settings.notes, TRAFFIC_FROM_MS, endMs);
      fleet.live("once", settings.once, TRAFFIC_FROM_MS, endMs);
      fleet.batches((long) (settings.batchEverySeconds * 1_000), TRAFFIC_FROM_MS, endMs);
    }
  }

  private void scheduleActions(SimulatedFleet fleet) {
    ScenarioActions actions = new ScenarioActions(fleet);
    settings.timed.forEach(
        action -> fleet.simulation.atMs(action.atMs(), () -> actions.perform(action)));
    fleet.clientEventListener =
        (event, number) ->
            settings.triggered.stream()
                .filter(each -> each.event().equals(event) && each.number() == number)
                .forEach(each -> actions.perform(each.action()));
    if (settings.randomToMs > 0) {
      RandomFaults randomFaults = new RandomFaults(fleet, settings, actions);
      fleet.simulation.atMs(settings.randomFromMs, randomFaults::injectNext);
    }
  }

  /** Runs the traffic, heals the fleet and lets it settle; returns what nodes did wrong. */
  private List<String> runToEnd(SimulatedFleet fleet) {
    try {
      fleet.simulation.runUntil(settings.runMs);
      heal(fleet.simulation);
      settle(fleet);
      fleet.simulation.checkNothingVanished();
      return List.of();
    } catch (InvariantViolationException broken) {
      return List.of("invariant: " + broken.getMessage());
    } catch (UnreadableLineException unreadable) {
      throw unreadable;
    } catch (RuntimeException thrown) {
      List<StackTraceElement> frames =
          Arrays.stream(thrown.getStackTrace()).limit(REPORTED_STACK_FRAMES).toList();
      return List.of("invariant: a node threw " + thrown + " at " + frames);
    }
  }

  /** Repairs links and processes; only those that were destroyed stay away. */
  private static void heal(Simulation simulation) {
    simulation.healLinks();
    for (SimulatedProcess process : simulation.processes.values()) {
      process.wake();
      if (!process.alive() && !process.destroyed) {
        process.start();
      }
    }
  }

  /** Lets clients finish: batches are completed and read back. */
  private void settle(SimulatedFleet fleet) {
    Simulation simulation = fleet.simulation;
    if (fleet.clients != null) {
      simulation.runUntil(settings.runMs + COMPLETION_MS);
      fleet.clients.close(simulation.simulatedNowMs() + COMPLETION_MS);
      while (!fleet.clients.closed()) {
        simulation.runUntil(simulation.simulatedNowMs() + POLL_MS);
      }
    }
    long endsByMs = settings.runMs + SETTLE_MS;
    while (simulation.simulatedNowMs() < endsByMs
        && fleet.senders.stream().anyMatch(sender -> !sender.over)) {
      simulation.runUntil(simulation.simulatedNowMs() + POLL_MS);
    }
    simulation.runUntil(simulation.simulatedNowMs() + LAST_ANSWERS_MS);
  }
}
