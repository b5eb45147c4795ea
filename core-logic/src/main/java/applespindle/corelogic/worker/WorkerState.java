package applespindle.corelogic.worker;

import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.metadata.WorkerRegistration;
import java.util.HashMap;
import java.util.Map;

/**
 * What one edge knows of one worker: its registration, its load, the edge's own calls there, and
 * the outcomes of these.
 *
 * <p>Created by {@link WorkerRegistry} when the worker is listed and abandoned when it is listed no
 * more; the registry, {@link OutlierDetection} and the dispatchers record events in it. Policy is
 * theirs: this class only keeps sums and averages. Times are monotonic milliseconds. Confined to
 * the logic thread.
 */
public final class WorkerState {
  /** Before any time that the clock shows. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** As listed last; replaced when the list changes. */
  public WorkerRegistration registration;

  /** Hash of the worker's id, for rendezvous hashing. */
  final long idHash;

  // Load, as the worker and other edges reported it.

  /** As polled last; all 0 before the first poll, and always for a worker with listed slots. */
  public WorkerLoad load = new WorkerLoad(0, 0, 0, false);

  private long loadAt = NEVER;

  /** Whether a load poll is under way or scheduled. */
  boolean polling;

  /** Calls of others at the worker when a response last reported its load. */
  private double otherCalls;

  private long otherCallsAt = NEVER;

  /** By id of another edge of the zone: what it last reported of its own calls here. */
  private final Map<String, PeerLoad> peerLoads = new HashMap<>();

  // This edge's own calls.

  private int liveCalls;

  /** Batch items of this edge that the worker runs now. */
  public int batchCalls;

  /** Calls started less calls ended since the last poll, which that poll cannot include. */
  private int callsSinceReport;

  /**
   * Peak of live calls, decaying slowly, so that batch items do not take the slots that live
   * requests will need again.
   */
  public double peakLiveCalls;

  private long peakLiveCallsAt;

  /** Prompt and output tokens of this edge's proxied live calls. */
  private long reservedTokens;

  /**
   * Prompt tokens of this edge's calls of which no response byte has come: the worker still has to
   * process them, which delays every stream there.
   */
  public double pendingPrefillTokens;

  // Outcomes of this edge's calls.

  private int consecutiveFailures;
  private int consecutiveRejections;
  private long ejectedUntil = NEVER;
  private long slowStartFrom = NEVER;

  /** Share of failed calls, 0 to 1, as of {@link #failureRateAt}. */
  private double failureRate;

  private long failureRateAt;

  /** When bytes of any call last came from the worker. */
  public long lastActivityAt = NEVER;

  /** Whether a call was silent for too long and no bytes of any call came since. */
  private boolean unresponsive;

  private double serviceTimeMs = WorkerConstants.INITIAL_SERVICE_TIME_MS;

  /**
   * Prompt tokens of recent calls and the time to their first bytes. The time includes the network,
   * so that the rate is an underestimate.
   */
  private double prefillSampleTokens = WorkerConstants.INITIAL_PREFILL_SAMPLE_TOKENS;

  private double prefillSampleMs =
      WorkerConstants.INITIAL_PREFILL_SAMPLE_TOKENS / WorkerConstants.INITIAL_PREFILL_TOKENS_PER_MS;

  /** Prompt prefixes that the worker is likely to hold from this edge's calls. */
  public final PrefixCache prefixCache = new PrefixCache();

  WorkerState(long idHash) {
    this.idHash = idHash;
  }

  // ---- load

  /** Whether the number of slots is listed; such a worker is never polled for its load. */
  boolean hasListedSlots() {
    return registration.slots() > 0;
  }

  /** Number of calls the worker runs at once; 0 while unknown. */
  public int capacity() {
    return hasListedSlots() ? registration.slots() : load.capacity();
  }

  /** Whether the worker is leaving and gets no new calls. */
  public boolean isDraining() {
    return registration.state().equals(WorkerRegistration.LEAVING) || load.leaving();
  }

