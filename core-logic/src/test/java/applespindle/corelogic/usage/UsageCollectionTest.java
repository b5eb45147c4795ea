package applespindle.corelogic.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.duty.ClosedWindow;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Reporters of several edges and the collectors of changing holders on simulated time, over a
 * network that loses, repeats and reorders.
 */
final class UsageCollectionTest {
  private static final int EDGES = 7;

  @Test
  void everyRequestCountsOnceInItsWindow() {
    UsageCollectionFixture fleet = new UsageCollectionFixture(1, EDGES);
    fleet.runLoad(40_000);
    fleet.runIdle(20_000);
    assertThat(fleet.closed()).isNotEmpty();
    assertThat(fleet.closed()).isEqualTo(fleet.truth());
  }

  @ParameterizedTest
  @ValueSource(longs = {2, 3, 4, 5, 6, 7, 8, 9})
  void lossesRepeatsAndReorderingChangeNothing(long seed) {
    UsageCollectionFixture fleet = new UsageCollectionFixture(seed, EDGES);
    fleet.network(0.2, 0.2, 100);
    fleet.runIdle(5_000);
    fleet.runLoad(40_000);
    fleet.runIdle(20_000);
    assertThat(fleet.total(fleet.closed())).isEqualTo(fleet.total(fleet.truth()));
    fleet.assertClosedWithin(0.05);
  }

  @ParameterizedTest
  @ValueSource(longs = {10, 11, 12, 13, 14, 15})
  void aNewHolderGetsAllThatIsOpen(long seed) {
    UsageCollectionFixture fleet = new UsageCollectionFixture(seed, EDGES);
    fleet.network(0.1, 0.1, 100);
    for (int change = 0; change < 4; change++) {
      fleet.runLoad(6_000 + 700 * seed);
      fleet.changeHolder(2_500);
    }
    fleet.runIdle(20_000);
    assertThat(fleet.total(fleet.closed())).isEqualTo(fleet.total(fleet.truth()));
    fleet.assertClosedWithin(0.05);
  }

  @ParameterizedTest
  @ValueSource(longs = {20, 21, 22})
  void aMinorityOfSteppedClocksMovesNoWindow(long seed) {
    UsageCollectionFixture fleet = new UsageCollectionFixture(seed, EDGES);
    fleet.stepClock(0, 7_000);
    fleet.stepHolderClock(-4_000);
    fleet.runLoad(12_000);
    fleet.stepClock(1, -9_000);
    fleet.runLoad(12_000);
    fleet.changeHolder(1_000);
    fleet.runLoad(12_000);
    fleet.runIdle(20_000);
    fleet.assertClosedWithin(0.05);
  }

  @Test
  void whatAKilledEdgeHadReportedCounts() {
    UsageCollectionFixture fleet = new UsageCollectionFixture(30, EDGES);
    fleet.runLoad(15_000);
    fleet.kill(3);
    fleet.runLoad(15_000);
    fleet.runIdle(20_000);
    long missing = fleet.total(fleet.truth()) - fleet.total(fleet.closed());
    assertWithMessage("requests begun since the last report of the killed edge")
        .that(missing)
        .isAtMost(fleet.begunByKilledEdgesSinceLastReport());
    assertThat(missing).isAtLeast(0);
  }

  @Test
  void aStoppedEdgeLeavesNothingBehind() {
    UsageCollectionFixture fleet = new UsageCollectionFixture(31, EDGES);
    fleet.runLoad(13_000);
    fleet.stop(2);
    fleet.runLoad(12_000);
    fleet.runIdle(20_000);
    assertThat(fleet.total(fleet.closed())).isEqualTo(fleet.total(fleet.truth()));
  }

  @Test
  void windowsComeWithoutAGapAndInTime() {
    UsageCollectionFixture fleet = new UsageCollectionFixture(32, EDGES);
    fleet.runLoad(30_000);
    fleet.cutOff(4);
    fleet.runLoad(30_000);
    fleet.runIdle(20_000);
    long expected = fleet.closed().firstKey();
    for (long window : fleet.closed().keySet()) {
      assertThat(window).isEqualTo(expected++);
    }
    assertThat(fleet.latestClosingMs()).isLessThan(UsageCollectionFixture.DELAY_MS);
  }

  @Test
  void withoutTenantsNothingIsClosed() {
    UsageCollectionFixture fleet = new UsageCollectionFixture(33, EDGES);
    fleet.setMetered(false);
    fleet.runIdle(30_000);
    assertThat(fleet.closed()).isEmpty();
  }

  @Test
  void anEmptyWindowIsClosedOnceEveryEdgeWasHeard() {
    UsageCollectionFixture fleet = new UsageCollectionFixture(34, EDGES);
    fleet.runIdle(30_000);
    assertThat(fleet.closed()).isNotEmpty();
    assertThat(fleet.closed().values()).containsNoneIn(new Object[] {Map.of("tenant-0", 0L)});
    assertThat(fleet.total(fleet.closed())).isEqualTo(0);
  }

  @Test
  void aCollectorThatHasNotBegunClosesNothing() {
    UsageCollectionFixture fleet = new UsageCollectionFixture(35, 1);
    Optional<ClosedWindow> closed = fleet.newCollector().nextClosedWindow(5, 100_000);
    assertThat(closed).isEmpty();
  }
}
