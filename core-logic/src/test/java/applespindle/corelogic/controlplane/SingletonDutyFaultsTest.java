package applespindle.corelogic.controlplane;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.duty.ClosedWindow;
import applespindle.corelogic.duty.UsageDutyState;
import applespindle.corelogic.environment.PlatformCall;
import applespindle.corelogic.environment.PlatformCall.UsageReport;
import applespindle.corelogic.environment.PlatformCallResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Random orders of commits, confirmations, calls, answers, changes of the leader, deposed leaders
 * that do not know it, restarts and time. The platform's side is judged: one content for a window,
 * no fencing token of two holders, no holder back within a lease, and in the end every window.
 */
final class SingletonDutyFaultsTest {
  private static final int SEEDS = 3_000;
  private static final int STEPS = 150;
  private static final List<String> NODES = List.of("a", "b", "c");

  private record Turn(String holder, long atMs) {}

  @Test
  void thePlatformSeesOneContentRisingFencesAndNoQuickReturn() {
    int turnsSeen = 0;
    for (long each = 0; each < SEEDS; each++) {
      Run run = new Run(each);
      run.playWithFaults();
      run.playCalmly();
      turnsSeen += run.turns.size();
    }
    assertThat(turnsSeen).isGreaterThan(SEEDS);
  }

  /** One run of a seed. */
  private static final class Run {
    private final SplittableRandom random;
    private final long seed;
    private final DutyFleet<UsageDutyState> fleet;
    private final List<DutyFleet<UsageDutyState>.Leadership> leaderships = new ArrayList<>();
    private long lastClosed;

    /** Rises with each count, so that a window that is counted again differs. */
    private long counts;

    // The platform's side.
    private final Map<Long, Map<String, Long>> taken = new HashMap<>();
    private final Map<Long, String> holderOfFence = new HashMap<>();
    private final List<Turn> turns = new ArrayList<>();
    private long highestFence;

    Run(long seed) {
      this.seed = seed;
      this.random = new SplittableRandom(seed);
      this.fleet = new DutyFleet<>(node -> new UsageDutyTask((after, now) -> window(after)));
    }

    private Optional<ClosedWindow> window(long after) {
      return after >= lastClosed
          ? Optional.empty()
          : Optional.of(new ClosedWindow(after + 1, new TreeMap<>(Map.of("tenant", ++counts))));
    }

    private void playWithFaults() {
      changeLeader();
      for (int index = 0; index < STEPS; index++) {
        step();
      }
    }

    private void step() {
      switch (random.nextInt(16)) {
        case 0 -> changeLeader();
        case 1 -> fleet.restart(NODES.get(random.nextInt(NODES.size())));
        case 2 -> lastClosed++;
        case 3, 4, 5 -> fleet.environment.run(random.nextInt(400));
        case 6 -> fleet.environment.freeze(random.nextInt(4_000));
        case 7, 8 -> leaderships.forEach(each -> each.duty.tick());
        case 9, 10, 11 -> commitOrFail();
        case 12, 13 -> {
          if (!fleet.confirmations.isEmpty()) {
            fleet.confirmNext();
          }
        }
        default -> deliverCall();
      }
    }

    private void changeLeader() {
      for (DutyFleet<UsageDutyState>.Leadership each : leaderships) {
        each.believesToLead &= random.nextInt(3) > 0;
      }
      String node = NODES.get(random.nextInt(NODES.size()));
      leaderships.stream()
          .filter(each -> each.duty == fleet.duty(node))
          .forEach(each -> each.believesToLead = false);
      fleet.elect(node, random.nextInt(fleet.pendingAppends() + 1));
      leaderships.add(fleet.leader);
    }

    private void commitOrFail() {
      if (fleet.pendingAppends() == 0) {
        return;
      }
      if (random.nextInt(6) == 0) {
        fleet.failNextAppend();
      } else {
        fleet.commitNext();
      }
    }

    /** The call arrives or is lost, and so is its answer; a call may also arrive late or twice. */
    private void deliverCall() {
      if (fleet.openCalls.isEmpty()) {
        return;
      }
      DutyFleet.OpenCall open = fleet.openCalls.remove();
      switch (random.nextInt(6)) {
        case 0 -> open.then().accept(PlatformCallResult.UNKNOWN);
        case 1 -> {
          receive(open.call());
          open.then().accept(PlatformCallResult.UNKNOWN);
        }
        case 2 -> fleet.openCalls.add(open);
        default -> open.then().accept(receive(open.call()));
      }
    }

    private PlatformCallResult receive(PlatformCall call) {
      String known = holderOfFence.putIfAbsent(call.fence(), call.holder());
      assertWithMessage("seed %s: holder of fence %s", seed, call.fence())
          .that(call.holder())
          .isEqualTo(known == null ? call.holder() : known);
      if (call.fence() < highestFence) {
        return PlatformCallResult.FENCED;
      }
      highestFence = call.fence();
      checkTurn(call.holder());
      UsageReport report = (UsageReport) call;
      Map<String, Long> before = taken.putIfAbsent(report.windowId(), report.counters());
      assertWithMessage("seed %s: window %s", seed, report.windowId())
          .that(report.counters())
          .isEqualTo(before == null ? report.counters() : before);
      return PlatformCallResult.ACCEPTED;
    }

    private void checkTurn(String holder) {
      long now = fleet.environment.nowMs();
      if (!turns.isEmpty() && turns.get(turns.size() - 1).holder().equals(holder)) {
        turns.set(turns.size() - 1, new Turn(holder, now));
        return;
      }
      for (Turn turn : turns) {
        assertWithMessage("seed %s: %s is back after %s ms", seed, holder, now - turn.atMs())
            .that(turn.holder().equals(holder) && now - turn.atMs() < DutyFleet.LEASE_MS)
            .isFalse();
      }
      turns.add(new Turn(holder, now));
    }

    private void playCalmly() {
      leaderships.forEach(each -> each.believesToLead &= each == fleet.leader);
      for (int index = 0; index < 400 && taken.size() < lastClosed; index++) {
        while (!fleet.openCalls.isEmpty()) {
          DutyFleet.OpenCall open = fleet.openCalls.remove();
          open.then().accept(receive(open.call()));
        }
        fleet.runCalmly(50);
      }
      assertWithMessage("seed %s: windows", seed).that(taken).hasSize((int) lastClosed);
    }
  }
}