  /** Records a successful load poll. */
  void recordPolledLoad(WorkerLoad polledLoad, long now) {
    load = polledLoad;
    loadAt = now;
    callsSinceReport = 0;
    updatePeakLiveCalls(now);
  }

  private void updatePeakLiveCalls(long now) {
    double halfLives = (now - peakLiveCallsAt) / (double) WorkerConstants.LIVE_PEAK_HALF_LIFE_MS;
    double decayed = peakLiveCalls * Math.pow(0.5, halfLives);
    peakLiveCalls = Math.max(liveRunning(), decayed);
    peakLiveCallsAt = now;
  }

  /** When the load was last polled; far in the past if never. */
  long loadAt() {
    return loadAt;
  }

  /** Records how many calls of others the worker runs, as a response has shown. */
  void recordOtherCalls(double calls, long now) {
    otherCalls = calls;
    otherCallsAt = now;
  }

  /** Records another edge's report, and drops the reports of all edges that have expired. */
  void recordPeerLoad(String peerId, PeerLoad peerLoad, long now) {
    peerLoads
        .values()
        .removeIf(each -> now - each.reportedAt() > WorkerConstants.PEER_LOAD_EXPIRY_MS);
    peerLoads.put(peerId, peerLoad);
  }

  /** Estimate of the calls of others; reports count less the older they are. */
  public double otherCallsNow(long now) {
    double reportedByPeers = 0;
    for (PeerLoad each : peerLoads.values()) {
      reportedByPeers += each.running() * decay(now - each.reportedAt());
    }
    return Math.max(reportedByPeers, otherCalls * decay(now - otherCallsAt));
  }

  /** Weight of the worker's own last report: 1 if it came just now, falling to 0 with its age. */
  double reportWeight(long now) {
    return decay(now - otherCallsAt);
  }

  private static double decay(long ageMs) {
    return Math.exp(-ageMs / (double) WorkerConstants.LOAD_REPORT_DECAY_MS);
  }

  /** Estimate of all calls at the worker, with the others' reports discounted by their age. */
  public double runningCallsNow(long now) {
    return hasListedSlots() ? ownCalls() + otherCallsNow(now) : runningCalls();
  }

  /** All calls at the worker, as last reported, with this edge's own calls since then. */
  public int runningCalls() {
    return hasListedSlots()
        ? ownCalls() + (int) Math.round(otherCalls)
        : Math.max(ownCalls(), load.running() + load.queued() + callsSinceReport);
  }

  /** Calls at the worker that are not this edge's batch items. */
  public int liveRunning() {
    return runningCalls() - batchCalls;
  }

  /** Free slots; negative if calls queue at the worker. */
  public int free() {
    return capacity() - runningCalls();
  }

  // ---- this edge's own calls

  void recordCallStart(boolean batch) {
    callsSinceReport++;
    addCalls(batch, 1);
  }

  void recordCallEnd(boolean batch) {
    callsSinceReport--;
    addCalls(batch, -1);
  }

  private void addCalls(boolean batch, int change) {
    if (batch) {
      batchCalls += change;
    } else {
      liveCalls += change;
    }
  }

  /** Live calls of this edge at the worker. */
  public int liveCalls() {
    return liveCalls;
  }

  /** Batch items of this edge at the worker. */
  public int batchCalls() {
    return batchCalls;
  }

  /** Live calls and batch items of this edge at the worker. */
  public int ownCalls() {
    return liveCalls + batchCalls;
  }

  /** A call with this many prompt and output tokens was sent. */
  public void reserveTokens(long tokens) {
    reservedTokens += tokens;
  }

  /** A call for which tokens were reserved has ended. */
  public void releaseTokens(long tokens) {
    reservedTokens -= tokens;
  }

  /** Prompt and output tokens of this edge's proxied live calls. */
  long reservedTokens() {
    return reservedTokens;
  }

  /** A call was sent that has this many prompt tokens outside the worker's cache. */
  public void addPendingPrefill(double tokens) {
    pendingPrefillTokens += tokens;
  }

  /** The first bytes of a call have come, or it has ended without. */
  public void removePendingPrefill(double tokens) {
    pendingPrefillTokens -= tokens;
  }

