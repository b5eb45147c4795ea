package applespindle.testfleet.scenario;

import applespindle.testfleet.simulation.SimulatedPlatform;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/** Faults of single processes, their disks and their clocks. */
final class ProcessActions {
  private static final long RESTART_DELAY_MS = 1_000;

  private final Simulation simulation;

  ProcessActions(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Performs the action if it is one of processes; returns whether it was. */
  boolean perform(ScenarioAction action, SimulatedProcess target) {
    String[] words = action.words();
    switch (words[0]) {
      case "kill" -> target.kill(false);
      case "power-loss" -> target.kill(true);
      case "power-loss-torn" -> target.kill(true, true);
      case "destroy" -> {
        target.kill(true);
        target.destroyed = true;
      }
      case "lose-disk" -> {
        target.kill(true);
        target.loseDisk();
      }
      case "start" -> target.start();
      case "freeze" -> target.freeze();
      case "wake" -> target.wake();
      case "stop" -> stop(target);
      case "reset" -> target.resetConnections();
      case "stall-disk" -> target.stallDisk(ScenarioParser.seconds(words[2]));
      case "refuse-writes" -> target.refuseWrites(ScenarioParser.seconds(words[2]));
      case "jump-clock" -> target.shiftClock(ScenarioParser.seconds(words[2]));
      case "step-wall-clock" -> target.stepWallClock(ScenarioParser.seconds(words[2]));
      case "slow" -> target.slowDown((long) (1000 * Double.parseDouble(words[2])));
      case "stop-in-turn" ->
          stopInTurn(Arrays.stream(words).skip(2).toList(), ScenarioParser.seconds(words[1]));
      default -> {
        return false;
      }
    }
    return true;
  }

  /** The process ends once its node says that it is done; it is not killed after a grace period. */
  private void stop(SimulatedProcess process) {
    boolean[] ended = new boolean[1];
    Runnable end =
        () -> {
          if (!ended[0]) {
            ended[0] = true;
            simulation.afterMs(1, () -> process.kill(false));
          }
        };
    process.markStopping();
    simulation.call(
        process,
        (Consumer<Object> then) -> process.node().stop(end),
        new Simulation.Caller<>() {
          @Override
          public void answered(Object answer) {}

          @Override
          public void broken(boolean neverReached) {}
        });
  }

  /**
   * Stops one process after the other. Each is started again a second after its end, and the next
   * one follows after the pause.
   */
  private void stopInTurn(List<String> names, long pauseMs) {
    if (names.isEmpty()) {
      return;
    }
    SimulatedProcess process = simulation.processes.get(names.get(0));
    List<String> rest = names.subList(1, names.size());
    Runnable restart =
        () -> {
          process.start();
          simulation.afterMs(pauseMs, () -> stopInTurn(rest, pauseMs));
        };
    process.stopGracefully(
        SimulatedPlatform.GRACE_MS, () -> simulation.afterMs(RESTART_DELAY_MS, restart));
  }
}
