package applespindle.corelogic.live;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class EventIdsTest {
  @Test
  void comparesDecimalNumbersByValue() {
    assertThat(EventIds.isAfter("10", "9")).isTrue();
    assertThat(EventIds.isAfter("9", "10")).isFalse();
    assertThat(EventIds.isAfter("9", "9")).isFalse();
    assertThat(EventIds.isAfter("009", "9")).isFalse();
  }

  @Test
  void countsIdsThatCannotBeComparedAsLater() {
    assertThat(EventIds.isAfter("", "9")).isTrue();
    assertThat(EventIds.isAfter("9", "")).isTrue();
    assertThat(EventIds.isAfter("a", "a")).isTrue();
    assertThat(EventIds.isAfter("-1", "9")).isTrue();
    assertThat(EventIds.isAfter("1234567890123456789", "9")).isTrue();
    assertThat(EventIds.isAfter("1", "9999999999999999999")).isTrue();
  }
}
