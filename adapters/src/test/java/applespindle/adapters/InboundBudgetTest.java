package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against large frames of many peers at once filling the heap: each frame was bounded, their
 * sum was not.
 */
final class InboundBudgetTest {
  private final InboundBudget budget = new InboundBudget(100);
  private final List<String> reserved = new ArrayList<>();

  private void reserve(String name, int bytes) {
    budget.reserve(bytes, () -> reserved.add(name));
  }

  @Test
  void framesBeyondTheLimitWaitInOrder() {
    reserve("a", 60);
    reserve("b", 60);
    reserve("c", 30);
    assertThat(reserved).containsExactly("a");
    assertThat(budget.reservedBytes()).isEqualTo(60);
    assertThat(budget.waits()).isEqualTo(2);
    budget.release(60);
    assertThat(reserved).containsExactly("a", "b", "c").inOrder();
    assertThat(budget.reservedBytes()).isEqualTo(90);
  }

  @Test
  void aFrameLargerThanTheLimitIsReadAlone() {
    reserve("small", 10);
    reserve("large", 500);
    assertThat(reserved).containsExactly("small");
    budget.release(10);
    assertThat(reserved).containsExactly("small", "large");
    reserve("next", 1);
    assertThat(reserved).hasSize(2);
    budget.release(500);
    assertThat(reserved).hasSize(3);
    budget.release(1);
    assertThat(budget.reservedBytes()).isEqualTo(0);
  }
}
