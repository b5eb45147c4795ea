package applespindle.corelogic.scaling;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.constants.ScalingConstants;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The last report of each edge counts while it is recent. */
final class DemandTableTest {
  private static final PoolZone SUBJECT = new PoolZone("pool", "zone");

  private final DemandTable table = new DemandTable();

  private static DemandReport report(String edge, long hundredths) {
    return new DemandReport(edge, List.of(new PoolDemand("pool", "zone", hundredths)));
  }

  @Test
  void sumsTheLastReportOfEachEdge() {
    table.put(report("one", 300), 0);
    table.put(report("one", 150), 10);
    table.put(report("two", 25), 10);
    table.put(new DemandReport("three", List.of(new PoolDemand("other", "zone", 900))), 10);
    assertThat(table.callsAt(SUBJECT)).isEqualTo(1.75);
  }

  @Test
  void oldReportsExpire() {
    table.put(report("one", 300), 0);
    table.removeExpired(ScalingConstants.REPORT_EXPIRY_MS);
    assertThat(table.isEmpty()).isFalse();
    table.removeExpired(ScalingConstants.REPORT_EXPIRY_MS + 1);
    assertThat(table.isEmpty()).isTrue();
  }

  @Test
  void isCompleteOnceNearlyAllLiveEdgesReported() {
    assertThat(table.isComplete(Set.of())).isFalse();
    table.put(report("one", 300), 0);
    assertThat(table.isComplete(Set.of("one"))).isTrue();
    assertThat(table.isComplete(Set.of("one", "two"))).isFalse();
  }
}
