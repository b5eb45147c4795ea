package applespindle.corelogic.worker;

import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.metadata.WorkerRegistration;
import java.util.HashMap;
import java.util.Map;

/**
 * What this edge knows of one worker; changed by its registry, dispatchers and outlier detection.
 */
public final class WorkerState {
  public WorkerRegistration registration;
  public WorkerLoad load = new WorkerLoad(0, 0, 0, false);
  long loadAt = Long.MIN_VALUE / 2;

  /** This edge's runs there now. */
  public int liveCalls;

  public int batchCalls;

  /**
   * This edge's runs begun less those ended since the last report: what the report can not know
   * yet.
   */
  int callsSinceReport;

  /**
   * Highest live running of late; falls slowly, so that batch work does not refill what live will
   * want again.
   */
  public double peakLiveCalls;

  long peakLiveCallsAt;
  public int consecutiveFailures;
  int consecutiveRejections;
  public long ejectedUntil = Long.MIN_VALUE / 2;
  boolean polling;

  /** Others' runs there when a response last told. */
  double otherCalls;

  long otherCallsAt = Long.MIN_VALUE / 2;

  /**
   * When bytes last came from there in any run; suspect: a run there stayed silent too long, and
   * none came since.
   */
  public long lastActivityAt = Long.MIN_VALUE / 2;

  public boolean unresponsive;

  /** Part of its recent runs that failed, 0 to 1, as of failureRateAt. */
  double failureRate;

  long failureRateAt;

  /** From here on it gets more requests by and by. */
  long slowStartFrom = Long.MIN_VALUE / 2;

  public double serviceMs = WorkerConstants.INITIAL_SERVICE_TIME_MS;

  /** Prompt and output tokens of this edge's runs there. */
  public long tokens;

  /**
   * Prompt tokens of this edge's runs there from which nothing has come yet: they delay every
   * stream there.
   */
  public double pendingPrefillTokens;

  /** By edge of the zone: what it last told of its own runs there. */
  final Map<String, PeerLoad> peers = new HashMap<>();

  /**
   * Prompt tokens read here of late and the time that took, first bytes' way included: a pace that
   * is rather too low.
   */
  private double prefillSampleTokens = WorkerConstants.INITIAL_PREFILL_SAMPLE_TOKENS;

  private double prefillSampleMs =
      WorkerConstants.INITIAL_PREFILL_SAMPLE_TOKENS / WorkerConstants.INITIAL_PREFILL_TOKENS_PER_MS;
  public final PrefixCache prefixCache = new PrefixCache();
  long idHash;

  /** Never asked for its load. */
  boolean hasListedSlots() {
    return registration.slots() > 0;
  }

  public int capacity() {
    return hasListedSlots() ? registration.slots() : load.capacity();
  }

  public double otherCallsNow(long now) {
    double told = 0;
    for (PeerLoad each : peers.values()) {
      told += each.running() * decay(now - each.at());
    }
    return Math.max(told, otherCalls * decay(now - otherCallsAt));
  }

  /** From 1, if the worker has told its load just now, down to 0. */
  double reportWeight(long now) {
    return decay(now - otherCallsAt);
  }

  private static double decay(long age) {
    return Math.exp(-age / (double) WorkerConstants.LOAD_REPORT_DECAY_MS);
  }

  public double prefillTokensPerMs() {
    return prefillSampleTokens / prefillSampleMs;
  }

  /**
   * Tokens that were sent there and are still to be read, as far as is known: what peers told is
   * read meanwhile.
   */
  public double pendingPrefillTokensAt(long now) {
    double unread = pendingPrefillTokens;
    for (PeerLoad each : peers.values()) {
      unread += Math.max(0, each.unreadPromptTokens() - (now - each.at()) * prefillTokensPerMs());
    }
    return unread;
  }

  /**
   * The pause that further prompt tokens make there in streams, with what is still to be read
   * before them.
   */
  public double streamPauseMs(long now, double further) {
    return (pendingPrefillTokensAt(now) + further) / prefillTokensPerMs();
  }

  /** So many tokens were read in this time. */
  public void recordPrefill(double tokens, long tookMs) {
    if (tokens >= WorkerConstants.INITIAL_PREFILL_SAMPLE_TOKENS) {
      prefillSampleTokens = prefillSampleTokens * WorkerConstants.PREFILL_RATE_RETENTION + tokens;
      prefillSampleMs =
          prefillSampleMs * WorkerConstants.PREFILL_RATE_RETENTION + Math.max(1, tookMs);
    }
  }

  /** All runs there as far as is known: this edge's own and the others' as last told. */
  public double runningCallsNow(long now) {
    return hasListedSlots() ? liveCalls + batchCalls + otherCallsNow(now) : runningCalls();
  }

  public boolean isDraining() {
    return registration.state().equals(WorkerRegistration.LEAVING) || load.leaving();
  }

  public int runningCalls() {
    return hasListedSlots()
        ? liveCalls + batchCalls + (int) Math.round(otherCalls)
        : Math.max(liveCalls + batchCalls, load.running() + load.queued() + callsSinceReport);
  }

  /** Runs there that are not this edge's batch items. */
  public int liveRunning() {
    return runningCalls() - batchCalls;
  }

  public int free() {
    return capacity() - runningCalls();
  }
}
