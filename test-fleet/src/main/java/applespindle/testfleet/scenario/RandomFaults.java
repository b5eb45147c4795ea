package applespindle.testfleet.scenario;

import applespindle.testfleet.clients.SimulatedFleet;
import applespindle.testfleet.simulation.Simulation;
import java.util.List;

/**
 * Injects random faults into a simulated fleet, one after the other: each is repaired before the
 * next begins. The choices are drawn from the simulation's own seeded generator, so a seed always
 * gives the same faults.
 */
final class RandomFaults {
  private static final List<String> RANDOM_FAULTS =
      List.of(
          "kill leader / start last",
          "kill dispatcher / start last",
          "kill any-edge / start last",
          "kill any-core / start last",
          "kill any-storage / start last",
          "power-loss any-storage / start last",
          "power-loss any-core / start last",
          "freeze leader / wake last",
          "freeze dispatcher / wake last",
          "freeze any-core / wake last",
          "freeze any-storage / wake last",
          "isolate any-edge / heal",
          "isolate any-core / heal",
          "isolate any-storage / heal",
          "hold leader / heal",
          "stop any-edge / start last",
          "stop any-storage / start last",
          "stop any-core / start last",
          "stall-disk any-storage 3",
          "stall-disk any-core 3",
          "jump-clock any-edge 4",
          "jump-clock any-core 4",
          "worker w1 crashed / worker w1 well",
          "worker w2 dark / worker w2 well",
          "worker w3 vanished / worker w3 well",
          "worker w4 cuts / worker w4 well",
          "worker w5 garbage / worker w5 well",
          "worker w6 refuses / worker w6 well",
          "cut core-1 core-2 / heal",
          "cut core-2 core-3 / heal",
          "end-batch",
          "leaving w7",
          "bundle N",
          "kill machine-1 / start machine-1",
          "power-loss machine-2 / start machine-2",
          "freeze machine-3 / wake machine-3",
          "conflicting-bundles N",
          "cut-off / heal");

  /** Faults of a fleet that runs on a simulated platform with proxied workers. */
  private static final List<String> RANDOM_PLATFORM_FAULTS =
      List.of(
          "kill leader / start last",
          "kill dispatcher / start last",
          "kill any-edge / start last",
          "kill any-core / start last",
          "kill any-storage / start last",
          "power-loss any-storage / start last",
          "power-loss-torn any-core / start last",
          "kill owner:workers / start last",
          "kill owner:bundle / start last",
          "freeze owner:workers / wake last",
          "freeze leader / wake last",
          "freeze dispatcher / wake last",
          "freeze any-core / wake last",
          "freeze any-storage / wake last",
          "isolate any-edge / heal",
          "isolate any-core / heal",
          "isolate any-storage / heal",
          "hold leader / heal",
          "stop any-edge / start last",
          "stop any-storage / start last",
          "stop any-core / start last",
          "stall-disk any-storage 3",
          "stall-disk any-core 3",
          "refuse-writes any-storage 3",
          "refuse-writes any-core 3",
          "jump-clock any-edge 4",
          "jump-clock any-core 4",
          "jump-clock any-storage -3",
          "reset any-edge",
          "reset any-core",
          "reset any-storage",
          "slow any-edge 3 / slow last 0",
          "slow any-core 3 / slow last 0",
          "slow any-storage 3 / slow last 0",
          "cut-one-way core-1 core-2 / heal",
          "cut-one-way core-3 edge-1 / heal",
          "cut-one-way edge-2 core-1 / heal",
          "cut-one-way edge-1 edge-3 / heal",
          "cut-one-way storage-1 edge-2 / heal",
          "cut core-2 core-3 / heal",
          "cut-off / heal",
          "kill machine-1 / start machine-1",
          "power-loss machine-2 / start machine-2",
          "freeze machine-3 / wake machine-3",
          "change",
          "change",
          "change-race",
          "change-race",
          "change-invalid",
          "probe-routes",
          "end-proxied-batch",
          "end-proxied-batch",
          "proxied-worker any dark / proxied-worker every well",
          "proxied-worker any vanished / proxied-worker every well",
          "proxied-worker any cuts / proxied-worker every well",
          "proxied-worker any garbage / proxied-worker every well",
          "proxied-worker any grey / proxied-worker every well",
          "proxied-worker any errs / proxied-worker every well",
          "proxied-worker any loses / proxied-worker every well",
          "proxied-worker any refuses / proxied-worker every well",
          "proxied-worker any slow / proxied-worker every well",
          "proxied-worker-drains any / proxied-worker-joins alpha zone-1",
          "proxied-worker-drains any / proxied-worker-joins beta zone-2",
          "proxied-worker-crashes any / proxied-worker-joins alpha zone-0",
          "proxied-worker-crashes any / proxied-worker-joins beta zone-1",
          "worker-list-becomes down / worker-list-becomes well",
          "worker-list-becomes empty / worker-list-becomes well",
          "worker-list-becomes stale / worker-list-becomes well",
          "worker-list-becomes cut / worker-list-becomes well",
          "worker-list-becomes refuses / worker-list-becomes well",
          "burst-proxied resumable 200 3");

