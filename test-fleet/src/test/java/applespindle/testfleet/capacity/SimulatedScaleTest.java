package applespindle.testfleet.capacity;

import static com.google.common.truth.Truth.assertThat;

import applespindle.testfleet.capacity.MeasuredFleet.Shape;
import applespindle.testfleet.capacity.Measurements.Row;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * A scale run of some tens of nodes on simulated time, held against what the target allows one
 * node.
 */
class SimulatedScaleTest {
  private static final int NODES = 36;
  private static final int WORKERS = 24;

  /** The target: a change in force everywhere within 4 s; 6 KB/s for control; 1.3% of a core. */
  private static final double IN_FORCE_MS = 4_000;

  private static final double CONTROL_BYTES = 6_000;
  private static final double CONTROL_PROCESSOR_MS = 13;
  private static List<Row> rows;

  @BeforeAll
  static void run() {
    Measurements measured = new Measurements();
    new SimulatedScale(measured, NODES, WORKERS, 5_000, 27, 1).run();
    rows = measured.rows();
  }

  private static double figure(String experiment, String role, String metric) {
    return rows.stream()
        .filter(
            row ->
                row.experiment().equals(experiment)
                    && row.role().equals(role)
                    && row.metric().equals(metric))
        .findFirst()
        .orElseThrow(() -> new AssertionError(experiment + " " + metric))
        .median();
  }

  @Test
  void everyChangeReachesEveryNodeInTimeWhateverFails() {
    for (String phase : List.of("changes", "machines", "rack", "zone")) {
      assertThat(figure(phase, "edge", "never known by then")).isEqualTo(0);
      assertThat(figure(phase, "edge", "known after, slowest")).isLessThan(IN_FORCE_MS);
      assertThat(figure(phase, "core", "acknowledged after, slowest")).isLessThan(IN_FORCE_MS);
    }
  }

  @Test
  void restartedMachinesAreReadySoon() {
    for (String phase : List.of("machines", "rack", "zone")) {
      assertThat(figure(phase, "edge", "ready again after, slowest")).isLessThan(IN_FORCE_MS);
    }
    assertThat(figure("region-cut", "edge", "known and ready inside, after it healed"))
        .isLessThan(IN_FORCE_MS);
  }

  @Test
  void aCutRegionHoldsNoChangeUp() {
    assertThat(figure("region-cut", "core", "acknowledged after")).isLessThan(IN_FORCE_MS);
    assertThat(figure("region-cut", "edge", "isolated outside")).isEqualTo(0);
  }

  @Test
  void aNodeAtRestStaysWithinWhatControlMayCost() {
    assertThat(figure("rest", "edge", "sent and received")).isLessThan(CONTROL_BYTES);
    assertThat(figure("rest", "edge", "processor")).isLessThan(CONTROL_PROCESSOR_MS);
  }

  @Test
  void oneSeedGivesOneRun() {
    assertThat(bytesOf(7)).isEqualTo(bytesOf(7));
  }

  private static List<Long> bytesOf(long seed) {
    MeasuredFleet fleet = new MeasuredFleet(Shape.of(6), seed);
    fleet.open(3, SyntheticConfiguration.of(1, 1, 0));
    return fleet.machines.values().stream().map(machine -> machine.meter.sentBytes()).toList();
  }
}
