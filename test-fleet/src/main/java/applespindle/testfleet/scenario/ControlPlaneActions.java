package applespindle.testfleet.scenario;

import applespindle.testfleet.clients.SimulatedFleet;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.Simulation;

/** What operators do to the control plane: members, storage nodes and configurations. */
final class ControlPlaneActions {
  private static final String FIRST_NODE = "core-1";

  private final SimulatedFleet fleet;
  private final Simulation simulation;

  ControlPlaneActions(SimulatedFleet fleet) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
  }

  /** Performs the action if it is one of operators; returns whether it was. */
  boolean perform(ScenarioAction action) {
    return performOnNodes(action) || performOnConfiguration(action) || performOnRoutes(action);
  }

  private boolean performOnNodes(ScenarioAction action) {
    String[] words = action.words();
    switch (words[0]) {
      case "expect-member" -> {
        if (!fleet.memberNames().contains(words[1])) {
          fleet.unmetExpectations.add(
              "expected " + words[1] + " to be a core member: " + action.text());
        }
      }
      case "expect-members-alive" -> {
        long alive =
            fleet.memberNames().stream()
                .filter(name -> simulation.processes.get(name).alive())
                .count();
        if (alive != Long.parseLong(words[1])) {
          fleet.unmetExpectations.add(
              "expected " + words[1] + " living core members, were " + alive);
        }
      }
      case "add" -> fleet.add(words[1], words[2]);
      case "empty" -> fleet.markStorage(words[1], "emptying");
      case "retire" -> fleet.markStorage(words[1], "retired");
      case "leaving" -> fleet.markLeaving(words[1]);
      default -> {
        return false;
      }
    }
    return true;
  }

  private boolean performOnConfiguration(ScenarioAction action) {
    String[] words = action.words();
    switch (words[0]) {
      case "bundle-way" ->
          fleet.sendConfiguration(
              Long.parseLong(words[1]),
              fleet.deployment.configuration(Long.parseLong(words[1]), words[2], words[3]),
              words.length > 4 ? words[4] : FIRST_NODE);
      case "bundle" ->
          fleet.sendConfiguration(
              Long.parseLong(words[1]),
              fleet.deployment.configuration(Long.parseLong(words[1])),
              words.length > 2 ? words[2] : FIRST_NODE);
      case "bundle-set" -> sendChangedConfiguration(action);
      case "conflicting-bundles" -> sendConflictingConfigurations(Long.parseLong(words[1]));
      default -> {
        return false;
      }
    }
    return true;
  }

  private boolean performOnRoutes(ScenarioAction action) {
    String[] words = action.words();
    switch (words[0]) {
      case "changes" ->
          sendChanges(
              ScenarioParser.seconds(words[1]),
              simulation.simulatedNowMs() + ScenarioParser.seconds(words[2]));
      case "change" -> fleet.operators.change();
      case "change-race" -> fleet.operators.race();
      case "change-key" -> fleet.operators.withdrawKey();
      case "change-key-moves" -> fleet.operators.moveKey();
      case "change-shared-key" -> fleet.operators.sharedKey();
      case "change-invalid" -> fleet.operators.invalid();
      case "orders" -> fleet.operators.orders(Integer.parseInt(words[1]), Long.parseLong(words[2]));
      case "orders-again" -> fleet.operators.resend(Integer.parseInt(words[1]));
      case "lose-calls" -> fleet.operators.callsLostPercent = Integer.parseInt(words[1]);
      default -> {
        return false;
      }
    }
    return true;
  }

  /** Sends a configuration in which the named numbers have other values. */
  private void sendChangedConfiguration(ScenarioAction action) {
    String[] words = action.words();
    long revision = Long.parseLong(words[1]);
    String configuration = fleet.deployment.configuration(revision);
    for (int index = 2; index < words.length; index += 2) {
      String field = words[index];
      String value = words[index + 1];
      String changed =
          configuration.replaceAll("\"" + field + "\": [^,}]*", "\"" + field + "\": " + value);
      if (changed.equals(configuration)) {
        throw new UnreadableLineException(action.line(), action.text());
      }
      configuration = changed;
      if (field.equals("waitingItemsMost")) {
        simulation.history.add(
            simulation.simulatedNowMs(), Kind.CEILING, "", "", "", Long.parseLong(value));
      }
    }
    fleet.sendConfiguration(revision, configuration, FIRST_NODE);
  }

  /** Sends two different configurations of one revision to two nodes. */
  private void sendConflictingConfigurations(long revision) {
    String configuration = fleet.deployment.configuration(revision);
    fleet.sendConfiguration(revision, configuration, FIRST_NODE);
    fleet.sendConfiguration(
        revision, configuration.replace("\"queueMost\": 100", "\"queueMost\": 99"), "core-2");
  }

  /** Operators send one change after the other. */
  private void sendChanges(long everyMs, long untilMs) {
    if (simulation.simulatedNowMs() >= untilMs) {
      return;
    }
    fleet.operators.change();
    simulation.afterMs(everyMs, () -> sendChanges(everyMs, untilMs));
  }
}
