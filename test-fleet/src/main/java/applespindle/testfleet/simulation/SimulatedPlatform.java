package applespindle.testfleet.simulation;

import applespindle.corelogic.environment.NodeSettings;
import applespindle.testfleet.history.History.Kind;

/**
 * The platform on which a simulated fleet runs: the settings it gives to nodes, its workers of
 * proxied requests and its list of them.
 */
public final class SimulatedPlatform {
  static final long DRAIN_MS = 3_000;
  static final long CANCEL_MS = 3_000;
  public static final long GRACE_MS = 8_000;
  static final long APPLY_MS = 2_000;

  /** Time after which a proxied request that no route limits has failed for its client. */
  public static final long REQUEST_TIMEOUT_MS = 4_000;

  /** How long the routes for batches keep results. */
  public static final long RESULT_RETENTION_MS = 60_000;

  public static final long KEEP_BATCHES_MS = 120_000;
  static final long REVOKE_MS = 5_000;
  private static final double OVERSHOOT = 0.1;
  private static final long DISK_BYTES = 64L << 20;
  private static final double LINK_MEGABITS = 1_000;
  private static final long BOOTSTRAP_UNTIL_MS = 1_000;
  private static final int ADDRESSES_KEPT_MS = 2_000;

  final Simulation simulation;
  final int losses;
  public final ProxyWorkers workers;
  public final WorkerListing list;

  /** Null if the platform asks for no duties. */
  public PlatformCallEndpoint duties;

  /** Also the number in the id of the last worker that joined. */
  private int joinedWorkers;

  /**
   * A platform without workers.
   *
   * @param losses losses that the fleet must tolerate at once
   * @param lagMs lag of the list of workers, in milliseconds
   * @param callsPerS calls for the list that are answered in a second
   */
  public SimulatedPlatform(Simulation simulation, int losses, long lagMs, double callsPerS) {
    this.simulation = simulation;
    this.losses = losses;
    this.workers = new ProxyWorkers(simulation);
    this.list = new WorkerListing(simulation, lagMs, callsPerS);
    simulation.settings = nodeSettings();
    simulation.bootstrapUntilMs = BOOTSTRAP_UNTIL_MS;
    simulation.workerList =
        (reader, token, whenRead, whenFaulty) -> list.read(token, whenRead, whenFaulty);
  }

  /** From now on the settings of nodes bound the use of keys that were taken away. */
  public void boundWithdrawnKeys() {
    simulation.settings = simulation.settings.withRevokeMs(REVOKE_MS);
  }

  /** Notes the bounds of the deployment in the history, from which the checker reads them. */
  public void recordBounds() {
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
    bound("requestTimeoutMs", REQUEST_TIMEOUT_MS);
    bound("retentionMs", RESULT_RETENTION_MS);
    bound("revokeMs", simulation.settings.revokeMs());
    bound("overshootPercent", Math.round(100 * OVERSHOOT));
    if (duties != null) {
      bound("usageOfEdges", duties.inputsOfEdges ? 1 : 0);
      bound("leaseMs", PlatformCallEndpoint.LEASE_MS);
      bound("usageWindowMs", PlatformCallEndpoint.WINDOW_MS);
      bound("usageDelayMs", PlatformCallEndpoint.DELAY_MS);
    }
  }

  /** Asks for the duties; before any process is started. */
  public void askForDuties() {
    duties = new PlatformCallEndpoint(simulation);
    simulation.settings = simulation.settings.withDuties(PlatformCallEndpoint.settings());
  }

  private void bound(String name, long value) {
    simulation.history.add(simulation.simulatedNowMs(), Kind.BOUND, name, "", "", value);
  }

  private NodeSettings nodeSettings() {
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

  /** Adds a worker to a pool, at an address that may have been another's. */
  public ProxyWorkers.Worker join(String pool, String zone) {
    String address = list.freeAddress();
    ProxyWorkers.Worker worker = workers.add("i-" + ++joinedWorkers, address, pool, zone);
    list.put(worker, "ready", 0);
    return worker;
  }

  /** Lists a worker as leaving; it ends a little after the time that draining may take. */
  public void leave(ProxyWorkers.Worker worker) {
    if (worker.leaving || worker.over) {
      return;
    }
    worker.leaving = true;
    list.put(worker, "leaving", 0);
    simulation.afterMs(list.lagMs + DRAIN_MS + 500, () -> end(worker, 0));
  }

  /** Ends a worker at once; it stays on the list for a while. */
  public void crash(ProxyWorkers.Worker worker, long listedOnMs) {
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
