package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.Simulation;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the duties cost: nothing where there are none, and nothing on the way to edges. */
class DutiesCostTest {
  private static final long FROM_MS = 30_000;
  private static final long TO_MS = 60_000;
  private static final String FLEET = "fleet small\ntolerated-losses 1\nrun 65\n";

  private record Run(Simulation simulation, long changeFeedRecords) {
    List<String> dutyKeys() {
      return simulation.processes.values().stream()
          .filter(process -> process.role.equals("core"))
          .flatMap(
              process ->
                  ((ControlPlaneNode) process.node()).replicas().replicas().keySet().stream())
          .filter(key -> key.startsWith(MetadataKeys.DUTY_PREFIX))
          .distinct()
          .toList();
    }
  }

  private static Run run(String scenario) {
    long[] records = new long[2];
    Scenario.Outcome outcome =
        Scenario.parse(scenario)
            .run(
                1,
                false,
                fleet -> {
                  Simulation simulation = fleet.simulation;
                  simulation.atMs(
                      FROM_MS, () -> records[0] = simulation.network.changeFeedRecords());
                  simulation.atMs(TO_MS, () -> records[1] = simulation.network.changeFeedRecords());
                });
    assertThat(outcome.faults()).isEmpty();
    return new Run(outcome.fleet().simulation, records[1] - records[0]);
  }

  @Test
  void dutiesAddNothingToTheChangeFeed() {
    Run without = run(FLEET);
    Run with = run(FLEET + "duties\n");
    assertThat(with.simulation().history.of(Kind.USAGE_REPORTED).size()).isAtLeast(8);
    assertThat(with.dutyKeys()).containsExactly(MetadataKeys.USAGE_DUTY, MetadataKeys.SCALE_DUTY);
    assertThat(with.changeFeedRecords()).isEqualTo(without.changeFeedRecords());
  }

  @Test
  void aFleetWithoutDutiesHasNoKeyForThem() {
    assertThat(run(FLEET).dutyKeys()).isEmpty();
  }
}
