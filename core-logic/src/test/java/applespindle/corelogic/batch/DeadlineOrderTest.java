package applespindle.corelogic.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class DeadlineOrderTest {
  private final DeadlineOrder order = new DeadlineOrder(10_000, 1_300);

  private List<Long> sorted(long... dueAt) {
    return LongStream.of(dueAt).boxed().sorted(order::compare).toList();
  }

  @Test
  void theEarliestDeadlineComesFirst() {
    assertThat(sorted(15_000, 12_000, 13_000)).containsExactly(12_000L, 13_000L, 15_000L).inOrder();
  }

  @Test
  void workThatIsCertainToBeLateComesAfterWorkDueSoon() {
    assertThat(sorted(11_000, 11_299, 11_300, 13_999))
        .containsExactly(11_300L, 13_999L, 11_000L, 11_299L)
        .inOrder();
  }

  /** New work comes all the time; none of it goes before late work for ever. */
  @Test
  void lateWorkComesBeforeWorkDueMuchLater() {
    assertThat(sorted(18_000, 9_000, 12_001)).containsExactly(9_000L, 12_001L, 18_000L).inOrder();
  }

  @Test
  void isATotalOrder() {
    Random random = new Random(1);
    long[] dueAt = random.longs(500, 5_000, 20_000).toArray();
    assertThat(sorted(dueAt)).hasSize(500);
    assertThat(order.compare(12_000, 12_000)).isEqualTo(0);
  }
}
