package applespindle.corelogic.environment;

import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.LifecycleConstants;

/**
 * The requirements and limits of the deployment, as a process gets them at its start. Times are in
 * milliseconds.
 *
 * @param faultTolerance how many nodes with a disk may be lost at once without any guarantee being
 *     broken
 * @param bootstrap whether this is the first start of the fleet, with empty disks
 * @param voter whether this node's disk counts for quorums
 * @param signedConfigurations whether routing configurations of operators need a signature
 * @param listCallsPerS highest rate of calls to the external list of workers, from all nodes
 *     together; 0 if there is no such list
 * @param listLagMs how far the external list of workers may be behind
 * @param drainTimeoutMs how long requests may still reach a worker after it was listed as leaving
 * @param cancelTimeoutMs how long items of a batch may still be sent after its end was acknowledged
 * @param shutdownGraceMs time between the request to stop and the kill
 * @param configurationApplyMs how long an edge may still use an older configuration after a newer
 *     one was acknowledged
 * @param batchRetentionMs how long a batch stays readable
 * @param quotaOvershoot by which part the limit of waiting tokens of a batch route may be exceeded
 * @param diskBytes size of the disk
 * @param linkMegabits bandwidth of the machine's network link; 0 if unknown
 * @param edgesAcknowledge whether an acknowledgement also binds edges that are cut off from the
 *     control plane, so that a majority of the edges must have confirmed the update; otherwise it
 *     binds only connected edges, which receive the update within configurationApplyMs of its
 *     commit
 * @param processorCores processor time that the machine has for this process, in full-speed cores;
 *     0 if unknown
 * @param duties the duties at the platform that the deployment asks for
 * @param revokeMs how long after the acknowledgement of a configuration a request that is sent with
 *     a key which it took away may still run, at any node, connected or not; 0: no such bound
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
    double processorCores,
    DutySettings duties,
    long revokeMs) {
  /**
   * The settings without a platform: one node may be lost, configurations are signed, and workers
   * are registered by calls instead of an external list.
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
          0,
          DutySettings.NONE,
          0);

  /**
   * Settings of a node whose edges need not acknowledge and whose processor's share is not known.
   */
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
        0,
        DutySettings.NONE,
        0);
  }

  /** These settings with another bound on the use of keys that were taken away, in milliseconds. */
  public NodeSettings withRevokeMs(long boundMs) {
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
        processorCores,
        duties,
        boundMs);
  }

  /** These settings with another amount of processor time for this process, in full-speed cores. */
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
        cores,
        duties,
        revokeMs);
  }

  /** These settings with these duties. */
  public NodeSettings withDuties(DutySettings asked) {
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
        processorCores,
        asked,
        revokeMs);
  }

  /**
   * These settings for one process of the fleet: whether its disk counts for quorums, and whether
   * this is the first start of the fleet.
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
        processorCores,
        duties,
        revokeMs);
  }

  /**
   * These settings with the newer values of those that may change while the process runs; the
   * others keep their values until the next start.
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
        newer.processorCores,
        duties,
        newer.revokeMs);
  }

  /**
   * The number of replicas of data that must survive the loss of faultTolerance nodes: a majority
   * of the replicas is then left.
   */
  public int replicas() {
    return 2 * faultTolerance + 1;
  }
}
