package applespindle.corelogic.protocol;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class OperationTest {
  private static final List<String> WIRE_NAMES =
      List.of(
          "submit",
          "get",
          "results",
          "opaque-results",
          "opaque-item",
          "end",
          "remove",
          "grant",
          "leave",
          "read",
          "bundle",
          "patch-bundle",
          "worker",
          "list-version",
          "room",
          "copied",
          "storage-id",
          "storage",
          "storage-place",
          "copy",
          "peek",
          "claim",
          "unclaim",
          "");

  /** Added later; these do not change either. */
  private static final List<String> LATER_WIRE_NAMES = List.of("usage", "demand");

  @Test
  void wireNamesAreThoseOfTheFirstVersionAndThoseAddedLater() {
    List<String> names = new ArrayList<>(WIRE_NAMES);
    names.addAll(LATER_WIRE_NAMES);
    assertThat(Arrays.stream(Operation.values()).map(Operation::wireName).toList())
        .containsExactlyElementsIn(names);
  }

  @Test
  void aWireNameIsReadBack() {
    for (Operation operation : Operation.values()) {
      assertThat(Operation.ofWireName(operation.wireName())).isEqualTo(operation);
    }
  }

  @Test
  void anUnknownNameIsNoError() {
    assertThat(Operation.ofWireName("of-a-later-version")).isEqualTo(Operation.UNKNOWN);
  }
}
