package applespindle.testfleet.soak;

import applespindle.testfleet.deployment.EmulatedWorkers;
import applespindle.testfleet.history.History;
import applespindle.testfleet.processes.Fleet;
import applespindle.testfleet.processes.Fleet.Member;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Injects the faults of a plan into a fleet and heals them again. */
final class SoakFaultInjector {
  private record Step(long atMs, SoakFault fault, boolean begins) {}

  private final Fleet fleet;
  private final NetworkFaults links;
  private final InvariantCounters invariants;
  private final Map<String, DutyCycle> dutyCycles = new HashMap<>();

  SoakFaultInjector(Fleet fleet, NetworkFaults links, InvariantCounters invariants) {
    this.fleet = fleet;
    this.links = links;
    this.invariants = invariants;
  }

  /** Returns once the last fault is healed; processes that were killed may not be ready yet. */
  void run(SoakPlan plan) throws IOException, InterruptedException {
    long begunAt = EmulatedWorkers.nowMs();
    // More faults overlap than the requirements on latency cover; only those are not checked.
    note("beyond-begins");
    for (Step step : steps(plan)) {
      TimeUnit.MILLISECONDS.sleep(Math.max(0, begunAt + step.atMs() - EmulatedWorkers.nowMs()));
      note((step.begins() ? "begin " : "end ") + step.fault());
      if (step.begins()) {
        begin(step.fault());
      } else {
        end(step.fault());
      }
    }
    note("beyond-ends");
  }

  private static List<Step> steps(SoakPlan plan) {
    List<Step> steps = new ArrayList<>();
    for (SoakFault fault : plan.faults()) {
      steps.add(new Step(fault.fromMs(), fault, true));
      steps.add(new Step(fault.untilMs(), fault, false));
    }
    steps.sort(Comparator.comparingLong(Step::atMs).thenComparing(Step::begins));
    return steps;
  }

  private void note(String what) {
    fleet.history.add(EmulatedWorkers.nowMs(), History.Kind.FAULT, what, "", "", 0);
  }

  private void begin(SoakFault fault) throws IOException {
    Member target = fleet.member(fault.target());
    switch (fault.kind()) {
      case KILL -> {
        invariants.read(target);
        target.kill();
      }
      case PAUSE -> target.freeze();
      case STARVE -> dutyCycles.put(target.name, new DutyCycle(target));
      default -> links.begin(fault);
    }
  }

  private void end(SoakFault fault) throws IOException {
    Member target = fleet.member(fault.target());
    switch (fault.kind()) {
      case KILL -> target.start();
      case PAUSE -> target.wake();
      case STARVE -> dutyCycles.remove(target.name).close();
      default -> links.end(fault);
    }
  }
}
