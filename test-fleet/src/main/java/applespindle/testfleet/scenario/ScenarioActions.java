package applespindle.testfleet.scenario;

import applespindle.testfleet.clients.SimulatedFleet;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.List;

/**
 * Performs the actions of a scenario on a simulated fleet and notes each in the history. The target
 * of the last one is kept, as later actions may refer to it by the word "last".
 */
final class ScenarioActions {
  private static final String ALL_OF = "all-";
  private static final String MACHINE = "machine-";
  private static final String ZONE = "zone-";

  private final SimulatedFleet fleet;
  private final Simulation simulation;
  private final ProcessActions processes;
  private final NetworkActions network;
  private final ControlPlaneActions controlPlane;
  private final TrafficActions traffic;

  /** Null until an action had a process as its target. */
  private SimulatedProcess lastTarget;

  ScenarioActions(SimulatedFleet fleet) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
    this.processes = new ProcessActions(simulation);
    this.network = new NetworkActions(simulation);
    this.controlPlane = new ControlPlaneActions(fleet);
    this.traffic = new TrafficActions(fleet);
  }

  SimulatedProcess lastTarget() {
    return lastTarget;
  }

  /** Performs an action now, on each process if its target names a group of them. */
  void perform(ScenarioAction action) {
    lastTarget = perform(action, lastTarget);
  }

  /** Returns the target that the word "last" stands for from now on. */
  private SimulatedProcess perform(ScenarioAction action, SimulatedProcess last) {
    String[] words = action.words();
    simulation.history.add(
        simulation.simulatedNowMs(), Kind.FAULT, String.join(" ", words), "", "", 0);
    List<String> group = words.length < 2 ? List.of() : group(words[1]);
    if (!group.isEmpty()) {
      return performOnGroup(action, group, last);
    }
    SimulatedProcess target = target(words, last);
    boolean known =
        isMarker(action)
            || processes.perform(action, target)
            || network.perform(action, target, last)
            || controlPlane.perform(action)
            || traffic.perform(action);
    if (!known) {
      throw new UnreadableLineException(action.line(), action.text());
    }
    boolean keepsLast = target == null || action.verb().equals("leave") && last != null;
    return keepsLast ? last : target;
  }

  /** Only the checker reads markers, from the history. */
  private static boolean isMarker(ScenarioAction action) {
    return action.verb().equals("beyond-begins") || action.verb().equals("beyond-ends");
  }

  private SimulatedProcess performOnGroup(
      ScenarioAction action, List<String> group, SimulatedProcess last) {
    SimulatedProcess latest = last;
    for (String name : group) {
      if (!action.verb().equals("start") || !simulation.processes.get(name).alive()) {
        latest = perform(action.withTarget(name), latest);
      }
    }
    return latest;
  }

  /**
   * Processes that fail together: all of a kind, those of one machine with a disk, or those of a
   * zone. Empty if the word names no group.
   */
  private List<String> group(String word) {
    return simulation.processes.values().stream()
        .filter(process -> belongsTo(process, word))
        .map(process -> process.name)
        .toList();
  }

  private static boolean belongsTo(SimulatedProcess process, String group) {
    if (group.startsWith(ALL_OF)) {
      return process.name.startsWith(group.substring(ALL_OF.length()));
    }
    if (group.startsWith(MACHINE)) {
      String number = group.substring(MACHINE.length());
      return process.name.equals("core-" + number) || process.name.equals("edge-" + number);
    }
    return group.startsWith(ZONE) && process.zone.equals(group);
  }

  private SimulatedProcess target(String[] words, SimulatedProcess last) {
    if (words.length < 2) {
      return null;
    }
    return words[1].equals("last") ? last : fleet.target(words[1]);
  }
}
