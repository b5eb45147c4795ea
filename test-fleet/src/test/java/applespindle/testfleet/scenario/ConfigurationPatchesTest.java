package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.ConfigurationPatchRequest;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.protocol.Operation;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Patches of a configuration: retries are recognised, one of two concurrent ones wins, and no loss
 * leaves half of one.
 */
class ConfigurationPatchesTest {
  private static final int SEEDS = 20;
  private static final int CORES = 3;

  /** A core of three with one edge, on simulated time. */
  private static final class CoreFleet {
    final Simulation simulation;

    CoreFleet(long seed) {
      simulation = new Simulation(seed, Map.of(), Deployment.AUTHORITY.pace);
      simulation.workerList = (reader, token, whenRead, whenFaulty) -> {};
      simulation.settings =
          new NodeSettings(
              1, true, true, false, 0, 0, 3_000, 3_000, 8_000, 2_000, 120_000, 0.1, 64 << 20,
              1_000);
      List<String> seeds = List.of("core-0", "core-1", "core-2");
      List<SimulatedProcess> processes = new ArrayList<>();
      for (int index = 0; index < CORES; index++) {
        processes.add(simulation.add("core-" + index, "zone-" + index, "core", seeds, true));
        processes.add(simulation.add("storage-" + index, "zone-" + index, "storage", seeds, true));
      }
      processes.add(simulation.add("edge", "zone-0", "edge", seeds, false));
      processes.forEach(process -> simulation.atMs(10, process::start));
      run(6_000);
      Response first = await(sendWhole(1));
      assertWithMessage("" + first).that(first.status()).isEqualTo(200);
    }

    void run(long millis) {
      simulation.runUntil(simulation.simulatedNowMs() + millis);
    }

    SimulatedProcess core(int index) {
      return simulation.processes.get("core-" + index);
    }

    private SimulatedResponse command(int core, Operation operation, Object body) {
      SimulatedResponse answer = new SimulatedResponse();
      simulation.call(
          core(core),
          (Consumer<Response> then) ->
              ((ControlPlaneNode) core(core).node()).command(operation, "bundle", body, then),
          answer);
      return answer;
    }

    private SimulatedResponse sendWhole(long number) {
      byte[] bytes = Deployment.AUTHORITY.configuration(number).strip().getBytes(UTF_8);
      return command(
          0,
          Operation.SET_CONFIGURATION,
          new SignedConfiguration(0, bytes, "", new byte[0], number - 1));
    }

    SimulatedResponse patch(int core, long buildsOn, String patch) {
      return command(
          core,
          Operation.PATCH_CONFIGURATION,
          new ConfigurationPatchRequest(
              patch.replace('\'', '"').getBytes(UTF_8), buildsOn, "", new byte[0]));
    }

    Response await(SimulatedResponse answer) {
      for (int step = 0; step < 100 && answer.response == null && !answer.broken; step++) {
        run(100);
      }
      return answer.response;
    }

    /** The same again at each core node in turn, as an operator does that hears nothing clear. */
    Response patchUntilClear(int core, long buildsOn, String patch) {
      for (int attempt = 0; attempt < 30; attempt++) {
        SimulatedProcess process = core((core + attempt) % CORES);
        Response response =
            process.alive() ? await(patch((core + attempt) % CORES, buildsOn, patch)) : null;
        if (response != null && response.status() < 500) {
          return response;
        }
        run(200);
      }
      return null;
    }

    JsonNode inForce() {
      for (int attempt = 0; attempt < 30; attempt++) {
        Response response =
            await(command(attempt % CORES, Operation.READ_KEY, new byte[] {'{', '}'}));
        if (response != null && response.isSuccess()) {
          return Json.tree(Base64.getDecoder().decode(response.body().path("bytes").asText()));
        }
        run(200);
      }
      throw new AssertionError("the configuration can not be read");
    }
  }

  private static String route(String name, int timeoutMs) {
    return "{'name': '"
        + name
        + "', 'host': 'h.example', 'pathPrefix': '/"
        + name
        + "/', 'type': 'REPEATABLE', 'timeoutMs': "
        + timeoutMs
        + ", 'targetMs': 500, 'gapTargetMs': 0, 'attempts': 3, 'rank': 5, 'sticky': false,"
        + " 'resumable': false, 'split': [{'pool': 'main', 'weight': 1}], 'completionTargetMs': 0,"
        + " 'retentionMs': 0, 'waitingTokensMost': 0}";
  }

  private static String adds(long number, String name) {
    return "{'number': " + number + ", 'upsert': {'routes': [" + route(name, 2_000) + "]}}";
  }

  @Test
  void theResultIsCompleteAndReadsBack() {
    CoreFleet fleet = new CoreFleet(1);
    assertThat(fleet.await(fleet.patch(1, 1, adds(4, "a"))).status()).isEqualTo(200);
    assertThat(fleet.await(fleet.patch(2, 4, adds(6, "b"))).status()).isEqualTo(200);
    String third =
        "{'number': 9, 'upsert': {'routes': ["
            + route("a", 900)
            + "]}, 'remove': {'routes': ['b']}}";
    assertThat(fleet.await(fleet.patch(0, 6, third)).status()).isEqualTo(200);

    JsonNode inForce = fleet.inForce();
    assertThat(inForce.path("number").asLong()).isEqualTo(9);
    assertThat(inForce.path("routes")).hasSize(1);
    assertThat(inForce.path("routes").path(0).path("timeoutMs").asInt()).isEqualTo(900);
    assertThat(inForce.path("pools").has("main")).isTrue();
  }

