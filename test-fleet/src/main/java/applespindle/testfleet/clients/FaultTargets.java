package applespindle.testfleet.clients;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import com.fasterxml.jackson.databind.JsonNode;

/** Finds the process that is the target of a fault. */
final class FaultTargets {
  private final SimulatedFleet fleet;
  private final Simulation simulation;

  FaultTargets(SimulatedFleet fleet) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
  }

  /** A process by name or by its present work; null if there is none. */
  SimulatedProcess named(String name) {
    SimulatedProcess named = simulation.processes.get(name);
    if (named != null) {
      return named;
    }
    return switch (name) {
      case "leader" -> busiest("leads");
      case "dispatcher" -> busiest("batchRunning");
      case "any-edge" -> fleet.anyEdge();
      case "any-core" ->
          simulation.processes.get(
              SimulatedFleet.CONTROL_PLANE_NODES.get(simulation.random.nextInt(3)));
      case "any-storage" ->
          simulation.processes.get("storage-" + (1 + simulation.random.nextInt(3)));
      default -> name.startsWith("owner:") ? ownerOf(name.substring(6)) : null;
    };
  }

  private SimulatedProcess ownerOf(String key) {
    return SimulatedFleet.CONTROL_PLANE_NODES.stream()
        .map(simulation.processes::get)
        .filter(core -> core.alive() && core.node().status().path("owned").has(key))
        .findFirst()
        .orElse(simulation.processes.get(SimulatedFleet.CONTROL_PLANE_NODES.get(0)));
  }

  private SimulatedProcess busiest(String field) {
    SimulatedProcess busiest = fleet.edges.get(0);
    long most = -1;
    for (SimulatedProcess edge : fleet.edges) {
      JsonNode value = edge.alive() ? edge.node().status().path(field) : JSON.nullNode();
      long open = 0;
      for (JsonNode each : value) {
        open += each.asText().startsWith("running") || each.asText().startsWith("accepted") ? 1 : 0;
      }
      long busy = value.isNumber() ? value.asLong() : open;
      if (edge.alive() && !edge.frozen() && busy > most) {
        busiest = edge;
        most = busy;
      }
    }
    return busiest;
  }
}
