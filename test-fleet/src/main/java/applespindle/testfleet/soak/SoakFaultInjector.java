package applespindle.testfleet.soak;

import applespindle.testfleet.EmulatedWorkers;
import applespindle.testfleet.Fleet;
import applespindle.testfleet.Fleet.Member;
import applespindle.testfleet.History;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Does to a fleet what a plan says, and heals it again. */
final class SoakFaultInjector {
  private record Step(long atMs, SoakFault trouble, boolean begins) {}

  private final Fleet fleet;
  private final NetworkFaults links;
  private final InvariantCounters invariants;
  private final Map<String, DutyCycle> dutyCycles = new HashMap<>();

  SoakFaultInjector(Fleet fleet, NetworkFaults links, InvariantCounters invariants) {
    this.fleet = fleet;
    this.links = links;
    this.invariants = invariants;
  }

  /** Returns once the last trouble is healed; killed processes are then started, not yet ready. */
  void run(SoakPlan plan) throws IOException, InterruptedException {
    long begunAt = EmulatedWorkers.nowMs();
    // More is broken at a time than the brief asks to survive in time; nothing else is excused.
    note("beyond-begins");
    for (Step step : steps(plan)) {
      TimeUnit.MILLISECONDS.sleep(Math.max(0, begunAt + step.atMs() - EmulatedWorkers.nowMs()));
      note((step.begins() ? "begin " : "end ") + step.trouble());
      if (step.begins()) {
        begin(step.trouble());
      } else {
        end(step.trouble());
      }
    }
    note("beyond-ends");
  }

  private static List<Step> steps(SoakPlan plan) {
    List<Step> steps = new ArrayList<>();
    for (SoakFault trouble : plan.troubles()) {
      steps.add(new Step(trouble.fromMs(), trouble, true));
      steps.add(new Step(trouble.untilMs(), trouble, false));
    }
    steps.sort(Comparator.comparingLong(Step::atMs).thenComparing(Step::begins));
    return steps;
  }

  private void note(String what) {
    fleet.history.add(EmulatedWorkers.nowMs(), History.Kind.FAULT, what, "", "", 0);
  }

  private void begin(SoakFault trouble) throws IOException {
    Member target = fleet.member(trouble.target());
    switch (trouble.kind()) {
      case KILL -> {
        invariants.read(target);
        target.kill();
      }
      case PAUSE -> target.freeze();
      case STARVE -> dutyCycles.put(target.name, new DutyCycle(target));
      default -> links.begin(trouble);
    }
  }

  private void end(SoakFault trouble) throws IOException {
    Member target = fleet.member(trouble.target());
    switch (trouble.kind()) {
      case KILL -> target.start();
      case PAUSE -> target.wake();
      case STARVE -> dutyCycles.remove(target.name).close();
      default -> links.end(trouble);
    }
  }
}
