package applespindle.corelogic.controlplane;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.constants.DutyConstants;
import applespindle.corelogic.duty.DesiredCount;
import applespindle.corelogic.duty.ScaleDutyState;
import applespindle.corelogic.duty.ScaleIntent;
import applespindle.corelogic.environment.PlatformCall;
import applespindle.corelogic.environment.PlatformCall.ScaleOrder;
import applespindle.corelogic.environment.PlatformCallResult;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ScaleDutyTaskTest {
  private List<DesiredCount> desired = List.of();
  private final DutyFleet<ScaleDutyState> fleet =
      new DutyFleet<>(node -> new ScaleDutyTask(() -> desired));

  private static PlatformCall order(String holder, long fence, String zone, int count) {
    return new ScaleOrder(holder, fence, "pool", zone, count);
  }

  private void want(String zone, int count) {
    desired = List.of(new DesiredCount("pool", zone, count));
  }

  private void answer(PlatformCallResult result) {
    fleet.answer(result);
    fleet.runCalmly(1_000);
  }

  @Test
  void nothingIsOrderedWithoutAdvice() {
    fleet.elect("a", 0);
    fleet.runCalmly(5_000);
    assertThat(fleet.made).isEmpty();
    assertThat(fleet.committed.orders()).isEmpty();
  }

  @Test
  void anOrderIsSentWhenTheNumberDiffersFromTheLastOne() {
    fleet.elect("a", 0);
    want("z", 6);
    fleet.runCalmly(1_000);
    answer(PlatformCallResult.ACCEPTED);
    want("z", 6);
    fleet.runCalmly(1_000);
    want("z", 7);
    fleet.runCalmly(1_000);
    answer(PlatformCallResult.ACCEPTED);
    want("y", 7);
    fleet.runCalmly(1_000);
    assertThat(fleet.made)
        .containsExactly(order("a", 1, "z", 6), order("a", 1, "z", 7), order("a", 1, "y", 7))
        .inOrder();
  }

  @Test
  void anOrderWithAnUnknownOutcomeIsRepeatedBeforeANewerOne() {
    fleet.elect("a", 0);
    want("z", 6);
    fleet.runCalmly(1_000);
    want("z", 9);
    answer(PlatformCallResult.UNKNOWN);
    answer(PlatformCallResult.ACCEPTED);
    fleet.runCalmly(1_000);
    assertThat(fleet.made)
        .containsExactly(order("a", 1, "z", 6), order("a", 1, "z", 6), order("a", 1, "z", 9))
        .inOrder();
  }

  @Test
  void aSuccessorFinishesAnOpenOrderAndRepeatsNoMarkedOne() {
    fleet.elect("a", 0);
    want("z", 6);
    fleet.runCalmly(1_000);
    fleet.moveTo("b");
    fleet.runCalmly(1_000);
    assertThat(fleet.made).containsExactly(order("a", 1, "z", 6), order("b", 2, "z", 6)).inOrder();
    fleet.openCalls.remove();
    answer(PlatformCallResult.ACCEPTED);
    fleet.runCalmly(DutyConstants.MARK_DELAY_MS + 500);
    assertThat(fleet.committed.orders()).containsExactly(new ScaleIntent("pool", "z", 6, true));
    fleet.moveTo("c");
    fleet.runCalmly(1_000);
    assertThat(fleet.made).hasSize(2);
  }

  @Test
  void aRejectedOrderIsFinished() {
    fleet.elect("a", 0);
    want("z", 100);
    fleet.runCalmly(1_000);
    answer(PlatformCallResult.REJECTED);
    fleet.runCalmly(10_000);
    assertThat(fleet.made).hasSize(1);
    want("z", 20);
    fleet.runCalmly(1_000);
    assertThat(fleet.made).hasSize(2);
  }
}
