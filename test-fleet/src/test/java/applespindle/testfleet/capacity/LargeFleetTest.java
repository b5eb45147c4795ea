package applespindle.testfleet.capacity;

import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.testfleet.capacity.MeasuredFleet.Machine;
import applespindle.testfleet.capacity.MeasuredFleet.Shape;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What 82 edges with hundreds of routes say between their zones: at their start and when slow. */
class LargeFleetTest {
  private static final int EDGES = 82;
  private static final int ROUTES = 510;
  private static final long MEGABYTE = 1_000_000;

  /** Longer than a slow process is silent, shorter than it may go on by what it knows. */
  private static final long SLOW_MS = 1_500;

  /** Each place told to a fellow is handed on to every core member. */
  private static final int TOLD_A_POLL = 3;

  private static final int CORE_MEMBERS = 3;

  /** Feed polls in that time. */
  private static final int POLLS = 5;

  private MeasuredFleet fleet;

  @BeforeEach
  void open() {
    fleet = new MeasuredFleet(Shape.of(EDGES), 1);
    fleet.open(0, SyntheticConfiguration.of(1, ROUTES, 0));
  }

  private long betweenZones() {
    return fleet.machines.values().stream()
        .mapToLong(machine -> machine.meter.sentBetweenZonesBytes)
        .sum();
  }

  private long sentByEdges(String kind) {
    return fleet.edges.stream()
        .map(machine -> machine.meter.sent.get(kind))
        .mapToLong(traffic -> traffic == null ? 0 : traffic.messages)
        .sum();
  }

  private static boolean carriesBundle(ChangeFeedUpdate update) {
    return update.records().stream()
        .anyMatch(metadataRecord -> metadataRecord.key().equals("bundle"));
  }

  @Test
  void startAndRestCostLittleBetweenZones() {
    assertWithMessage("bytes until all are ready").that(betweenZones()).isAtMost(3 * MEGABYTE / 2);
    fleet.resetMeters();
    fleet.runFor(10_000);
    assertWithMessage("bytes in 10 s of rest").that(betweenZones()).isAtMost(5 * MEGABYTE / 4);
  }

  /**
   * Half of the edges know less than the others, as an edge joined while these were cut off; then
   * all are without the core.
   */
  @Test
  void withoutTheControlPlaneForAMomentEdgesDoNotFloodEachOther() {
    Set<Machine> half = Set.copyOf(fleet.edges.subList(0, EDGES / 2));
    fleet.cut = link -> half.contains(link.from()) || half.contains(link.to());
    fleet.add("edge-new", 0, "edge").start();
    fleet.runFor(600);
    long[] bundlesRelayed = new long[1];
    fleet.sentFrames =
        (from, envelope) -> {
          if (envelope.message() instanceof ChangeFeedUpdate update && update.relayed()) {
            bundlesRelayed[0] += carriesBundle(update) ? 1 : 0;
          }
        };
    fleet.cut = link -> link.from().role.equals("core") != link.to().role.equals("core");
    fleet.runFor(SLOW_MS - 600);
    fleet.resetMeters();
    fleet.runFor(SLOW_MS);
    assertWithMessage("bundles that edges sent each other").that(bundlesRelayed[0]).isEqualTo(0);
    assertWithMessage("questions where the core is")
        .that(sentByEdges("WhereIsCore"))
        .isAtMost(EDGES * 20);
    assertWithMessage("places told to fellows")
        .that(sentByEdges("KeysKnown"))
        .isAtMost(EDGES * TOLD_A_POLL * POLLS * (1 + CORE_MEMBERS));
    assertWithMessage("bytes").that(betweenZones()).isAtMost(8 * MEGABYTE);
  }
}
