package applespindle.corelogic.usage;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** An edge learns true time from the answers that came back fastest. */
final class TrueTimeOffsetTest {
  private final TrueTimeOffset offset = new TrueTimeOffset();

  @Test
  void isUnknownBeforeTheFirstAnswer() {
    assertThat(offset.isKnown()).isFalse();
    offset.addSample(50_010, 0, 20);
    assertThat(offset.isKnown()).isTrue();
    assertThat(offset.trueTimeMs(100)).isEqualTo(50_100);
    assertThat(offset.monotonicMs(50_100)).isEqualTo(100);
  }

  @Test
  void keepsTheSampleWithTheShortestRoundTrip() {
    offset.addSample(50_300, 0, 900);
    offset.addSample(51_002, 1_000, 1_004);
    offset.addSample(52_110, 2_000, 2_300);
    assertThat(offset.trueTimeMs(3_000)).isEqualTo(53_000);
  }

  @Test
  void aSampleThatContradictsReplacesIt() {
    offset.addSample(50_002, 0, 4);
    offset.addSample(57_010, 5_000, 5_020);
    assertThat(offset.trueTimeMs(6_000)).isEqualTo(58_000);
  }

  @Test
  void aSlowAnswerAloneIsNotEnough() {
    offset.addSample(50_600, 0, 1_200);
    assertThat(offset.isKnown()).isFalse();
    for (long sample = 1; sample < 4; sample++) {
      offset.addSample(50_600 + 2_000 * sample, 2_000 * sample, 2_000 * sample + 1_200);
    }
    assertThat(offset.isKnown()).isTrue();
    assertThat(offset.trueTimeMs(10_000)).isEqualTo(60_000);
  }

  @Test
  void anAnswerFromBeforeItsRequestIsIgnored() {
    offset.addSample(50_000, 20, 0);
    assertThat(offset.isKnown()).isFalse();
  }
}
