package applespindle.corelogic.membership;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import applespindle.corelogic.metadata.QuorumMember;
import java.util.List;
import org.junit.jupiter.api.Test;

class ZoneSpreadTest {
  private static QuorumMember member(String name, String zone) {
    return new QuorumMember("id-" + name, name + ":1", name + ":2", zone, name);
  }

  private static final QuorumMember A1 = member("a1", "a");
  private static final QuorumMember A2 = member("a2", "a");
  private static final QuorumMember B1 = member("b1", "b");
  private static final QuorumMember B2 = member("b2", "b");
  private static final QuorumMember C1 = member("c1", "c");

  @Test
  void takesOneOfEachZoneInTurn() {
    assertThat(ZoneSpread.choose(List.of(B2, A2, B1, C1, A1), 5, A1))
        .containsExactly(A1, B1, C1, A2, B2)
        .inOrder();
  }

  @Test
  void beginsWithThePreferredCandidateAndItsZone() {
    assertThat(ZoneSpread.choose(List.of(A1, A2, B1, B2, C1), 3, B2))
        .containsExactly(B2, A1, C1)
        .inOrder();
  }

  @Test
  void choosesOnlyCandidates() {
    assertThat(ZoneSpread.choose(List.of(A1, B1), 1, C1)).containsExactly(A1);
    assertThrows(IllegalArgumentException.class, () -> ZoneSpread.choose(List.of(A1, B1), 3, A1));
  }
}
