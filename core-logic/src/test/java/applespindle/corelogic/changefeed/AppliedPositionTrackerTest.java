package applespindle.corelogic.changefeed;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.protocol.Message.AppliedPositions;
import applespindle.corelogic.protocol.Message.KeyPosition;
import java.util.List;
import org.junit.jupiter.api.Test;

class AppliedPositionTrackerTest {
  private static final String KEY = "bundle";
  private static final List<String> EDGES = List.of("edge:1", "edge:2", "edge:3", "edge:4");

  private final AppliedPositionTracker tracker = new AppliedPositionTracker();

  private void report(String edge, long sequence) {
    tracker.record(new AppliedPositions(edge, List.of(new KeyPosition(KEY, sequence))));
  }

  @Test
  void sequencesNeverFall() {
    report("edge:1", 5);
    report("edge:1", 3);
    assertThat(tracker.isAppliedBy("edge:1", KEY, 5)).isTrue();
    assertThat(tracker.isAppliedBy("edge:1", KEY, 6)).isFalse();
    assertThat(tracker.isAppliedBy("edge:1", "other", 1)).isFalse();
  }

  @Test
  void halfOfTheEdgesIsNoMajority() {
    report("edge:1", 5);
    report("edge:2", 5);
    report("edge:3", 4);
    assertThat(tracker.isAppliedByMajority(EDGES, KEY, 5)).isFalse();
    assertThat(tracker.isAppliedByMajority(EDGES, KEY, 4)).isTrue();
    assertThat(tracker.isAppliedByMajority(List.of(), KEY, 1)).isFalse();
  }

  @Test
  void forgetsEdgesThatAreNotRetained() {
    report("edge:1", 5);
    report("edge:2", 5);
    report("edge:3", 5);
    assertThat(tracker.hasReportsOfMajority(EDGES)).isTrue();
    tracker.retainIf(address -> !address.equals("edge:3"));
    assertThat(tracker.hasReportsOfMajority(EDGES)).isFalse();
    assertThat(tracker.isAppliedBy("edge:3", KEY, 1)).isFalse();
    assertThat(tracker.isAppliedBy("edge:2", KEY, 5)).isTrue();
  }
}
