package applespindle.testfleet.scenario;

import applespindle.testfleet.clients.BatchClient;
import applespindle.testfleet.clients.SimulatedFleet;
import applespindle.testfleet.simulation.PlatformCallEndpoint;
import applespindle.testfleet.simulation.ProxyWorkers;
import applespindle.testfleet.simulation.SimulatedWorkers.Condition;
import applespindle.testfleet.simulation.Simulation;
import applespindle.testfleet.simulation.WorkerListing;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/** What clients, workers and the platform do beside their regular traffic. */
final class TrafficActions {
  /** How long the platform still lists a worker that crashed. */
  private static final long CRASHED_LISTED_MS = 4_000;

  /** Period over which the batches of a crowd are submitted if the scenario names none. */
  private static final int CROWD_MS = 300;

  private final SimulatedFleet fleet;
  private final Simulation simulation;

  TrafficActions(SimulatedFleet fleet) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
  }

  /** Performs the action if it is one of traffic or workers; returns whether it was. */
  boolean perform(ScenarioAction action) {
    return performOnClients(action) || performOnWorkers(action);
  }

  private boolean performOnClients(ScenarioAction action) {
    String[] words = action.words();
    switch (words[0]) {
      case "callers" ->
          fleet.fixedEdges = Arrays.stream(words).skip(1).map(simulation.processes::get).toList();
      case "end-batch" -> endLastBatch();
      case "burst-batches" ->
          submitCrowd(
              Integer.parseInt(words[1]), words.length > 2 ? Integer.parseInt(words[2]) : CROWD_MS);
      case "probe-routes" -> fleet.clients.probeRoutes();
      case "end-proxied-batch" -> fleet.clients.endOne();
      case "crowd-proxied-batches" ->
          fleet.clients.crowd(Integer.parseInt(words[1]), Integer.parseInt(words[2]), words[3]);
      case "burst-proxied" ->
          fleet.clients.live(
              words[1],
              Double.parseDouble(words[2]),
              simulation.simulatedNowMs(),
              simulation.simulatedNowMs() + ScenarioParser.seconds(words[3]));
      case "burst-live" ->
          fleet.live(
              "check",
              Double.parseDouble(words[1]),
              simulation.simulatedNowMs(),
              simulation.simulatedNowMs() + ScenarioParser.seconds(words[2]));
      default -> {
        return false;
      }
    }
    return true;
  }

  private boolean performOnWorkers(ScenarioAction action) {
    String[] words = action.words();
    switch (words[0]) {
      case "worker" ->
          simulation.workers.all().values().stream()
              .filter(worker -> words[1].equals("every") || worker.id.equals(words[1]))
              .sorted(Comparator.comparing(worker -> worker.id))
              .forEach(worker -> worker.become(Condition.valueOf(words[2].toUpperCase())));
      case "worker-reports-draining" -> simulation.workers.get(words[1]).leaving = true;
      case "worker-list-becomes" ->
          fleet.platform.list.become(WorkerListing.Condition.valueOf(words[1].toUpperCase()));
      case "duties-become" ->
          fleet.platform.duties.become(
              PlatformCallEndpoint.Condition.valueOf(words[1].toUpperCase().replace('-', '_')));
      case "cut-duties" -> fleet.platform.duties.cutOff(fleet.target(words[1]).name);
      case "heal-duties" -> fleet.platform.duties.heal();
      case "proxied-worker" ->
          proxiedWorkers(words[1])
              .forEach(
                  worker -> worker.become(ProxyWorkers.Condition.valueOf(words[2].toUpperCase())));
      case "proxied-worker-drains" -> proxiedWorkers(words[1]).forEach(fleet.platform::leave);
      case "proxied-worker-crashes" ->
          proxiedWorkers(words[1])
              .forEach(worker -> fleet.platform.crash(worker, CRASHED_LISTED_MS));
      case "proxied-worker-joins" -> fleet.platform.join(words[1], words[2]);
      default -> {
        return false;
      }
    }
    return true;
  }

  /** A client ends the batch that was submitted last of those that still run. */
  private void endLastBatch() {
    for (int index = fleet.senders.size() - 1; index >= 0; index--) {
      BatchClient sender = fleet.senders.get(index);
      if (!sender.batch.isEmpty() && !sender.over && !sender.endAsked) {
        sender.end();
        return;
      }
    }
  }

  private void submitCrowd(int batches, int withinMs) {
    for (int index = 0; index < batches; index++) {
      simulation.afterMs(simulation.random.nextInt(withinMs), fleet::submitOne);
    }
  }

  /** Proxied workers by id, by pool, or for the words "any" and "every". */
  private List<ProxyWorkers.Worker> proxiedWorkers(String word) {
    List<ProxyWorkers.Worker> present =
        fleet.platform.workers.present().stream().filter(worker -> !worker.leaving).toList();
    if (word.equals("any")) {
      return List.of(present.get(simulation.random.nextInt(present.size())));
    }
    return present.stream()
        .filter(
            worker -> word.equals("every") || worker.id.equals(word) || worker.pool.equals(word))
        .toList();
  }
}
