package applespindle.corelogic.environment;

import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.LifecycleConstants;

/**
 * What a process is told of the deployment's bounds at its start; times in milliseconds.
 * faultTolerance: nodes with a disk that may be lost at once while every rule holds. bootstrap:
 * this is the first start ever of the whole fleet, with empty disks. voter: this node's disk
 * counts. signedConfigurations: operators' bundles need a signature. listCallsPerS: the most calls
 * to the outside list of workers from all nodes together; 0 where there is no such list.
 * drainTimeoutMs: after a worker was seen as leaving, how long requests may still reach it.
 * cancelTimeoutMs: after a batch's end was acknowledged, how long its items may. shutdownGraceMs:
 * from the request to stop to the kill. quotaOvershoot: part of a batch route's ceiling that may be
 * passed. batchRetentionMs: how long a batch stays readable. configurationApplyMs: how long after
 * an acknowledgement old news may still be used. edgesAcknowledge: a yes also binds edges that are
 * cut off from the core, so most edges must have confirmed it; else it binds only those that hear
 * the core, which have the news within configurationApplyMs of the commit. processorCores: what the
 * machine has for this process, in cores of full speed; 0 where that is not told.
 */
public record NodeSettings(
    int faultTolerance,
    boolean bootstrap,
    boolean voter,
    boolean signedConfigurations,
    double listCallsPerS,
    long listLagMs,
    long drainTimeoutMs,
    long cancelTimeoutMs,
    long shutdownGraceMs,
    long configurationApplyMs,
    long batchRetentionMs,
    double quotaOvershoot,
    long diskBytes,
    double linkMegabits,
    boolean edgesAcknowledge,
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
      int faultTolerance,
      boolean bootstrap,
      boolean voter,
      boolean signedConfigurations,
      double listCallsPerS,
      long listLagMs,
      long drainTimeoutMs,
      long cancelTimeoutMs,
      long shutdownGraceMs,
      long configurationApplyMs,
      long batchRetentionMs,
      double quotaOvershoot,
      long diskBytes,
      double linkMegabits) {
    this(
        faultTolerance,
        bootstrap,
        voter,
        signedConfigurations,
        listCallsPerS,
        listLagMs,
        drainTimeoutMs,
        cancelTimeoutMs,
        shutdownGraceMs,
        configurationApplyMs,
        batchRetentionMs,
        quotaOvershoot,
        diskBytes,
        linkMegabits,
        false,
        0);
  }

  /**
   * The same on a machine that has so much processor time for this process, in full-speed cores.
   */
  public NodeSettings withProcessorCores(double cores) {
    return new NodeSettings(
        faultTolerance,
        bootstrap,
        voter,
        signedConfigurations,
        listCallsPerS,
        listLagMs,
        drainTimeoutMs,
        cancelTimeoutMs,
        shutdownGraceMs,
        configurationApplyMs,
        batchRetentionMs,
        quotaOvershoot,
        diskBytes,
        linkMegabits,
        edgesAcknowledge,
        cores);
  }

  /**
   * The same for a process at its own place: whether its disk counts, and whether this is the first
   * start of all.
   */
  public NodeSettings atNode(boolean votes, boolean firstStart) {
    return new NodeSettings(
        faultTolerance,
        firstStart,
        votes,
        signedConfigurations,
        listCallsPerS,
        listLagMs,
        drainTimeoutMs,
        cancelTimeoutMs,
        shutdownGraceMs,
        configurationApplyMs,
        batchRetentionMs,
        quotaOvershoot,
        diskBytes,
        linkMegabits,
        edgesAcknowledge,
        processorCores);
  }

  /**
   * These, with what may change while a process runs as the newer ones have it; the rest holds
   * until its next start.
   */
  public NodeSettings withReloadable(NodeSettings newer) {
    return new NodeSettings(
        faultTolerance,
        bootstrap,
        voter,
        signedConfigurations,
        newer.listCallsPerS,
        newer.listLagMs,
        newer.drainTimeoutMs,
        newer.cancelTimeoutMs,
        newer.shutdownGraceMs,
        newer.configurationApplyMs,
        newer.batchRetentionMs,
        newer.quotaOvershoot,
        diskBytes,
        newer.linkMegabits,
        edgesAcknowledge,
        newer.processorCores);
  }

  /**
   * Replicas of whatever must survive faultTolerance: a majority is left when that many are gone.
   */
  public int replicas() {
    return 2 * faultTolerance + 1;
  }
}
