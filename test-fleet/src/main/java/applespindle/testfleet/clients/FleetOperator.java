package applespindle.testfleet.clients;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.metadata.WorkerInput;
import applespindle.corelogic.protocol.Operation;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.SimulatedWorkers;
import applespindle.testfleet.simulation.Simulation;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;

/** The operator of one simulated fleet: lists workers, sends configurations and reads them back. */
final class FleetOperator {
  private final SimulatedFleet fleet;
  private final Simulation simulation;

  FleetOperator(SimulatedFleet fleet) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
  }

  /** Registers a worker; retries while the outcome is unknown. */
  void listWorker(String id) {
    String pool = fleet.spares.contains(id) ? "spare" : "main";
    simulation.history.add(simulation.simulatedNowMs(), Kind.WORKER_POOL, id, pool, "", 0);
    var input = new WorkerInput(id, SimulatedWorkers.address(id), pool, null);
    fleet.command(
        fleet.liveControlPlaneNode(),
        Operation.SET_WORKER,
        "worker/" + id,
        ControlPlaneNode.workerRegistration(input),
        response -> {
          if (response == null || !response.isSuccess()) {
            simulation.afterMs(500, () -> listWorker(id));
          }
        });
  }

  void markLeaving(String id) {
    fleet.command(
        fleet.liveControlPlaneNode(),
        Operation.SET_WORKER,
        "worker/" + id,
        ControlPlaneNode.workerMark(id, true),
        response -> {
          int status = response == null ? 0 : response.status();
          simulation.history.add(
              simulation.simulatedNowMs(), Kind.LEAVING_ANSWERED, id, "", "", status);
          if (status != 200) {
            simulation.afterMs(500, () -> markLeaving(id));
          }
        });
  }

  /** Sends a configuration; retries with the same bytes while the outcome is unknown. */
  void sendConfiguration(long revision, String content, String controlPlaneNode) {
    byte[] bytes = content.getBytes(UTF_8);
    simulation.history.add(
        simulation.simulatedNowMs(), Kind.BUNDLE_SENT, Long.toString(revision), "", "", revision);
    Deployment.pools(content)
        .forEach(
            (trafficClass, pool) ->
                simulation.history.add(
                    simulation.simulatedNowMs(),
                    Kind.BUNDLE_WAY,
                    Long.toString(revision),
                    trafficClass,
                    pool,
                    revision));
    fleet.command(
        controlPlaneNode,
        Operation.SET_CONFIGURATION,
        "bundle",
        fleet.signed(bytes, null),
        response -> {
          int status = response == null ? 0 : response.status();
          simulation.history.add(
              simulation.simulatedNowMs(),
              Kind.BUNDLE_ANSWERED,
              Long.toString(revision),
              response == null ? "" : response.errorType(),
              "",
              status);
          if (status == 200) {
            fleet.clientEventListener.accept("bundle", revision);
          }
          if (status != 200 && status != 409) {
            simulation.afterMs(
                700, () -> sendConfiguration(revision, content, fleet.liveControlPlaneNode()));
          }
        });
  }

  /** Reads the configuration back and notes the one that each ready edge applies, repeatedly. */
  void observeConfigurations() {
    long begunAt = simulation.simulatedNowMs();
    fleet.command(
        fleet.liveControlPlaneNode(),
        Operation.READ_KEY,
        "bundle",
        new byte[] {'{', '}'},
        response -> {
          if (response != null && response.isSuccess() && !response.body().isNull()) {
            simulation.history.add(
                simulation.simulatedNowMs(),
                Kind.BUNDLE_READ,
                "",
                "",
                Long.toString(begunAt),
                response.body().path("number").asLong());
          }
        });
    for (SimulatedProcess edge : fleet.edges) {
      fleet.waitFor(
          edge,
          SimulatedFleet.CLIENT_TIMEOUT_MS,
          (Consumer<JsonNode> then) -> {
            boolean ready = edge.node().notReadyReason().isEmpty();
            then.accept(ready ? edge.node().status() : null);
          },
          status -> {
            if (status != null) {
              simulation.history.add(
                  simulation.simulatedNowMs(),
                  Kind.EDGE_BUNDLE,
                  edge.name,
                  "",
                  "",
                  status.path("bundle").asLong());
            }
          });
    }
    simulation.afterMs(500, this::observeConfigurations);
  }
}
