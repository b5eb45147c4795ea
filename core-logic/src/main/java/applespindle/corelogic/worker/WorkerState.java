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
  public WorkerRegistration worker;
  public WorkerLoad load = new WorkerLoad(0, 0, 0, false);
  long loadAt = Long.MIN_VALUE / 2;

  /** This edge's runs there now. */
  public int live;

  public int batch;

  /**
   * This edge's runs begun less those ended since the last report: what the report can not know
   * yet.
   */
  int sinceReport;

  /**
   * Highest live running of late; falls slowly, so that batch work does not refill what live will
   * want again.
   */
  public double livePeak;

  long livePeakAt;
  public int faultsInRow;
  int refusalsInRow;
  public long restsUntil = Long.MIN_VALUE / 2;
  boolean polling;

  /** Others' runs there when a response last told. */
  double others;

  long othersAt = Long.MIN_VALUE / 2;

  /**
   * When bytes last came from there in any run; suspect: a run there stayed silent too long, and
   * none came since.
   */
  public long heardAt = Long.MIN_VALUE / 2;

  public boolean suspect;

  /** Part of its recent runs that failed, 0 to 1, as of faultShareAt. */
  double faultShare;

  long faultShareAt;

  /** From here on it gets more requests by and by. */
  long rampFrom = Long.MIN_VALUE / 2;

  public double serviceMs = WorkerConstants.INITIAL_SERVICE_TIME_MS;

  /** Prompt and output tokens of this edge's runs there. */
  public long tokens;

  /**
   * Prompt tokens of this edge's runs there from which nothing has come yet: they delay every
   * stream there.
   */
  public double reading;

  /** By edge of the zone: what it last told of its own runs there. */
  final Map<String, PeerLoad> peers = new HashMap<>();

  /**
   * Prompt tokens read here of late and the time that took, first bytes' way included: a pace that
   * is rather too low.
   */
  private double paceTokens = WorkerConstants.INITIAL_PREFILL_SAMPLE_TOKENS;

  private double paceMs =
      WorkerConstants.INITIAL_PREFILL_SAMPLE_TOKENS / WorkerConstants.INITIAL_PREFILL_TOKENS_PER_MS;
  public final PrefixCache kept = new PrefixCache();
  long idHash;

  /** Never asked for its load. */
  boolean passive() {
    return worker.slots() > 0;
  }

  public int capacity() {
    return passive() ? worker.slots() : load.capacity();
  }

  public double othersNow(long now) {
    double told = 0;
    for (PeerLoad each : peers.values()) {
      told += each.running() * fading(now - each.at());
    }
    return Math.max(told, others * fading(now - othersAt));
  }

  /** From 1, if the worker has told its load just now, down to 0. */
  double toldWeight(long now) {
    return fading(now - othersAt);
  }

  private static double fading(long age) {
    return Math.exp(-age / (double) WorkerConstants.LOAD_REPORT_DECAY_MS);
  }

  public double readTokensPerMs() {
    return paceTokens / paceMs;
  }

  /**
   * Tokens that were sent there and are still to be read, as far as is known: what peers told is
   * read meanwhile.
   */
  public double unreadNow(long now) {
    double unread = reading;
    for (PeerLoad each : peers.values()) {
      unread += Math.max(0, each.unread() - (now - each.at()) * readTokensPerMs());
    }
    return unread;
  }

  /**
   * The pause that further prompt tokens make there in streams, with what is still to be read
   * before them.
   */
  public double pauseMs(long now, double further) {
    return (unreadNow(now) + further) / readTokensPerMs();
  }

  /** So many tokens were read in this time. */
  public void notePace(double tokens, long tookMs) {
    if (tokens >= WorkerConstants.INITIAL_PREFILL_SAMPLE_TOKENS) {
      paceTokens = paceTokens * WorkerConstants.PREFILL_RATE_RETENTION + tokens;
      paceMs = paceMs * WorkerConstants.PREFILL_RATE_RETENTION + Math.max(1, tookMs);
    }
  }

  /** All runs there as far as is known: this edge's own and the others' as last told. */
  public double runningNow(long now) {
    return passive() ? live + batch + othersNow(now) : running();
  }

  public boolean leaving() {
    return worker.state().equals(WorkerRegistration.LEAVING) || load.leaving();
  }

  public int running() {
    return passive()
        ? live + batch + (int) Math.round(others)
        : Math.max(live + batch, load.running() + load.queued() + sinceReport);
  }

  /** Runs there that are not this edge's batch items. */
  public int liveRunning() {
    return running() - batch;
  }

  public int free() {
    return capacity() - running();
  }
}
