package applespindle.corelogic.protocol;

import static com.google.common.truth.Truth.assertThat;

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

  @Test
  void wireNamesAreThoseOfTheFirstVersion() {
    assertThat(Arrays.stream(Operation.values()).map(Operation::wireName).toList())
        .containsExactlyElementsIn(WIRE_NAMES);
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
