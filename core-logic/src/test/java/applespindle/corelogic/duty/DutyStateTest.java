package applespindle.corelogic.duty;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import applespindle.corelogic.common.Json;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

final class DutyStateTest {
  private static final String STORED_USAGE =
      "{\"claim\":{\"holder\":\"a\",\"fence\":3,\"formerHolders\":[\"b\",\"c\"]},"
          + "\"lastWindowId\":9,"
          + "\"openWindows\":[{\"windowId\":9,\"counters\":{\"t\":4,\"u\":1}}]}";

  private static final String STORED_SCALE =
      "{\"claim\":{\"holder\":\"a\",\"fence\":1,\"formerHolders\":[]},"
          + "\"orders\":[{\"pool\":\"p\",\"zone\":\"z\",\"count\":6,\"done\":true}]}";

  private static <T> void assertStoredAs(String stored, T value, Class<T> type) {
    assertThat(new String(Json.bytes(value), UTF_8)).isEqualTo(stored);
    assertThat(Json.read(stored.getBytes(UTF_8), type)).isEqualTo(value);
    String later = stored.substring(0, stored.length() - 1) + ",\"later\":1}";
    assertThat(Json.read(later.getBytes(UTF_8), type)).isEqualTo(value);
  }

  @Test
  void theStoredFormStays() {
    assertStoredAs(
        STORED_USAGE,
        new UsageDutyState(
            new DutyClaim("a", 3, List.of("b", "c")),
            9,
            List.of(new ClosedWindow(9, new TreeMap<>(Map.of("u", 1L, "t", 4L))))),
        UsageDutyState.class);
    assertStoredAs(
        STORED_SCALE,
        new ScaleDutyState(
            new DutyClaim("a", 1, List.of()), List.of(new ScaleIntent("p", "z", 6, true))),
        ScaleDutyState.class);
  }

  @Test
  void eachClaimRaisesTheFenceAndRemembersFormerHolders() {
    DutyClaim claim = DutyClaim.NONE.takenBy("a");
    assertThat(claim).isEqualTo(new DutyClaim("a", 1, List.of()));
    assertThat(claim.takenBy("a")).isEqualTo(new DutyClaim("a", 2, List.of()));
    claim = claim.takenBy("b").takenBy("c");
    assertThat(claim).isEqualTo(new DutyClaim("c", 3, List.of("b", "a")));
    assertThat(claim.isFormerHolder("a")).isTrue();
    assertThat(claim.isFormerHolder("c")).isFalse();
    assertThat(claim.takenBy("b")).isEqualTo(new DutyClaim("b", 4, List.of("c", "a")));
  }

  @Test
  void formerHoldersAreBounded() {
    DutyClaim claim = DutyClaim.NONE;
    for (int index = 0; index < 100; index++) {
      claim = claim.takenBy("node-" + index);
    }
    assertThat(claim.formerHolders()).hasSize(16);
    assertThat(claim.formerHolders().get(0)).isEqualTo("node-98");
  }

  @Test
  void aWindowIsWrittenDownOnce() {
    UsageDutyState state = UsageDutyState.INITIAL.withWindow(new ClosedWindow(4, new TreeMap<>()));
    assertThrows(
        IllegalArgumentException.class,
        () -> state.withWindow(new ClosedWindow(4, new TreeMap<>(Map.of("t", 1L)))));
    assertThat(state.withReported(4).openWindows()).isEmpty();
    assertThat(state.withReported(4).lastWindowId()).isEqualTo(4);
  }

  @Test
  void anOrderThatMayHaveBeenSentIsNotReplaced() {
    ScaleDutyState state =
        ScaleDutyState.INITIAL.withDesired(List.of(new DesiredCount("p", "z", 3)));
    assertThat(state.withDesired(List.of(new DesiredCount("p", "z", 5)))).isEqualTo(state);
    assertThat(
            state.withDone("p", "z").withDesired(List.of(new DesiredCount("p", "z", 5))).orders())
        .containsExactly(new ScaleIntent("p", "z", 5, false));
  }
}