  @Test
  void aResultThatIsNotValidIsRefusedAndNothingChanges() {
    CoreFleet fleet = new CoreFleet(1);
    String nowhere = adds(4, "a").replace("'main'", "'nowhere'");
    Response refused = fleet.await(fleet.patch(0, 1, nowhere));
    assertThat(refused.errorType()).isEqualTo("InvalidBundle");
    assertThat(fleet.await(fleet.patch(0, 1, "{'number': 1}")).errorType())
        .isEqualTo("BundleConflict");
    assertThat(fleet.await(fleet.patch(0, 3, adds(4, "a"))).errorType())
        .isEqualTo("VersionConflict");
    assertThat(fleet.inForce().path("number").asLong()).isEqualTo(1);
  }

  @Test
  void oneThatIsSentAgainIsAcknowledgedAlsoAfterFurtherOnes() {
    CoreFleet fleet = new CoreFleet(1);
    fleet.await(fleet.patch(0, 1, adds(4, "a")));
    assertThat(fleet.await(fleet.patch(1, 1, adds(4, "a"))).status()).isEqualTo(200);
    fleet.await(fleet.patch(0, 4, adds(5, "b")));
    assertThat(fleet.await(fleet.patch(2, 1, adds(4, "a"))).status()).isEqualTo(200);
    assertThat(fleet.await(fleet.patch(2, 1, adds(4, "c"))).errorType())
        .isEqualTo("VersionConflict");
    assertThat(fleet.inForce().path("routes")).hasSize(2);
  }

  @Test
  void ofTwoOnOneVersionOneIsConfirmed() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      CoreFleet fleet = new CoreFleet(seed);
      SimulatedResponse one = fleet.patch(0, 1, adds(4, "a"));
      SimulatedResponse other = fleet.patch(1, 1, adds(4, "b"));
      List<Integer> statuses =
          List.of(fleet.await(one).status(), fleet.await(other).status()).stream()
              .sorted()
              .toList();
      assertWithMessage("seed " + seed).that(statuses.get(0)).isEqualTo(200);
      assertWithMessage("seed " + seed).that(statuses.get(1)).isAtLeast(400);
      String winner = one.response.isSuccess() ? "a" : "b";
      JsonNode routes = fleet.inForce().path("routes");
      assertWithMessage("seed " + seed).that(routes).hasSize(1);
      assertThat(routes.path(0).path("name").asText()).isEqualTo(winner);
    }
  }

  /**
   * The leader may fall at any moment of it; the operator sends the same until it hears clearly.
   */
  @Test
  void aLossOfTheLeaderInBetweenNeitherLosesNorRepeatsIt() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      CoreFleet fleet = new CoreFleet(seed);
      Random random = new Random(seed);
      String patch = adds(4, "a");
      int entry = random.nextInt(CORES);
      fleet.patch(entry, 1, patch);
      fleet.run(random.nextInt(30));
      SimulatedProcess victim = fleet.core(random.nextInt(CORES));
      victim.kill(true);
      fleet.simulation.afterMs(1_500, victim::start);
      Response response = fleet.patchUntilClear(entry + 1, 1, patch);
      assertWithMessage("seed " + seed).that(response).isNotNull();
      assertWithMessage("seed " + seed + " " + response).that(response.status()).isEqualTo(200);
      Response next = fleet.patchUntilClear(entry, 4, adds(5, "b"));
      assertWithMessage("seed " + seed + " " + next).that(next.status()).isEqualTo(200);
      assertWithMessage("seed " + seed).that(fleet.inForce().path("routes")).hasSize(2);
    }
  }

  @Test
  void aLongChainSurvivesARestartedMember() {
    CoreFleet fleet = new CoreFleet(1);
    int changes = 450;
    for (int change = 0; change < changes; change++) {
      if (change == 150) {
        fleet.core(0).kill(false);
      } else if (change == 200) {
        fleet.core(0).start();
      }
      long number = 2L + change;
      String patch =
          "{'number': "
              + number
              + ", 'upsert': {'routes': ["
              + route("r" + change % 40, 1_000 + change)
              + "]}}";
      Response response = fleet.patchUntilClear(1 + change % 2, number - 1, patch);
      assertWithMessage("change " + change + " " + response).that(response.status()).isEqualTo(200);
    }
    JsonNode inForce = fleet.inForce();
    assertThat(inForce.path("number").asLong()).isEqualTo(changes + 1);
    assertThat(inForce.path("routes")).hasSize(40);
    int last = changes - 1;
    assertThat(inForce.path("routes").path(last % 40).path("timeoutMs").asInt())
        .isEqualTo(1_000 + last);
  }
}
