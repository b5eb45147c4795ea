package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.memory.HolderAccount;
import applespindle.corelogic.memory.MemoryHolder;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against large frames of many peers, or bodies of many clients, filling the heap: each was
 * bounded, their sum was not.
 */
final class ByteBudgetTest {
  private static final long MEGABYTE = 1_000_000;

  private ByteBudget budget = ByteBudget.ofPatientSenders(10 * MEGABYTE);
  private final Map<String, ByteBudget.Reservation> reserved = new LinkedHashMap<>();

  private void reserve(String name, long bytes) {
    budget.reserve(
        bytes,
        reservation -> reserved.put(name, reservation),
        () -> {
          throw new AssertionError("refused " + name);
        });
  }

  private List<String> inOrder() {
    return new ArrayList<>(reserved.keySet());
  }

  @Test
  void whatIsBeyondTheLimitWaitsInOrder() {
    reserve("a", 6 * MEGABYTE);
    reserve("b", 6 * MEGABYTE);
    reserve("c", 3 * MEGABYTE);
    assertThat(inOrder()).containsExactly("a");
    assertThat(budget.reservedBytes()).isEqualTo(6 * MEGABYTE);
    assertThat(budget.waits()).isEqualTo(2);
    reserved.get("a").release();
    reserved.get("a").release();
    assertThat(inOrder()).containsExactly("a", "b", "c").inOrder();
    assertThat(budget.reservedBytes()).isEqualTo(9 * MEGABYTE);
  }

  @Test
  void whatIsLargerThanTheLimitIsReservedAlone() {
    reserve("first", MEGABYTE);
    reserve("large", 50 * MEGABYTE);
    assertThat(inOrder()).containsExactly("first");
    reserved.get("first").release();
    reserve("next", MEGABYTE);
    assertThat(inOrder()).containsExactly("first", "large").inOrder();
    reserved.get("large").release();
    assertThat(inOrder()).contains("next");
    reserved.get("next").release();
    assertThat(budget.reservedBytes()).isEqualTo(0);
  }

  /** The small ones have an account of their own, and no more. */
  @Test
  void smallReservationsDoNotWaitBehindLargeOnes() {
    budget =
        new ByteBudget(
            null,
            HolderAccount.unshared(MemoryHolder.LARGE_BODIES, 10 * MEGABYTE),
            HolderAccount.unshared(MemoryHolder.SMALL_BODIES, 10 * MEGABYTE / 4),
            0);
    reserve("large", 10 * MEGABYTE);
    reserve("waiting", MEGABYTE);
    int small = 0;
    while (budget.waits() == 1) {
      reserve("small " + small++, 50_000);
    }
    assertThat(budget.reservedBytes()).isEqualTo(12_500_000);
    assertThat(small).isEqualTo(51);
    assertThat(inOrder()).doesNotContain("waiting");
  }
}
