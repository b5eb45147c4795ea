package applespindle.corelogic.usage;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.constants.UsageConstants;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Counts are kept by monotonic time and become windows when they are read. */
final class UsageRecorderTest {
  private static final long WINDOW_MS = 5_000;

  private final UsageRecorder recorder = new UsageRecorder();

  private static long window(long monotonicMs) {
    return monotonicMs / WINDOW_MS;
  }

  @Test
  void countsByTenantAndWindow() {
    recorder.record("kaje", 1_000);
    recorder.record("kaje", 4_900);
    recorder.record("vopu", 5_000);
    assertThat(recorder.countsByWindow(UsageRecorderTest::window, 0))
        .containsExactly(0L, Map.of("kaje", 2L), 1L, Map.of("vopu", 1L));
  }

  @Test
  void aCorrectionMovesNothingThatWasReported() {
    recorder.record("kaje", 4_900);
    recorder.record("kaje", 5_000);
    recorder.countsByWindow(UsageRecorderTest::window, 0);
    assertThat(recorder.countsByWindow(at -> window(at + 200), 0))
        .containsExactly(0L, Map.of("kaje", 1L), 1L, Map.of("kaje", 1L));
    assertThat(recorder.countsByWindow(at -> window(at - 200), 0))
        .containsExactly(0L, Map.of("kaje", 2L));
  }

  @Test
  void whatIsClosedIsRemoved() {
    recorder.record("kaje", 4_999);
    recorder.record("kaje", 5_000);
    recorder.removeThrough(0, UsageRecorderTest::window);
    assertThat(recorder.countsByWindow(UsageRecorderTest::window, 0))
        .containsExactly(1L, Map.of("kaje", 1L));
    recorder.removeThrough(1, UsageRecorderTest::window);
    assertThat(recorder.isEmpty()).isTrue();
  }

  @Test
  void countsOfAWindowThatIsNeverClosedAreBounded() {
    recorder.record("kaje", 0);
    recorder.record("kaje", UsageConstants.MAX_RETENTION_MS + UsageConstants.SLOT_MS);
    assertThat(recorder.countsByWindow(at -> 0, 0)).containsExactly(0L, Map.of("kaje", 1L));
  }
}
