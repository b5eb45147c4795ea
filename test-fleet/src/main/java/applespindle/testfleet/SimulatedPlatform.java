package applespindle.testfleet;

import applespindle.corelogic.environment.NodeSettings;
import applespindle.testfleet.History.Kind;

/**
 * The platform round a simulated fleet: its bounds, its workers of opaque requests and its list of
 * them.
 */
final class SimulatedPlatform {
  static final long DRAIN_MS = 3_000;
  static final long CANCEL_MS = 3_000;
  static final long GRACE_MS = 8_000;
  static final long APPLY_MS = 2_000;
  static final long KEEP_BATCHES_MS = 120_000;
  private static final double OVERSHOOT = 0.1;
  private static final long DISK_BYTES = 64L << 20;
  private static final double LINK_MEGABITS = 1_000;
  private static final long BOOTSTRAP_UNTIL_MS = 1_000;
  private static final int ADDRESSES_KEPT_MS = 2_000;

  final Simulation simulation;
  final int losses;
  final ProxyWorkers workers;
  final WorkerListing list;
  private int joinedWorkers;

  SimulatedPlatform(Simulation simulation, int losses, long lagMs, double callsPerS) {
    this.simulation = simulation;
    this.losses = losses;
    this.workers = new ProxyWorkers(simulation);
    this.list = new WorkerListing(simulation, lagMs, callsPerS);
    simulation.settings = bounds();
    simulation.bootstrapUntilMs = BOOTSTRAP_UNTIL_MS;
    simulation.workerList =
        (reader, token, whenRead, whenFaulty) -> list.read(token, whenRead, whenFaulty);
  }

  /** Says to the history what the deployment tells its processes. */
  void recordBounds() {
    bound("losses", losses);
    bound("contactMs", 3_000);
    bound("drainMs", DRAIN_MS);
    bound("cancelMs", CANCEL_MS);
    bound("graceMs", GRACE_MS);
    bound("applyMs", APPLY_MS);
    bound("downgradeMs", 250);
    bound("settleMs", 1_000);
    bound("keepBatchesMs", KEEP_BATCHES_MS);
    bound("lossSlackMs", 200);
    bound("recoveryMs", 12_000);
    bound("requestTimeoutMs", ProxyClients.DEADLINE_MS);
    bound("retentionMs", RouteOperators.RETENTION_MS);
    bound("overshootPercent", Math.round(100 * OVERSHOOT));
  }

  private void bound(String name, long value) {
    simulation.history.add(simulation.simulatedNowMs(), Kind.BOUND, name, "", "", value);
  }

  private NodeSettings bounds() {
    return new NodeSettings(
        losses,
        true,
        true,
        false,
        list.callsPerS,
        list.lagMs,
        DRAIN_MS,
        CANCEL_MS,
        GRACE_MS,
        APPLY_MS,
        KEEP_BATCHES_MS,
        OVERSHOOT,
        DISK_BYTES,
        LINK_MEGABITS);
  }

  ProxyWorkers.Worker join(String pool, String zone) {
    String address = list.freeAddress();
    ProxyWorkers.Worker worker = workers.add("i-" + ++joinedWorkers, address, pool, zone);
    list.put(worker, "ready", 0);
    return worker;
  }

  /** Shown as leaving first, serves on for the time to drain and a little longer, and is gone. */
  void leave(ProxyWorkers.Worker worker) {
    if (worker.leaving || worker.over) {
      return;
    }
    worker.leaving = true;
    list.put(worker, "leaving", 0);
    simulation.afterMs(list.lagMs + DRAIN_MS + 500, () -> end(worker, 0));
  }

  /** Dies at once and stays on the list for a while. */
  void crash(ProxyWorkers.Worker worker, long listedOnMs) {
    end(worker, listedOnMs);
  }

  private void end(ProxyWorkers.Worker worker, long listedOnMs) {
    if (worker.over) {
      return;
    }
    worker.end();
    list.put(worker, "gone", listedOnMs);
    simulation.afterMs(ADDRESSES_KEPT_MS, () -> list.free(worker.address));
  }
}
