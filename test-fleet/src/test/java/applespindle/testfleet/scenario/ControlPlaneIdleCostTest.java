package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.environment.NodeSettings;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What an idle fleet says to itself: every message costs wake-ups at both ends. */
class ControlPlaneIdleCostTest {
  private static final List<String> SEEDS = List.of("core-0", "core-1", "core-2");

  @Test
  void anIdleFleetIsQuiet() {
    Simulation simulation = new Simulation(1, Map.of(), Deployment.AUTHORITY.pace);
    simulation.settings =
        new NodeSettings(
            1, true, true, false, 0, 800, 3_000, 3_000, 8_000, 2_000, 120_000, 0.1, 64 << 20,
            1_000);
    List<SimulatedProcess> all = new ArrayList<>();
    for (int index = 0; index < 3; index++) {
      all.add(simulation.add("core-" + index, "zone-" + index, "core", SEEDS, true));
      all.add(simulation.add("storage-" + index, "zone-" + index, "storage", SEEDS, true));
      all.add(simulation.add("door-" + index, "zone-" + index, "core", SEEDS, false));
    }
    for (int index = 0; index < 9; index++) {
      all.add(simulation.add("edge-" + index, "zone-" + index % 3, "edge", SEEDS, false));
    }
    all.forEach(process -> simulation.atMs(simulation.random.nextLong(500), process::start));
    simulation.runUntil(20_000);
    long before = simulation.messages();
    simulation.runUntil(30_000);
    long perSecond = (simulation.messages() - before) / 10;
    assertWithMessage("messages a second, all processes").that(perSecond).isAtMost(350);
  }

  /**
   * Each edge asks each fellow three times a second then; with hundreds of routes whole tables were
   * megabytes each time.
   */
  @Test
  void withoutTheControlPlaneEdgesWithEqualTablesSendNone() {
    Simulation simulation = new Simulation(1, Map.of(), Deployment.AUTHORITY.pace);
    simulation.settings =
        new NodeSettings(
            1, true, true, false, 0, 800, 3_000, 3_000, 8_000, 2_000, 120_000, 0.1, 64 << 20,
            1_000);
    List<SimulatedProcess> core = new ArrayList<>();
    List<SimulatedProcess> all = new ArrayList<>();
    for (int index = 0; index < 3; index++) {
      core.add(simulation.add("core-" + index, "zone-" + index, "core", SEEDS, true));
    }
    for (int index = 0; index < 9; index++) {
      all.add(simulation.add("edge-" + index, "zone-" + index % 3, "edge", SEEDS, false));
    }
    all.addAll(core);
    all.forEach(process -> simulation.atMs(simulation.random.nextLong(500), process::start));
    simulation.runUntil(12_000);
    core.forEach(process -> process.kill(false));
    simulation.runUntil(16_000);
    long before = simulation.network.changeFeedRecords();
    long messagesBefore = simulation.messages();
    simulation.runUntil(20_000);
    assertWithMessage("messages while the core is away")
        .that(simulation.messages() - messagesBefore)
        .isAtLeast(9 * 8 * 10);
    assertWithMessage("values sent as news")
        .that(simulation.network.changeFeedRecords() - before)
        .isEqualTo(0);
  }
}
