package applespindle.testfleet.scenario;

import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.log.LogRecord;
import applespindle.testfleet.checker.LinearizabilityChecker;
import applespindle.testfleet.clients.SimulatedFleet;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One day of many changes of the configuration, one after the other, with one process away from the
 * first to the last of them: what a change costs, and how long the one that was away takes to catch
 * up.
 */
public final class ManyChanges {
  private static final long FIRST_CHANGE_BY_MS = 12_000;
  private static final long STEP_MS = 1;
  private static final long SETTLE_MS = 2_000;
  private static final long CATCH_UP_MOST_MS = 60_000;
  private static final String BUNDLE = "bundle";

  /** How the process is away, and what it comes back with. */
  public enum Absence {
    KILLED,
    POWER_LOST,
    DISK_LOST,
    FROZEN,
    CUT_OFF
  }

  /**
   * linkBytesPerMs: what the link of the returning process carries, 0 for no limit. diskStallMs and
   * diskRefusesMs: how long its disk stalls, or refuses writes, from its return on.
   */
  public record Plan(
      String process,
      Absence absence,
      int changes,
      long linkBytesPerMs,
      long diskStallMs,
      long diskRefusesMs,
      long seed) {}

  /**
   * Bytes are counted over the whole day, but for those of the last change and of the return.
   * caughtUpMs: -1 if it did not within a minute.
   */
  public record Result(
      long caughtUpMs,
      long returnBytes,
      long stateBytes,
      long diskBytesOfLastChange,
      long edgeBytesOfLastChange,
      Optional<String> violation) {}

  private final Plan plan;
  private final SimulatedFleet fleet;
  private final Simulation simulation;
  private final SimulatedProcess away;
  private final SimulatedProcess edge;

  private ManyChanges(Plan plan) {
    this.plan = plan;
    fleet = SimulatedFleet.withPlatform(Deployment.SMALL, plan.seed(), 1, 800, 40, 0);
    simulation = fleet.simulation;
    away = simulation.processes.get(plan.process());
    edge =
        simulation.processes.values().stream()
            .filter(process -> process.role.equals("edge") && process != away)
            .findFirst()
            .get();
  }

  /** Runs the plan on simulated time and measures it. */
  public static Result run(Plan plan) {
    return new ManyChanges(plan).run();
  }

  private Result run() {
    fleet.start();
    simulation.runUntil(FIRST_CHANGE_BY_MS);
    acknowledge(1);
    leave();
    acknowledge(plan.changes());
    settle();
    long diskBefore = voter().writtenBytes();
    long edgeBefore = newsOf(edge);
    acknowledge(plan.changes() + 1);
    settle();
    long diskBytes = voter().writtenBytes() - diskBefore;
    long edgeBytes = newsOf(edge) - edgeBefore;
    Map<String, Long> receivedBefore = new HashMap<>(away.receivedBytes());
    comeBack();
    long caughtUpMs = catchUp();
    long returnBytes =
        away.receivedBytes().entrySet().stream()
            .mapToLong(each -> each.getValue() - receivedBefore.getOrDefault(each.getKey(), 0L))
            .sum();
    fleet.operators.resend(20);
    settle();
    simulation.checkNothingVanished();
    return new Result(
        caughtUpMs,
        returnBytes,
        stateBytes(),
        diskBytes,
        edgeBytes,
        LinearizabilityChecker.check(simulation.history.all()));
  }

  private void acknowledge(int changes) {
    while (fleet.operators.acknowledged < changes) {
      int before = fleet.operators.acknowledged;
      if (before > 0) {
        fleet.operators.change();
      }
      while (fleet.operators.acknowledged == before) {
        simulation.runUntil(simulation.simulatedNowMs() + STEP_MS);
      }
    }
  }

  /** Edges that followed a process that left have found another by the end. */
  private void settle() {
    simulation.runUntil(simulation.simulatedNowMs() + SETTLE_MS);
  }

  private void leave() {
    switch (plan.absence()) {
      case KILLED -> away.kill(false);
      case POWER_LOST, DISK_LOST -> away.kill(true, true);
      case FROZEN -> away.freeze();
      case CUT_OFF -> simulation.isolate(away.name);
    }
  }

  private void comeBack() {
    if (plan.linkBytesPerMs() > 0) {
      away.limitBandwidth(plan.linkBytesPerMs());
    }
    if (plan.absence() == Absence.DISK_LOST) {
      away.loseDisk();
    }
    if (!away.alive()) {
      away.start();
    }
    if (plan.diskStallMs() > 0) {
      away.stallDisk(plan.diskStallMs());
    }
    if (plan.diskRefusesMs() > 0) {
      away.refuseWrites(plan.diskRefusesMs());
    }
    away.wake();
    simulation.healLinks();
  }

  private long catchUp() {
    long from = simulation.simulatedNowMs();
    long newest = fleet.operators.newestAcknowledged();
    while (simulation.simulatedNowMs() - from < CATCH_UP_MOST_MS) {
      simulation.runUntil(simulation.simulatedNowMs() + STEP_MS);
      if (number(away) == newest && away.node().notReadyReason().isEmpty() && holdsNewest()) {
        return simulation.simulatedNowMs() - from;
      }
    }
    return -1;
  }

  private static long number(SimulatedProcess process) {
    return process.node().status().path(BUNDLE).asLong();
  }

  /** A voter has caught up only once its own log has the newest entry. */
  private boolean holdsNewest() {
    if (!away.role.equals("core")) {
      return true;
    }
    long held = highest(away);
    return held > 0 && held == highest(voter());
  }

  private static long highest(SimulatedProcess core) {
    return ((ControlPlaneNode) core.node())
        .checkpoint().stream()
            .filter(ManyChanges::isChange)
            .mapToLong(LogRecord::sequence)
            .max()
            .orElse(0);
  }

  private static boolean isChange(LogRecord record) {
    return record.kind() == LogRecord.Kind.ENTRY
        && record.key().equals(BUNDLE)
        && record.payloadBytes() > 0;
  }

  private SimulatedProcess voter() {
    return simulation.processes.values().stream()
        .filter(process -> process.role.equals("core") && process != away && process.alive())
        .findFirst()
        .get();
  }

  private static long newsOf(SimulatedProcess process) {
    return process.receivedBytes().getOrDefault("FeedNews", 0L);
  }

  /** What a core node's snapshot holds of the key at the end of the day. */
  private long stateBytes() {
    return ((ControlPlaneNode) voter().node())
        .checkpoint().stream()
            .filter(ManyChanges::isChange)
            .mapToLong(record -> record.payloadBytes())
            .sum();
  }
}
