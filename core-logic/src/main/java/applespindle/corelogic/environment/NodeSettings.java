package applespindle.corelogic.environment;

import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.LifecycleConstants;

/**
 * What a process is told of the deployment's bounds at its start; times in milliseconds.
 * lossesToBear: nodes with a disk that may be lost at once while every rule holds. bootstrap: this
 * is the first start ever of the whole fleet, with empty disks. voter: this node's disk counts.
 * signedBundles: operators' bundles need a signature. listCallsPerS: the most calls to the outside
 * list of workers from all nodes together; 0 where there is no such list. drainMs: after a worker
 * was seen as leaving, how long requests may still reach it. cancelMs: after a batch's end was
 * acknowledged, how long its items may. graceMs: from the request to stop to the kill.
 * waitingOvershoot: part of a batch route's ceiling that may be passed. keepBatchesMs: how long a
 * batch stays readable. applyMs: how long after an acknowledgement old news may still be used.
 * edgesConfirm: a yes also binds edges that are cut off from the core, so most edges must have
 * confirmed it; else it binds only those that hear the core, which have the news within applyMs of
 * the commit. processorCores: what the machine has for this process, in cores of full speed; 0
 * where that is not told.
 */
public record NodeSettings(
    int lossesToBear,
    boolean bootstrap,
    boolean voter,
    boolean signedBundles,
    double listCallsPerS,
    long listLagMs,
    long drainMs,
    long cancelMs,
    long graceMs,
    long applyMs,
    long keepBatchesMs,
    double waitingOvershoot,
    long diskBytes,
    double linkMegabits,
    boolean edgesConfirm,
    double processorCores) {
  /**
   * The product's own way of running: one loss, signed bundles, workers told by the platform's own
   * calls.
   */
  public static final NodeSettings DEFAULT =
      new NodeSettings(
          1,
          true,
          true,
          true,
          0,
          0,
          3_000,
          3_000,
          LifecycleConstants.SHUTDOWN_NOTICE_MS
              + LifecycleConstants.DRAIN_TIMEOUT_MS
              + LifecycleConstants.SHUTDOWN_MARGIN_MS,
          2_000,
          BatchConstants.DEFAULT_RETENTION_MS,
          0,
          0,
          0,
          true,
          0);

  public NodeSettings(
      int lossesToBear,
      boolean bootstrap,
      boolean voter,
      boolean signedBundles,
      double listCallsPerS,
      long listLagMs,
      long drainMs,
      long cancelMs,
      long graceMs,
      long applyMs,
      long keepBatchesMs,
      double waitingOvershoot,
      long diskBytes,
      double linkMegabits) {
    this(
        lossesToBear,
        bootstrap,
        voter,
        signedBundles,
        listCallsPerS,
        listLagMs,
        drainMs,
        cancelMs,
        graceMs,
        applyMs,
        keepBatchesMs,
        waitingOvershoot,
        diskBytes,
        linkMegabits,
        false,
        0);
  }

  /**
   * The same on a machine that has so much processor time for this process, in full-speed cores.
   */
  public NodeSettings onProcessor(double cores) {
    return new NodeSettings(
        lossesToBear,
        bootstrap,
        voter,
        signedBundles,
        listCallsPerS,
        listLagMs,
        drainMs,
        cancelMs,
        graceMs,
        applyMs,
        keepBatchesMs,
        waitingOvershoot,
        diskBytes,
        linkMegabits,
        edgesConfirm,
        cores);
  }

  /**
   * The same for a process at its own place: whether its disk counts, and whether this is the first
   * start of all.
   */
  public NodeSettings at(boolean votes, boolean firstStart) {
    return new NodeSettings(
        lossesToBear,
        firstStart,
        votes,
        signedBundles,
        listCallsPerS,
        listLagMs,
        drainMs,
        cancelMs,
        graceMs,
        applyMs,
        keepBatchesMs,
        waitingOvershoot,
        diskBytes,
        linkMegabits,
        edgesConfirm,
        processorCores);
  }

  /**
   * These, with what may change while a process runs as the newer ones have it; the rest holds
   * until its next start.
   */
  public NodeSettings taking(NodeSettings newer) {
    return new NodeSettings(
        lossesToBear,
        bootstrap,
        voter,
        signedBundles,
        newer.listCallsPerS,
        newer.listLagMs,
        newer.drainMs,
        newer.cancelMs,
        newer.graceMs,
        newer.applyMs,
        newer.keepBatchesMs,
        newer.waitingOvershoot,
        diskBytes,
        newer.linkMegabits,
        edgesConfirm,
        newer.processorCores);
  }

  /** Replicas of whatever must survive lossesToBear: a majority is left when that many are gone. */
  public int replicas() {
    return 2 * lossesToBear + 1;
  }
}
