package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.constants.SizeLimits;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.protocol.Operation;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Guards against control planes that end for want of memory: a configuration of any size was taken
 * and acknowledged, and was then held and sent several times over.
 */
final class ConfigurationSizeTest {
  private static final long SETTLED_MS = 6_000;
  private static final int ROOM_FOR_THE_REST_BYTES = 100_000;
  private final Simulation simulation = new Simulation(1, Map.of(), Deployment.AUTHORITY.pace);

  ConfigurationSizeTest() {
    simulation.workerList = (reader, token, whenRead, whenFaulty) -> {};
    simulation.settings =
        new NodeSettings(
            1, true, true, false, 0, 0, 3_000, 3_000, 8_000, 2_000, 120_000, 0.1, 64 << 20, 1_000);
    List<String> seeds = List.of("core-0", "core-1", "core-2");
    for (String name : seeds) {
      SimulatedProcess process =
          simulation.add(name, "zone-" + name.charAt(name.length() - 1), "core", seeds, true);
      simulation.atMs(10, process::start);
    }
    simulation.runUntil(SETTLED_MS);
  }

  private Response send(long number, int originBytes) {
    String rules = Deployment.AUTHORITY.configuration(number).strip();
    String content =
        rules.substring(0, rules.length() - 1)
            + ", \"origin\": \""
            + "x".repeat(originBytes)
            + "\"}";
    SimulatedResponse answer = new SimulatedResponse();
    SimulatedProcess core = simulation.processes.get("core-0");
    simulation.call(
        core,
        (Consumer<Response> then) ->
            ((ControlPlaneNode) core.node())
                .command(
                    Operation.SET_CONFIGURATION,
                    "bundle",
                    new SignedConfiguration(0, content.getBytes(UTF_8), null, null, number - 1),
                    then),
        answer);
    simulation.runUntil(simulation.simulatedNowMs() + SETTLED_MS);
    return answer.response;
  }

  @Test
  void aConfigurationLargerThanTheControlPlaneHoldsIsRefused() {
    Response largest = send(1, SizeLimits.MAX_CONFIGURATION_BYTES - ROOM_FOR_THE_REST_BYTES);
    assertWithMessage("status of the largest").that(largest.status()).isEqualTo(200);

    Response tooLarge = send(2, SizeLimits.MAX_CONFIGURATION_BYTES);
    assertThat(tooLarge.status()).isEqualTo(413);
    assertThat(tooLarge.failedWith(ApiError.InputTooLarge.class)).isTrue();

    assertWithMessage("the next one").that(send(2, 1).status()).isEqualTo(200);
  }
}
