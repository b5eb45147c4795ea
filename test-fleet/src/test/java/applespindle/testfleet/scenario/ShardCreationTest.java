package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.constants.ShardConstants;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Every shard gets its first replica set, whichever member of the control plane is out of contact
 * while the sets are created, and whenever it comes back. A batch of a shard without one can be
 * accepted nowhere.
 */
class ShardCreationTest {
  private static final List<String> MEMBERS = List.of("core-0", "core-1", "core-2");
  private static final long STORAGE_STARTS_AT_MS = 5_000;
  private static final long FIRST_RETURN_MS = 5_400;
  private static final long LAST_RETURN_MS = 7_400;
  private static final long RETURN_STEP_MS = 100;
  private static final long CHECKED_AT_MS = 12_000;

  /** A member is out of contact when storage nodes start, and is back at the time given. */
  private static Simulation fleetWithMemberBackAt(String member, long returnsAtMs) {
    Simulation simulation = new Simulation(1, Map.of(), Deployment.AUTHORITY.pace);
    simulation.settings =
        new NodeSettings(
            1, true, true, false, 0, 800, 3_000, 3_000, 8_000, 2_000, 120_000, 0.1, 64 << 20,
            1_000);
    List<SimulatedProcess> core = new ArrayList<>();
    for (int index = 0; index < MEMBERS.size(); index++) {
      core.add(simulation.add("core-" + index, "zone-" + index, "core", MEMBERS, true));
    }
    core.forEach(process -> simulation.atMs(simulation.random.nextLong(500), process::start));
    for (int index = 0; index < MEMBERS.size(); index++) {
      SimulatedProcess storage =
          simulation.add("storage-" + index, "zone-" + index, "storage", MEMBERS, true);
      simulation.atMs(STORAGE_STARTS_AT_MS, storage::start);
    }
    simulation.atMs(
        STORAGE_STARTS_AT_MS,
        () ->
            MEMBERS.stream()
                .filter(other -> !other.equals(member))
                .forEach(other -> simulation.cutLink(member, other)));
    simulation.atMs(returnsAtMs, simulation::healLinks);
    simulation.runUntil(CHECKED_AT_MS);
    return simulation;
  }

  @Test
  void everyShardHasReplicasWheneverAMemberComesBack() {
    for (String member : MEMBERS) {
      for (long at = FIRST_RETURN_MS; at <= LAST_RETURN_MS; at += RETURN_STEP_MS) {
        Simulation simulation = fleetWithMemberBackAt(member, at);
        for (String each : MEMBERS) {
          assertWithMessage("shards known at %s, %s back at %s", each, member, at)
              .that(simulation.processes.get(each).node().status().path("shards").size())
              .isEqualTo(ShardConstants.SHARD_COUNT);
        }
      }
    }
  }
}