  /** Faults of the duties at the platform, where the scenario has them. */
  private static final List<String> RANDOM_DUTY_FAULTS =
      List.of(
          "kill owner:duty/usage / start last",
          "power-loss owner:duty/usage / start last",
          "freeze owner:duty/usage / wake last",
          "isolate owner:duty/usage / heal",
          "stop owner:duty/usage / start last",
          "reset owner:duty/usage",
          "stall-disk owner:duty/usage 3",
          "kill owner:duty/scale / start last",
          "freeze owner:duty/scale / wake last",
          "cut-duties owner:duty/usage / heal-duties",
          "duties-become down / duties-become well",
          "duties-become slow / duties-become well",
          "duties-become late / duties-become well",
          "duties-become loses-answers / duties-become well",
          "duties-become throttles / duties-become well");

  private static final List<String> RANDOM_LOSSES =
      List.of(
          "lose-disk any-storage / start last",
          "lose-disk core-2 / start last",
          "lose-disk any-core / start last");

  /**
   * Pause after the loss of a disk. The fleet only has to survive a second loss once the first has
   * been repaired.
   */
  private static final long REPAIR_MS = 28_000;

  private static final int LEAST_REPAIR_DELAY_MS = 300;
  private static final int REPAIR_DELAY_SPREAD_MS = 6_700;
  private static final int LEAST_PAUSE_MS = 500;
  private static final int PAUSE_SPREAD_MS = 3_500;

  /** One in so many faults loses a disk, where the scenario allows that. */
  private static final int LOSS_ONE_IN = 3;

  private final Simulation simulation;
  private final ScenarioSettings settings;
  private final ScenarioActions actions;

  /** Revision of the last configuration that a fault sent; each one is higher than the last. */
  private long revision = 1;

  RandomFaults(SimulatedFleet fleet, ScenarioSettings settings, ScenarioActions actions) {
    this.simulation = fleet.simulation;
    this.settings = settings;
    this.actions = actions;
  }

  /** Injects one fault now, schedules its repair and the next fault after that. */
  void injectNext() {
    if (simulation.simulatedNowMs() >= settings.randomToMs) {
      return;
    }
    boolean losesDisk = settings.losses && simulation.random.nextInt(LOSS_ONE_IN) == 0;
    List<String> choice = choices(losesDisk);
    String[] parts = choice.get(simulation.random.nextInt(choice.size())).split(" / ");
    actions.perform(ScenarioAction.immediate(withRevision(parts[0])));
    long repairDelayMs = parts.length > 1 ? scheduleRepair(parts[1]) : 0;
    simulation.afterMs(
        repairDelayMs
            + LEAST_PAUSE_MS
            + simulation.random.nextInt(PAUSE_SPREAD_MS)
            + (losesDisk ? REPAIR_MS : 0),
        this::injectNext);
  }

  private List<String> choices(boolean losesDisk) {
    if (losesDisk) {
      return RANDOM_LOSSES;
    }
    if (settings.duties && simulation.random.nextBoolean()) {
      return RANDOM_DUTY_FAULTS;
    }
    return settings.platformLosses > 0 ? RANDOM_PLATFORM_FAULTS : RANDOM_FAULTS;
  }

  /** The letter N at the end of a fault stands for the next revision of the configuration. */
  private String withRevision(String fault) {
    return fault.endsWith(" N") ? fault.replace(" N", " " + ++revision) : fault;
  }

  private long scheduleRepair(String repair) {
    long delayMs = (long) LEAST_REPAIR_DELAY_MS + simulation.random.nextInt(REPAIR_DELAY_SPREAD_MS);
    simulation.afterMs(
        delayMs,
        () -> {
          boolean runsAlready = repair.startsWith("start") && actions.lastTarget().alive();
          if (runsAlready) {
            actions.lastTarget().kill(false);
          }
          actions.perform(ScenarioAction.immediate(repair));
        });
    return delayMs;
  }
}