  /**
   * Estimate of the prompt tokens the worker still has to process: this edge's own, and those that
   * other edges reported less what was processed since.
   */
  public double pendingPrefillTokensAt(long now) {
    double pending = pendingPrefillTokens;
    for (PeerLoad each : peerLoads.values()) {
      pending +=
          Math.max(
              0, each.pendingPrefillTokens() - (now - each.reportedAt()) * prefillTokensPerMs());
    }
    return pending;
  }

  /** Measured rate of prompt processing, in tokens per millisecond. */
  public double prefillTokensPerMs() {
    return prefillSampleTokens / prefillSampleMs;
  }

  /**
   * The pause that further prompt tokens cause in the worker's streams, in milliseconds, together
   * with the prefill that is pending before them.
   */
  public double streamPauseMs(long now, double furtherTokens) {
    return (pendingPrefillTokensAt(now) + furtherTokens) / prefillTokensPerMs();
  }

  /** Adds a sample to the prefill rate; small samples are ignored. */
  public void recordPrefill(double tokens, long tookMs) {
    if (tokens >= WorkerConstants.INITIAL_PREFILL_SAMPLE_TOKENS) {
      prefillSampleTokens = prefillSampleTokens * WorkerConstants.PREFILL_RATE_RETENTION + tokens;
      prefillSampleMs =
          prefillSampleMs * WorkerConstants.PREFILL_RATE_RETENTION + Math.max(1, tookMs);
    }
  }

  // ---- outcomes

  /** Ejects the worker after a failure; its slow start begins when the ejection ends. */
  void ejectAfterFailure(long until) {
    consecutiveFailures++;
    ejectedUntil = until;
    slowStartFrom = until;
  }

  /** Ejects the worker after a rejection for want of capacity; no slow start follows. */
  void ejectAfterRejection(long until) {
    consecutiveRejections++;
    ejectedUntil = until;
  }

  boolean isEjected(long now) {
    return now < ejectedUntil;
  }

  /** When the last ejection ends or ended; far in the past if there was none. */
  long ejectedUntil() {
    return ejectedUntil;
  }

  /** Time until the ejection ends, in milliseconds; 0 or negative if the worker is not ejected. */
  public long ejectionRemainingMs(long now) {
    return ejectedUntil - now;
  }

  /** Failures since the last success, of which those during an ejection do not count. */
  public int consecutiveFailures() {
    return consecutiveFailures;
  }

  int consecutiveRejections() {
    return consecutiveRejections;
  }

  void resetConsecutiveErrors() {
    consecutiveFailures = 0;
    consecutiveRejections = 0;
  }

  void startSlowStart(long now) {
    slowStartFrom = now;
  }

  /** When the slow start begins or began; far in the past if there was none. */
  long slowStartFrom() {
    return slowStartFrom;
  }

  void setFailureRate(double rate, long now) {
    failureRate = rate;
    failureRateAt = now;
  }

  /** Share of failed calls, 0 to 1, when the last call ended. */
  double failureRate() {
    return failureRate;
  }

  long failureRateAt() {
    return failureRateAt;
  }

  /** A call was silent for too long; cleared by the next bytes of any call. */
  public void markUnresponsive() {
    unresponsive = true;
  }

  /** Whether a call there timed out and nothing has come from the worker since. */
  public boolean isUnresponsive() {
    return unresponsive;
  }

  /** Bytes of a call came. This ends the ejection of an unresponsive worker. */
  void recordActivity(long now) {
    lastActivityAt = now;
    if (unresponsive) {
      unresponsive = false;
      ejectedUntil = now;
      slowStartFrom = now;
    }
  }

  /** Adds the duration of a complete call to the moving average. */
  void recordServiceTime(long tookMs) {
    serviceTimeMs += (tookMs - serviceTimeMs) * WorkerConstants.MOVING_AVERAGE_WEIGHT;
  }

  /** Moving average of the duration of complete calls, in milliseconds. */
  public double serviceTimeMs() {
    return serviceTimeMs;
  }
}
