package applespindle.testfleet.simulation;

import applespindle.corelogic.environment.ProxiedRequest;

/**
 * What the workers are like. Times in milliseconds at a pace of 1.
 *
 * @param slots requests that a worker works on at once
 * @param waitingMost requests that wait beyond these before further ones are turned away
 * @param firstMs from the begin of a request to its first event, without reading
 * @param eventMs between two events
 * @param tokensAnEvent 0: one to three, at random
 * @param oneReader prompts are read one after the other, not side by side
 * @param ranks the urgent are admitted first and take the place of others; else in order of arrival
 * @param tellsLoad answers tell how many run and wait
 */
public record WorkerEngine(
    int slots,
    int waitingMost,
    double firstMs,
    double readMsAToken,
    double eventMs,
    int tokensAnEvent,
    boolean oneReader,
    boolean ranks,
    boolean tellsLoad,
    long keptTokensMost) {
  static final WorkerEngine DEFAULT =
      new WorkerEngine(ProxyWorkers.SLOTS, 6, 8, 0.05, 4, 0, false, true, true, 20_000);

  /** Hears of each request that arrives at a worker, before it is queued. */
  public interface Watcher {
    /** A request has reached a worker. */
    void arrives(ProxyWorkers.Worker worker, String edgeZone, ProxiedRequest request);
  }
}
