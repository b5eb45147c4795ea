package applespindle.testfleet.scenario;

import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.Arrays;
import java.util.List;

/** Faults of the network: links that are cut or stalled, and their repair. */
final class NetworkActions {
  private static final List<String> CONTROL_PLANE = List.of("core-1", "core-2", "core-3");

  private final Simulation simulation;

  NetworkActions(Simulation simulation) {
    this.simulation = simulation;
  }

  /**
   * Performs the action if it is one of the network; returns whether it was.
   *
   * @param last the target of the action before, which the word "last" stands for
   */
  boolean perform(ScenarioAction action, SimulatedProcess target, SimulatedProcess last) {
    String[] words = action.words();
    switch (words[0]) {
      case "isolate" -> simulation.isolate(target.name);
      case "hold" -> stallLinksToEdges(target);
      case "cut" -> simulation.cutLink(words[1], words[2]);
      case "cut-one-way" -> simulation.cutOneWay(words[1], words[2]);
      case "leave" -> isolateExceptFrom(target, words, last);
      case "cut-off" -> cutOffControlPlane(Arrays.asList(words));
      case "split" -> split(Arrays.asList(words));
      case "cut-in" ->
          others(target, words[2]).forEach(name -> simulation.cutOneWay(name, target.name));
      case "cut-out" ->
          others(target, words[2]).forEach(name -> simulation.cutOneWay(target.name, name));
      case "cut-both" ->
          others(target, words[2]).forEach(name -> simulation.cutLink(target.name, name));
      case "flap" ->
          flap(
              target,
              ScenarioParser.seconds(words[2]),
              ScenarioParser.seconds(words[3]),
              simulation.simulatedNowMs() + ScenarioParser.seconds(words[4]));
      case "heal" -> simulation.healLinks();
      default -> {
        return false;
      }
    }
    return true;
  }

  private void stallLinksToEdges(SimulatedProcess target) {
    simulation.processes.keySet().stream()
        .filter(name -> name.startsWith("edge") && !name.equals(target.name))
        .forEach(name -> simulation.stallLink(target.name, name));
  }

  /** Only the processes named after the target can still reach it. */
  private void isolateExceptFrom(SimulatedProcess target, String[] words, SimulatedProcess last) {
    List<String> kept =
        Arrays.stream(words).skip(2).map(name -> name.equals("last") ? last.name : name).toList();
    simulation.processes.keySet().stream()
        .filter(name -> !name.equals(target.name) && !kept.contains(name))
        .forEach(name -> simulation.cutLink(target.name, name));
  }

  /** Parts the named processes, or all others if none is named, from the control plane. */
  private void cutOffControlPlane(List<String> words) {
    simulation.processes.keySet().stream()
        .filter(name -> !name.startsWith("core") && (words.size() == 1 || words.contains(name)))
        .forEach(name -> CONTROL_PLANE.forEach(node -> simulation.cutLink(name, node)));
  }

  /** Parts the named processes from all others; they still reach each other. */
  private void split(List<String> words) {
    simulation.processes.keySet().stream()
        .filter(name -> !words.contains(name))
        .forEach(name -> words.stream().skip(1).forEach(part -> simulation.cutLink(name, part)));
  }

  /** All other processes of a role, or of every role for the word "all". */
  private List<String> others(SimulatedProcess target, String role) {
    return simulation.processes.values().stream()
        .filter(other -> other != target && (role.equals("all") || other.role.equals(role)))
        .map(other -> other.name)
        .toList();
  }

  /** Isolates a process and connects it again, over and over. */
  private void flap(SimulatedProcess target, long cutMs, long connectedMs, long untilMs) {
    if (simulation.simulatedNowMs() >= untilMs) {
      return;
    }
    simulation.isolate(target.name);
    simulation.afterMs(
        cutMs,
        () -> {
          simulation.healLinks();
          simulation.afterMs(connectedMs, () -> flap(target, cutMs, connectedMs, untilMs));
        });
  }
}
