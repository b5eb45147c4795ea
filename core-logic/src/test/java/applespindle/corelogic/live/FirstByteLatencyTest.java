package applespindle.corelogic.live;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class FirstByteLatencyTest {
  private final FirstByteLatency latency = new FirstByteLatency();

  @Test
  void isZeroWithoutSamples() {
    assertThat(latency.upperEstimateMs()).isEqualTo(0.0);
  }

  @Test
  void estimatesTwiceTheFirstSample() {
    latency.record(100);
    assertThat(latency.upperEstimateMs()).isEqualTo(200.0);
  }

  @Test
  void approachesALatencyThatStaysTheSame() {
    latency.record(1_000);
    for (int sample = 0; sample < 200; sample++) {
      latency.record(100);
    }
    assertThat(latency.upperEstimateMs()).isWithin(1).of(100);
  }
}
